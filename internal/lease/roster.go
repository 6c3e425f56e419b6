package lease

import (
	"encoding/json"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/cockroachdb/errors"
)

// noIndex stands for no holder.
const noIndex = -1

// Member is one instance that gives promises and may hold slots.
type Member struct {
	Instance ident.Instance `json:"instance"`
	Addr     string         `json:"addr"`
	Place    ident.Place    `json:"place"`
}

// Slot names the holder of one slot.
type Slot struct {
	// Holder is an index into the roster's Members.
	Holder int `json:"h"`
	// Epoch is the version in which the holder last changed; it is the fencing
	// number of what the holder does.
	Epoch uint64 `json:"e"`
	// From is the index into the roster's Prev of the former holder, or -1. It
	// has a meaning only while Epoch is the roster's version.
	PrevHolder int `json:"f"`
}

// Roster is the record in the key-value service.
type Roster struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
	// Prev are the members of the version before.
	Prev  []Member `json:"prev"`
	Slots []Slot   `json:"slots"`
}

// Encode renders the roster as it stands in the service.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode roster")
}

// DecodeRoster reads and checks what Encode wrote.
func DecodeRoster(data []byte) (Roster, error) {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return Roster{}, errors.Wrap(err, "roster record is no JSON of a roster; remove or repair the record")
	}
	return r, r.Validate()
}

// Validate returns an error that names the first faulty part of the roster.
func (r Roster) Validate() error {
	if r.Version == 0 {
		return errors.New("roster: version is 0; it starts at 1")
	}
	if len(r.Members) == 0 || len(r.Slots) == 0 {
		return errors.New("roster: members and slots must not be empty")
	}
	seen := map[ident.Instance]bool{}
	for i, m := range r.Members {
		if m.Instance.VM == "" || seen[m.Instance] {
			return errors.Newf("roster: member %d (%s) is empty or named twice", i, m.Instance)
		}
		seen[m.Instance] = true
	}
	for i, s := range r.Slots {
		if s.Holder < 0 || s.Holder >= len(r.Members) {
			return errors.Newf("roster: slot %d names holder %d of %d members", i, s.Holder, len(r.Members))
		}
		if s.Epoch == 0 || s.Epoch > r.Version {
			return errors.Newf("roster: slot %d has epoch %d at version %d", i, s.Epoch, r.Version)
		}
		if s.PrevHolder < noIndex || s.PrevHolder >= len(r.Prev) {
			return errors.Newf("roster: slot %d names former holder %d of %d", i, s.PrevHolder, len(r.Prev))
		}
	}
	return nil
}

// Index returns the position of the instance among the members, or -1.
func (r *Roster) Index(in ident.Instance) int {
	if r == nil {
		return noIndex
	}
	for i, m := range r.Members {
		if m.Instance == in {
			return i
		}
	}
	return noIndex
}

// Holder returns the holder of a slot and its epoch as the roster names them.
func (r *Roster) Holder(slot int) (Member, uint64) {
	s := r.Slots[slot]
	return r.Members[s.Holder], s.Epoch
}

func (r *Roster) prevIndex(in ident.Instance) int {
	for i, p := range r.Prev {
		if p.Instance == in {
			return i
		}
	}
	return noIndex
}
