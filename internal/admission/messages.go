package admission

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Taker gives of a team's limits on a service. The limits borrower is one.
type Limiter interface {
	// Take takes n units for one request, all or nothing.
	Take(now time.Duration, team ident.Team, service ident.Service, n int) bool

	// RetryAfter estimates when the limit that was short gives enough for so
	// many requests that cost n units together.
	RetryAfter(now time.Duration, team ident.Team, service ident.Service, requests, n int) time.Duration
}

// Request asks for admission.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID       string        `json:"id"`
	Team     ident.Team    `json:"team"`
	Service  ident.Service `json:"service"`
	Priority int           `json:"priority"` // higher goes first
	// Cost is the number of units taken of the limit, for example tokens; at
	// least 1.
	Cost int `json:"cost"`
	// Deadline is the process time by which the answer must be whole; 0 sets
	// none. Need is the expected time from start to whole answer.
	Deadline         time.Duration `json:"deadline_ns"`
	ExpectedDuration time.Duration `json:"need_ns"`
}

// Outcome says what became of an offer.
type Outcome uint8

// The outcomes.
const (
	// Admitted: the request may start now. Done frees its slot.
	Admitted Outcome = iota + 1
	// Queued: an Admit or Refuse action follows.
	Queued
	// Refused: the final answer is Decision.Refusal.
	Refused
)

// String names the outcome.
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

// Decision answers an offer.
type Decision struct {
	Outcome Outcome         `json:"outcome"`
	Refusal verdict.Refusal `json:"refusal"`
}

// Event is an input of the Queue.
type Event interface{ isEvent() }

// Tick lets time pass; the shell sends one every few milliseconds.
type Tick struct{}

// Done frees the slot of an admitted request.
type Done struct {
	ID string `json:"id"`
}

// GiveUp says that a waiting request is not wanted any more.
type GiveUp struct {
	ID string `json:"id"`
}

// Credit says that limits may have grown: waiting requests are tried again.
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
