package config

import (
	"maps"
	"slices"
)

// State is the set of accepted limits. It is a join semilattice under Join.
// The zero value is empty and ready to be read.
//
// A state is never changed: a new one shares the parts that are the same, so
// that a change of one limit costs one part, in time and memory.
type State struct {
	parts []*part
}

// part is the share of the limits with the same PartIndex, with their canonical
// text and its hash.
type part struct {
	limits map[LimitKey]Limit
	text   string
	hash   PartHash
}

var emptyPart = &part{}

// NewState returns a state that holds a copy of limits.
func NewState(limits map[LimitKey]Limit) State {
	return State{}.with(limits)
}

// with returns the state in which the given limits replace those held.
func (s State) with(limits map[LimitKey]Limit) State {
	touched := make([]map[LimitKey]Limit, PartCount)
	for key, limit := range limits {
		i := PartIndex(key)
		if touched[i] == nil {
			touched[i] = map[LimitKey]Limit{}
			maps.Copy(touched[i], s.part(i).limits)
		}
		touched[i][key] = limit
	}
	parts := make([]*part, PartCount)
	for i := range parts {
		parts[i] = s.part(i)
		if touched[i] != nil {
			parts[i] = newPart(touched[i])
		}
	}
	return State{parts: parts}
}

func newPart(limits map[LimitKey]Limit) *part {
	text := encodePart(limits)
	return &part{limits: limits, text: text, hash: HashPart(text)}
}

func (s State) part(i int) *part {
	if s.parts == nil {
		return emptyPart
	}
	return s.parts[i]
}

// Get returns the limit of key.
func (s State) Get(key LimitKey) (Limit, bool) {
	limit, ok := s.part(PartIndex(key)).limits[key]
	return limit, ok
}

// Len is the number of limits.
func (s State) Len() int {
	n := 0
	for i := range PartCount {
		n += len(s.part(i).limits)
	}
	return n
}

// Keys returns every key in order.
func (s State) Keys() []LimitKey {
	keys := make([]LimitKey, 0, s.Len())
	for i := range PartCount {
		for key := range s.part(i).limits {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, LimitKey.Compare)
	return keys
}

// Hashes returns the hashes of the PartCount parts; an empty part has an empty
// hash.
func (s State) Hashes() []PartHash {
	hashes := make([]PartHash, PartCount)
	for i := range hashes {
		hashes[i] = s.part(i).hash
	}
	return hashes
}

// Join merges two states: each limit takes the larger value. Neither state is
// changed.
func (s State) Join(other State) State {
	larger := map[LimitKey]Limit{}
	for i := range PartCount {
		if s.part(i).hash == other.part(i).hash {
			continue
		}
		for key, limit := range other.part(i).limits {
			was := s.part(i).limits[key]
			if joined := was.Join(limit); joined != was {
				larger[key] = joined
			}
		}
	}
	if len(larger) == 0 {
		return s
	}
	return s.with(larger)
}

// Equal reports whether both states hold the same limits.
func (s State) Equal(other State) bool {
	return slices.Equal(s.Hashes(), other.Hashes())
}

// Covers reports whether no limit of other is larger than here.
func (s State) Covers(other State) bool {
	for i := range PartCount {
		if s.part(i).hash == other.part(i).hash {
			continue
		}
		for key, limit := range other.part(i).limits {
			if s.part(i).limits[key].Value < limit.Value {
				return false
			}
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
	for i := range PartCount {
		if before.part(i).hash == after.part(i).hash {
			continue
		}
		for key, is := range after.part(i).limits {
			was := before.part(i).limits[key]
			if is.Value != was.Value {
				changes = append(changes, Change{Key: key, Before: was.Value, After: is.Value})
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	return changes
}
