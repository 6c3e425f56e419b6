package standin

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind identifies a kind of fault.
type FaultKind string

// The kinds of faults. Silent, Reset and LapseLease happen once. All others last
// until they are switched off, their duration has passed or their count is used
// up.
const (
	// Down refuses every request with 503 without executing it; with Hard it resets
	// the connection instead.
	Down FaultKind = "down"
	// Slow delays each request by DelayMillis before it is handled.
	Slow FaultKind = "slow"
	// LoseReply executes a request other than GET and resets the connection before
	// the reply; with Hang the connection goes silent instead.
	LoseReply FaultKind = "lose_reply"
	// LapseLease revokes every lease of the key-value service.
	LapseLease FaultKind = "lapse_lease"
	// Lag serves the VM list as it was DelayMillis ago.
	Lag FaultKind = "lag"
	// Die closes the listener and resets every connection; an engine loses its
	// streams. Switching it off restarts the server.
	Die FaultKind = "die"
	// DieMidstream makes an engine or application die once it has run Count more
	// steps or calls, before the reply to the last one.
	DieMidstream FaultKind = "die_midstream"
	// Silent makes all open connections discard all data without closing them;
	// connections opened later work.
	Silent FaultKind = "silent"
	// LateLoad reports the load as it was DelayMillis ago.
	LateLoad FaultKind = "late_load"
	// EventGaps drops cache events with the given Probability and delays the
	// others by DelayMillis.
	EventGaps FaultKind = "event_gaps"
	// Leave makes a server refuse new work and marks its VM as leaving in the VM
	// list.
	Leave FaultKind = "leave"
	// IgnoreFence makes an engine apply orders with outdated fencing tokens.
	IgnoreFence FaultKind = "ignore_fence"
	// Reset resets all open connections.
	Reset FaultKind = "reset"
)

// Fault is one fault to switch on or off.
type Fault struct {
	// Target is a server ID, a VM, "kv", "vms", "weights", a service with "/*" or
	// "*"; empty for the stand-in that receives the request.
	Target string    `json:"target,omitempty"`
	Kind   FaultKind `json:"kind"`
	// Off switches the fault off.
	Off bool `json:"off,omitempty"`
	// DurationMillis is the time until the fault is switched off; 0 means never.
	DurationMillis int64 `json:"for_ms,omitempty"`
	// DelayMillis is the delay or lag, for the kinds that have one.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Count is the number of requests that the fault affects; 0 means all.
	Count int `json:"count,omitempty"`
	// Probability is the probability, in (0, 1], that a request is affected; 0
	// means that all are.
	Probability float64 `json:"share,omitempty"`
	// Path is a prefix of the request paths that the fault affects; empty for all.
	Path string `json:"path,omitempty"`
	// Hard applies to Down, Hang to LoseReply.
	Hard bool `json:"hard,omitempty"`
	Hang bool `json:"hang,omitempty"`
}

var faultKinds = map[FaultKind]bool{
	Down: true, Slow: true, LoseReply: true, LapseLease: true, Lag: true, Die: true,
	DieMidstream: true, Silent: true, LateLoad: true, EventGaps: true, Leave: true,
	IgnoreFence: true, Reset: true,
}

// Validate returns an error if f has an unknown kind or a value out of range.
func (f Fault) Validate() error {
	switch {
	case !faultKinds[f.Kind]:
		return errors.Newf("fault kind %q is unknown", f.Kind)
	case f.Probability < 0 || f.Probability > 1:
		return errors.Newf("share is %v, must be between 0 and 1", f.Probability)
	case f.DurationMillis < 0 || f.DelayMillis < 0 || f.Count < 0:
		return errors.New("for_ms, delay_ms and count must not be negative")
	}
	return nil
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// faultSet holds the active faults of one stand-in, one per kind.
type faultSet struct {
	mu     sync.Mutex
	active map[FaultKind]*Fault
	rng    *rand.Rand
}

func newFaultSet(seed uint64) *faultSet {
	return &faultSet{
		active: map[FaultKind]*Fault{},
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// set switches a fault on or off.
func (s *faultSet) set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Off {
		delete(s.active, f.Kind)
		return
	}
	s.active[f.Kind] = &f
}

// lookup returns the fault of a kind if it is active.
func (s *faultSet) lookup(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok {
		return Fault{}, false
	}
	return *f, true
}

// match returns the active fault of a kind if it affects a request to path, and
// decrements its count. A fault whose count reaches 0 is switched off.
func (s *faultSet) match(kind FaultKind, path string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok || !strings.HasPrefix(path, f.Path) {
		return Fault{}, false
	}
	if f.Probability > 0 && s.rng.Float64() >= f.Probability {
		return Fault{}, false
	}
	matched := *f
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(s.active, kind)
		}
	}
	return matched, true
}

func (s *faultSet) list() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Fault{}
	for _, f := range s.active {
		out = append(out, *f)
	}
	return out
}
