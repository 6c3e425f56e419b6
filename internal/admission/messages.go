package admission

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Limiter grants units of a team's limits on a service, for example from a
// limits.Borrower.
type Limiter interface {
	// Take takes n units for one request and reports whether it did; it never takes
	// fewer.
	Take(now time.Duration, team ident.Team, service ident.Service, n int) bool

	// RetryAfter estimates how long it takes until the limit that denied the last Take
	// has units for the given number of requests, which cost n units in total.
	RetryAfter(now time.Duration, team ident.Team, service ident.Service, requests, n int) time.Duration
}

// Request is a request for admission.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID       string        `json:"id"`
	Team     ident.Team    `json:"team"`
	Service  ident.Service `json:"service"`
	Priority int           `json:"priority"` // higher goes first
	// Cost is the number of units taken from the limit, for example tokens. Values
	// below 1 count as 1.
	Cost int `json:"cost"`
	// Deadline is the process time by which the answer must be complete; 0 means
	// none. ExpectedDuration is the expected time from start to complete answer.
	Deadline         time.Duration `json:"deadline_ns"`
	ExpectedDuration time.Duration `json:"need_ns"`
}

// Outcome is the result of Queue.Offer.
type Outcome uint8

// Outcomes of Queue.Offer.
const (
	// Admitted means that the request may start now. Done frees its slot.
	Admitted Outcome = iota + 1
	// Queued means that an Admit or Refuse action follows.
	Queued
	// Refused means that Decision.Refusal is the final answer.
	Refused
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Admitted:
		return "admitted"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	}
	return "invalid"
}

// Decision is the answer of Queue.Offer.
type Decision struct {
	Outcome Outcome         `json:"outcome"`
	Refusal verdict.Refusal `json:"refusal"`
}

// Event is an input of the Queue.
type Event interface{ isEvent() }

// Tick advances time. The shell sends one every few milliseconds.
type Tick struct{}

// Done frees the slot of an admitted request.
type Done struct {
	ID string `json:"id"`
}

// GiveUp cancels a waiting request; a Refuse action follows.
type GiveUp struct {
	ID string `json:"id"`
}

// Credit makes the Queue try to start waiting requests, because limits may have units
// again.
type Credit struct{}

// Stop refuses all waiting requests and every later offer.
type Stop struct{}

func (Tick) isEvent()   {}
func (Done) isEvent()   {}
func (GiveUp) isEvent() {}
func (Credit) isEvent() {}
func (Stop) isEvent()   {}

// Action is an output of the Queue.
type Action interface{ isAction() }

// Admit lets a queued request start.
type Admit struct {
	ID     string        `json:"id"`
	Waited time.Duration `json:"waited_ns"`
}

// Refuse ends a queued request.
type Refuse struct {
	ID      string          `json:"id"`
	Refusal verdict.Refusal `json:"refusal"`
}

func (Admit) isAction()  {}
func (Refuse) isAction() {}
