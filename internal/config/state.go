package config

import (
	"maps"
	"slices"
)

// State is the set of accepted limits. It is a join semilattice under Join.
// The zero value is empty and ready to be read.
type State struct {
	limits map[LimitKey]Limit
}

// NewState returns a state that holds a copy of limits.
func NewState(limits map[LimitKey]Limit) State {
	return State{limits: maps.Clone(limits)}
}

// Get returns the limit of key.
func (s State) Get(key LimitKey) (Limit, bool) {
	limit, ok := s.limits[key]
	return limit, ok
}

// Len is the number of limits.
func (s State) Len() int { return len(s.limits) }

// Keys returns every key in order.
func (s State) Keys() []LimitKey {
	return slices.SortedFunc(maps.Keys(s.limits), LimitKey.Compare)
}

// Join merges two states: each limit takes the larger value. Neither state is
// changed.
func (s State) Join(other State) State {
	merged := make(map[LimitKey]Limit, max(len(s.limits), len(other.limits)))
	maps.Copy(merged, s.limits)
	for key, limit := range other.limits {
		merged[key] = merged[key].Join(limit)
	}
	return State{limits: merged}
}

// Equal reports whether both states hold the same limits.
func (s State) Equal(other State) bool {
	return maps.Equal(s.limits, other.limits)
}

// Covers reports whether no limit of other is larger than here.
func (s State) Covers(other State) bool {
	for key, limit := range other.limits {
		if s.limits[key].Value < limit.Value {
			return false
		}
	}
	return true
}

// Change is one limit that differs between two states. Before is zero for a
// limit that is created.
type Change struct {
	Key    LimitKey `json:"key"`
	Before uint64   `json:"before"`
	After  uint64   `json:"after"`
}

// Diff lists what to adopt from after, in key order.
func Diff(before, after State) []Change {
	changes := []Change{}
	for _, key := range after.Keys() {
		was, is := before.limits[key], after.limits[key]
		if is.Value != was.Value {
			changes = append(changes, Change{Key: key, Before: was.Value, After: is.Value})
		}
	}
	return changes
}
