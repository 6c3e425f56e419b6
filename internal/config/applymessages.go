package config

import "time"

// ApplyEvent is an input of Apply.
type ApplyEvent interface{ isApplyEvent() }

// ApplyBegin starts the application.
type ApplyBegin struct{}

// HeadLoaded answers LoadHead. Head and Revision are zero if the service holds no head.
type HeadLoaded struct {
	Head     Head   `json:"head"`
	Revision uint64 `json:"revision"`
}

// PartsLoaded answers LoadParts. Texts omits parts that do not exist.
type PartsLoaded struct {
	Texts map[PartHash]string `json:"texts"`
}

// PartsStored answers StoreParts: all parts are stored.
type PartsStored struct{}

// HeadSwapped answers SwapHead: the new head is in force.
type HeadSwapped struct{}

// HeadConflict answers SwapHead: the head had another revision.
type HeadConflict struct{}

// ServiceFailed answers any action: the service is down or its reply was lost. A write
// may have taken effect.
type ServiceFailed struct {
	Reason string `json:"reason"`
}

// ApplyTick runs the timers.
type ApplyTick struct{}

func (ApplyBegin) isApplyEvent()    {}
func (HeadLoaded) isApplyEvent()    {}
func (PartsLoaded) isApplyEvent()   {}
func (PartsStored) isApplyEvent()   {}
func (HeadSwapped) isApplyEvent()   {}
func (HeadConflict) isApplyEvent()  {}
func (ServiceFailed) isApplyEvent() {}
func (ApplyTick) isApplyEvent()     {}

// ApplyAction is an output of Apply.
type ApplyAction interface{ isApplyAction() }

// LoadHead reads the head from the service, not from a cache.
type LoadHead struct{}

// LoadParts reads parts from the service.
type LoadParts struct {
	Hashes []PartHash `json:"hashes"`
}

// StoreParts writes parts under their hashes. It is idempotent.
type StoreParts struct {
	Texts map[PartHash]string `json:"texts"`
}

// SwapHead replaces the head if its revision is still Expect; zero means that no head may
// exist.
type SwapHead struct {
	Head   Head   `json:"head"`
	Expect uint64 `json:"expect"`
}

// DeleteParts deletes parts that have been retired for RetiredVersions.
type DeleteParts struct {
	Hashes []PartHash `json:"hashes"`
}

// WakeApply requests an ApplyTick at the given time.
type WakeApply struct {
	At time.Duration `json:"at_ns"`
}

// Applied ends the application.
type Applied struct {
	Outcome Outcome `json:"outcome"`
}

func (LoadHead) isApplyAction()    {}
func (LoadParts) isApplyAction()   {}
func (StoreParts) isApplyAction()  {}
func (SwapHead) isApplyAction()    {}
func (DeleteParts) isApplyAction() {}
func (WakeApply) isApplyAction()   {}
func (Applied) isApplyAction()     {}

// OutcomeKind is the result of an application.
type OutcomeKind string

// The results of an application.
const (
	// OutcomeAccepted means that the sheet created a new version.
	OutcomeAccepted OutcomeKind = "accepted"
	// OutcomeUnchanged means that all rows of the sheet were already in force.
	OutcomeUnchanged OutcomeKind = "unchanged"
	// OutcomeRefused means that the rows listed in Faults can't be accepted.
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeUnavailable means that the sheet was not accepted and will not be: the
	// service failed before the swap of the head was sent.
	OutcomeUnavailable OutcomeKind = "unavailable"
	// OutcomeUnknown means that the sheet may have been accepted; applying it again is
	// safe and shows the outcome.
	OutcomeUnknown OutcomeKind = "unknown"
)

// Outcome is the result of an application and its details.
type Outcome struct {
	Kind    OutcomeKind `json:"kind"`
	Version uint64      `json:"version,omitempty"`
	Changes []Change    `json:"changes,omitempty"`
	Faults  []Fault     `json:"faults,omitempty"`
	// LostRaceTo is the operator whose sheet won the race that this one lost, if any.
	LostRaceTo string `json:"raced,omitempty"`
	Detail     string `json:"detail,omitempty"`
}
