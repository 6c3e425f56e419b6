package store

import "time"

// Op is an operation of the key-value service.
type Op string

// The operations of the key-value service.
const (
	// OpGet reads Key.
	OpGet Op = "get"
	// OpList reads every entry whose key starts with Key.
	OpList Op = "list"
	// OpWatch waits for a change after AfterRevision to an entry whose key starts with
	// Key.
	OpWatch Op = "watch"
	// OpPut writes Value if Key is at revision Expect.
	OpPut Op = "put"
	// OpDelete deletes Key if it is at revision Expect.
	OpDelete Op = "delete"
)

// ExpectAbsent is the revision of a key that does not exist.
const ExpectAbsent int64 = 0

// Call is one call to the service.
type Call struct {
	Op  Op     `json:"op"`
	Key string `json:"key"`
	// Value is the value of a put. Writes with different intents must have different
	// values: if the value is read back at a newer revision, the write counts as done.
	Value []byte `json:"value,omitempty"`
	// Expect is the revision that a put or delete requires.
	Expect int64 `json:"expect,omitempty"`
	// AfterRevision and Wait are for a watch: the revision after which a change is
	// reported, and how long the service waits for one.
	AfterRevision int64         `json:"after,omitempty"`
	Wait          time.Duration `json:"wait_ns,omitempty"`
	// Timeout limits the time until Done, retries included. Zero means CallTimeout plus
	// Wait.
	Timeout time.Duration `json:"give_ns,omitempty"`
	// Urgent calls may use the reserved part of the budget and are sent first.
	Urgent bool `json:"urgent,omitempty"`
	// Cache keeps the reply of a get or list, to be served while the service is down.
	Cache bool `json:"keep,omitempty"`
}

// writes reports whether the call counts against the write budget.
func (c Call) writes() bool { return c.Op == OpPut || c.Op == OpDelete }

// Entry is one key with its value and revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
}

// Status is the outcome of a call.
type Status string

// The statuses. Failed and Lost come only from the shell, Stale, Unavailable and Unknown
// only from the state machine.
const (
	// OK means that the write took effect, or that the read returned the current state.
	OK Status = "ok"
	// NotFound means that the key does not exist.
	NotFound Status = "not-found"
	// Conflict means that the key was at another revision, which is in Entries.
	Conflict Status = "conflict"
	// Failed means that the service refused the call or could not be reached. The call
	// had no effect.
	Failed Status = "failed"
	// Lost means that no reply arrived. The call may have taken effect.
	Lost Status = "lost"
	// Stale means that the service is down or did not reply in time, and the result is the
	// last known state.
	Stale Status = "stale"
	// Unavailable means that no result could be obtained. A write had no effect.
	Unavailable Status = "unavailable"
	// Unknown means that a write may have taken effect, or may still do so.
	Unknown Status = "unknown"
)

// Event is an input of Client.Step.
type Event interface{ isEvent() }

// Request requests a call. The requester chooses the ID, which must be unique among
// pending calls.
type Request struct {
	ID   uint64 `json:"id"`
	Call Call   `json:"call"`
}

// Reply is the outcome of the call in the Send with the same Attempt.
type Reply struct {
	Attempt  uint64  `json:"attempt"`
	Status   Status  `json:"status"`
	Entries  []Entry `json:"entries,omitempty"`
	Revision int64   `json:"revision,omitempty"`
	// RetryAfter is the minimum wait before a retry that the service requested, or zero.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Tick advances the time.
type Tick struct{}

// Fleet sets how many processes share the budget, and what this one uses it for.
type Fleet struct {
	Processes int `json:"processes"`
	// RegularUsers is the number of processes that call the service regularly, such as
	// watchers of the configuration. Zero means all of them.
	RegularUsers int `json:"regulars,omitempty"`
	// RegularUser is set if this process is one of them.
	RegularUser bool `json:"regular,omitempty"`
	// Applying is set while this process applies an operator's configuration sheet.
	Applying bool `json:"applying,omitempty"`
}

// The fractions of the fleet's rate for all processes, for regular users and for a
// process that applies a configuration sheet.
const (
	shareOfAll          = 0.25
	shareOfRegularUsers = 0.5
	shareOfApplying     = 0.25
)

// share returns this process's fraction of the fleet's rate, 0 to 1.
func (f Fleet) share() float64 {
	n := float64(max(f.Processes, 1))
	fraction := shareOfAll / n
	switch {
	case f.RegularUsers == 0:
		fraction += shareOfRegularUsers / n
	case f.RegularUser:
		fraction += shareOfRegularUsers / float64(f.RegularUsers)
	}
	if f.Applying {
		fraction += shareOfApplying
	}
	return fraction
}

func (Request) isEvent() {}
func (Reply) isEvent()   {}
func (Tick) isEvent()    {}
func (Fleet) isEvent()   {}

// Action is an output of Client.Step, to be performed by the shell.
type Action interface{ isAction() }

// Send tells the shell to make a call and to return a Reply with the same Attempt within
// Timeout.
type Send struct {
	Attempt uint64        `json:"attempt"`
	Call    Call          `json:"call"`
	Timeout time.Duration `json:"timeout_ns"`
}

// Done is the result of a Request.
type Done struct {
	ID      uint64  `json:"id"`
	Status  Status  `json:"status"`
	Entries []Entry `json:"entries,omitempty"`
	// Revision is the key's revision after a write, or the service's after a
	// list or watch.
	Revision int64 `json:"revision,omitempty"`
	// Age is the age of a stale result.
	Age time.Duration `json:"age_ns,omitempty"`
	// Overwritten is set on a conflict after a lost reply: the write may have
	// taken effect before another one replaced it.
	Overwritten bool `json:"overwritten,omitempty"`
}

// Health reports that the service came up or went down.
type Health struct {
	Up bool `json:"up"`
}

func (Send) isAction()   {}
func (Done) isAction()   {}
func (Health) isAction() {}
