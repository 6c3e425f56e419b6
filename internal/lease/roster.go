package lease

import (
	"encoding/json"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/cockroachdb/errors"
)

// noIndex is the index of an instance that is not listed, and the promiseAskedAt of a
// peer without a promise.
const noIndex = -1

// Member is an instance that makes promises and may hold slots.
type Member struct {
	Instance ident.Instance `json:"instance"`
	Addr     string         `json:"addr"`
	Place    ident.Place    `json:"place"`
}

// Slot identifies the holder of one slot.
type Slot struct {
	// Holder is an index into the roster's Members.
	Holder int `json:"h"`
	// Epoch is the version in which the holder last changed. It is the fencing token
	// of the holder's actions.
	Epoch uint64 `json:"e"`
	// PrevHolder is the index of the former holder in the roster's Prev, or -1. It is
	// meaningful only while Epoch is the roster's version.
	PrevHolder int `json:"f"`
}

// Roster is the record in the key-value service.
type Roster struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
	// Prev are the members of the previous version.
	Prev  []Member `json:"prev"`
	Slots []Slot   `json:"slots"`
}

// Encode returns the roster as the JSON that is stored in the service.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode roster")
}

// DecodeRoster decodes and validates the output of Encode.
func DecodeRoster(data []byte) (Roster, error) {
	var r Roster
	if err := json.Unmarshal(data, &r); err != nil {
		return Roster{}, errors.Wrap(err, "roster record is not valid roster JSON; remove or repair the record")
	}
	return r, r.Validate()
}

// Validate returns an error that describes the first invalid part of the roster.
func (r Roster) Validate() error {
	if r.Version == 0 {
		return errors.New("roster: version is 0, must be positive")
	}
	if len(r.Members) == 0 || len(r.Slots) == 0 {
		return errors.New("roster: members and slots must not be empty")
	}
	seen := map[ident.Instance]bool{}
	for i, m := range r.Members {
		if m.Instance.VM == "" || seen[m.Instance] {
			return errors.Newf("roster: member %d (%s) has no VM name or is listed twice", i, m.Instance)
		}
		seen[m.Instance] = true
	}
	for i, s := range r.Slots {
		if s.Holder < 0 || s.Holder >= len(r.Members) {
			return errors.Newf("roster: slot %d has holder index %d, but there are %d members", i, s.Holder, len(r.Members))
		}
		if s.Epoch == 0 || s.Epoch > r.Version {
			return errors.Newf("roster: slot %d has epoch %d, must be from 1 to the roster's version %d", i, s.Epoch, r.Version)
		}
		if s.PrevHolder < noIndex || s.PrevHolder >= len(r.Prev) {
			return errors.Newf("roster: slot %d has former holder index %d, but there are %d former members", i, s.PrevHolder, len(r.Prev))
		}
	}
	return nil
}

// Index returns the index of the instance in Members, or -1.
func (r *Roster) Index(instance ident.Instance) int {
	if r == nil {
		return noIndex
	}
	for i, m := range r.Members {
		if m.Instance == instance {
			return i
		}
	}
	return noIndex
}

// Holder returns the holder of a slot and its epoch according to the roster.
func (r *Roster) Holder(slot int) (Member, uint64) {
	s := r.Slots[slot]
	return r.Members[s.Holder], s.Epoch
}

func (r *Roster) prevIndex(instance ident.Instance) int {
	for i, p := range r.Prev {
		if p.Instance == instance {
			return i
		}
	}
	return noIndex
}
