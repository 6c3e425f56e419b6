package config

import (
	"maps"
	"slices"
)

// State is the set of accepted limits. It is a join semilattice under Join. The zero value
// is an empty state.
//
// States are immutable. A new state shares unchanged parts with the old one, so changing
// one limit costs the time and memory of one part.
type State struct {
	parts []*part
}

// part holds the limits with the same PartIndex, their canonical text and its hash.
type part struct {
	limits map[LimitKey]Limit
	text   string
	hash   PartHash
}

var emptyPart = &part{}

// NewState returns a state with a copy of limits.
func NewState(limits map[LimitKey]Limit) State {
	return State{}.with(limits)
}

// with returns a copy of s in which limits are added or replaced.
func (s State) with(limits map[LimitKey]Limit) State {
	updated := make([]map[LimitKey]Limit, PartCount)
	for key, limit := range limits {
		i := PartIndex(key)
		if updated[i] == nil {
			updated[i] = map[LimitKey]Limit{}
			maps.Copy(updated[i], s.part(i).limits)
		}
		updated[i][key] = limit
	}
	parts := make([]*part, PartCount)
	for i := range parts {
		parts[i] = s.part(i)
		if updated[i] != nil {
			parts[i] = newPart(updated[i])
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

// Len returns the number of limits.
func (s State) Len() int {
	n := 0
	for i := range PartCount {
		n += len(s.part(i).limits)
	}
	return n
}

// Keys returns all keys, sorted.
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

// Hashes returns the hashes of the PartCount parts; the hash of an empty part is empty.
func (s State) Hashes() []PartHash {
	hashes := make([]PartHash, PartCount)
	for i := range hashes {
		hashes[i] = s.part(i).hash
	}
	return hashes
}

// Join merges two states: each limit gets the larger value.
func (s State) Join(other State) State {
	larger := map[LimitKey]Limit{}
	for i := range PartCount {
		if s.part(i).hash == other.part(i).hash {
			continue
		}
		for key, limit := range other.part(i).limits {
			current := s.part(i).limits[key]
			if joined := current.Join(limit); joined != current {
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

// Covers reports whether every limit of other is at most the one in s.
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

// Change is a limit whose value differs between two states. Before is zero for a new
// limit.
type Change struct {
	Key    LimitKey `json:"key"`
	Before uint64   `json:"before"`
	After  uint64   `json:"after"`
}

// Diff lists the limits of after that are new or have another value in before, in key
// order.
func Diff(before, after State) []Change {
	changes := []Change{}
	for i := range PartCount {
		if before.part(i).hash == after.part(i).hash {
			continue
		}
		for key, newLimit := range after.part(i).limits {
			oldLimit := before.part(i).limits[key]
			if newLimit.Value != oldLimit.Value {
				changes = append(changes, Change{Key: key, Before: oldLimit.Value, After: newLimit.Value})
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	return changes
}
