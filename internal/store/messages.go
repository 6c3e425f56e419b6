package store

import "time"

// Op is the kind of a call.
type Op string

// The operations of the key-value service.
const (
	// OpGet reads Key.
	OpGet Op = "get"
	// OpList reads every entry whose key starts with Key.
	OpList Op = "list"
	// OpWatch waits for a change after revision After to an entry whose key
	// starts with Key.
	OpWatch Op = "watch"
	// OpPut writes Value if Key stands at revision Expect.
	OpPut Op = "put"
	// OpDelete removes Key if it stands at revision Expect.
	OpDelete Op = "delete"
)

// ExpectAbsent is the revision of a key that does not exist.
const ExpectAbsent int64 = 0

// Call is one call to the service.
type Call struct {
	Op  Op     `json:"op"`
	Key string `json:"key"`
	// Value of a put. Two writers that mean different things must write
	// different values: a value found in place counts as one's own write.
	Value []byte `json:"value,omitempty"`
	// Expect is the revision that a put or delete wants in place.
	Expect int64 `json:"expect,omitempty"`
	// After and Wait belong to a watch.
	AfterRevision int64         `json:"after,omitempty"`
	Wait          time.Duration `json:"wait_ns,omitempty"`
	// Give bounds the time until an answer; zero means until CallTimeout.
	Timeout time.Duration `json:"give_ns,omitempty"`
	// Urgent calls may use the reserved part of the budget and go first.
	Urgent bool `json:"urgent,omitempty"`
	// Keep holds what a get or list returned, to be served when the service is
	// down.
	Cache bool `json:"keep,omitempty"`
}

// writes reports whether the call counts against the budget of writes.
func (c Call) writes() bool { return c.Op == OpPut || c.Op == OpDelete }

// Entry is one key with its value and revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
}

// Status says how a call ended.
type Status string

// The statuses. Failed and Lost come from the shell only, Stale, Unavailable
// and Unknown from the machine only.
const (
	// OK means that the call took effect, or that its answer is current.
	OK Status = "ok"
	// NotFound means that the key does not exist.
	NotFound Status = "not-found"
	// Conflict means that another revision was in place; Entries holds it.
	Conflict Status = "conflict"
	// Failed means that the service refused the call or was not reached: the
	// call had no effect.
	Failed Status = "failed"
	// Lost means that no reply came: the call may have had its effect.
	Lost Status = "lost"
	// Stale means that the service is down and the answer is the last known.
	Stale Status = "stale"
	// Unavailable means that no answer could be had. A write had no effect.
	Unavailable Status = "unavailable"
	// Unknown means that a write may have taken effect, or may still do so.
	Unknown Status = "unknown"
)

// Event is what the machine takes in.
type Event interface{ isEvent() }

// Request asks for a call. IDs are the asker's and unique among pending calls.
type Request struct {
	ID   uint64 `json:"id"`
	Call Call   `json:"call"`
}

// Reply is the outcome of the call that a Send named.
type Reply struct {
	Attempt  uint64  `json:"attempt"`
	Status   Status  `json:"status"`
	Entries  []Entry `json:"entries,omitempty"`
	Revision int64   `json:"revision,omitempty"`
	// RetryAfter is the service's own wish, where it gave one.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Tick lets time pass.
type Tick struct{}

// Fleet tells how many processes share the budget, and with which part.
type Fleet struct {
	Processes int `json:"processes"`
	// Regulars is the number of processes with a standing duty towards the
	// service, such as following the configuration; zero means all of them.
	RegularUsers int `json:"regulars,omitempty"`
	// Regular says that this process is one of them.
	RegularUser bool `json:"regular,omitempty"`
	// Applying says that this process takes an operator's sheet through.
	Applying bool `json:"applying,omitempty"`
}

// The parts of the fleet's rate.
const (
	shareOfAll      = 0.25
	shareOfRegulars = 0.5
	shareOfApplying = 0.25
)

// share is this process's part of the fleet's rate, 0 to 1.
func (f Fleet) share() float64 {
	n := float64(max(f.Processes, 1))
	part := shareOfAll / n
	switch {
	case f.RegularUsers == 0:
		part += shareOfRegulars / n
	case f.RegularUser:
		part += shareOfRegulars / float64(f.RegularUsers)
	}
	if f.Applying {
		part += shareOfApplying
	}
	return part
}

func (Request) isEvent() {}
func (Reply) isEvent()   {}
func (Tick) isEvent()    {}
func (Fleet) isEvent()   {}

// Action is what the machine gives out.
type Action interface{ isAction() }

// Send tells the shell to make a call and to hand back a Reply with the same
// Attempt, at the latest after Timeout.
type Send struct {
	Attempt uint64        `json:"attempt"`
	Call    Call          `json:"call"`
	Timeout time.Duration `json:"timeout_ns"`
}

// Done is the answer to a Request.
type Done struct {
	ID      uint64  `json:"id"`
	Status  Status  `json:"status"`
	Entries []Entry `json:"entries,omitempty"`
	// Revision is the key's revision after a write, or the service's after a
	// list or watch.
	Revision int64 `json:"revision,omitempty"`
	// Age of a stale answer.
	Age time.Duration `json:"age_ns,omitempty"`
	// Overwritten is set on a conflict after a lost reply: the write may have
	// taken effect before another one replaced it.
	Overwritten bool `json:"overwritten,omitempty"`
}

// Health says that the service went up or down.
type Health struct {
	Up bool `json:"up"`
}

func (Send) isAction()   {}
func (Done) isAction()   {}
func (Health) isAction() {}
