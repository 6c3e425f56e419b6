package standin

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind names a fault.
type FaultKind string

// The kinds of faults. Silent, Reset and LapseLease happen once; all others
// last until they are switched off, their time is over or their count is used
// up.
const (
	// Down answers every request with 503 and no effect; with Hard it closes
	// the connection instead.
	Down FaultKind = "down"
	// Slow waits Delay before a request is looked at.
	Slow FaultKind = "slow"
	// LoseReply lets a request take effect and cuts the connection before the
	// reply; with Hang the connection goes silent instead.
	LoseReply FaultKind = "lose_reply"
	// LapseLease ends every lease of the key-value service.
	LapseLease FaultKind = "lapse_lease"
	// Lag makes the VM list as old as Delay.
	Lag FaultKind = "lag"
	// Die closes the listener and resets every connection; an engine loses its
	// streams. Switched off, the server comes back empty.
	Die FaultKind = "die"
	// DieMidstream lets an engine or application die after it has run Count
	// more steps or calls, before it answers the last of them.
	DieMidstream FaultKind = "die_midstream"
	// Silent makes all connections that are open now swallow everything; new
	// connections work.
	Silent FaultKind = "silent"
	// LateLoad makes reported load as old as Delay.
	LateLoad FaultKind = "late_load"
	// EventGaps loses Share of the cache events and shows the others Delay
	// late.
	EventGaps FaultKind = "event_gaps"
	// Leave makes a server refuse new work and the VM list say so.
	Leave FaultKind = "leave"
	// IgnoreFence makes an engine apply orders with old fencing numbers.
	IgnoreFence FaultKind = "ignore_fence"
	// Reset resets all connections that are open now.
	Reset FaultKind = "reset"
)

// Fault is one fault to switch on or off.
type Fault struct {
	// Target is a server id, a VM, "kv", "vms", "weights" or "*"; empty for the
	// stand-in that is called.
	Target string    `json:"target,omitempty"`
	Kind   FaultKind `json:"kind"`
	// Off switches the fault off.
	Off bool `json:"off,omitempty"`
	// ForMillis switches the fault off after so long; 0 for never.
	DurationMillis int64 `json:"for_ms,omitempty"`
	// DelayMillis is the delay or lag of the kinds that have one.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Count is how many requests the fault meets; 0 for all.
	Count int `json:"count,omitempty"`
	// Share is the part of the requests that the fault meets, (0, 1]; 0 for
	// all.
	Probability float64 `json:"share,omitempty"`
	// Path is the start of the paths that the fault meets; empty for all.
	Path string `json:"path,omitempty"`
	Hard bool   `json:"hard,omitempty"`
	Hang bool   `json:"hang,omitempty"`
}

var faultKinds = map[FaultKind]bool{
	Down: true, Slow: true, LoseReply: true, LapseLease: true, Lag: true, Die: true,
	DieMidstream: true, Silent: true, LateLoad: true, EventGaps: true, Leave: true,
	IgnoreFence: true, Reset: true,
}

// Validate names what is wrong with f.
func (f Fault) Validate() error {
	switch {
	case !faultKinds[f.Kind]:
		return errors.Newf("fault kind %q is unknown", f.Kind)
	case f.Probability < 0 || f.Probability > 1:
		return errors.Newf("share %v: want 0 to 1", f.Probability)
	case f.DurationMillis < 0 || f.DelayMillis < 0 || f.Count < 0:
		return errors.New("for_ms, delay_ms and count: want 0 or more")
	}
	return nil
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// faultSet holds the lasting faults of one stand-in, one per kind.
type faultSet struct {
	mu     sync.Mutex
	active map[FaultKind]*Fault
	random *rand.Rand
}

func newFaultSet(seed uint64) *faultSet {
	return &faultSet{
		active: map[FaultKind]*Fault{},
		random: rand.New(rand.NewPCG(seed, 0)),
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

// on returns the fault of a kind if it is switched on.
func (s *faultSet) on(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok {
		return Fault{}, false
	}
	return *f, true
}

// meets says whether the fault of a kind meets this request, and uses up one of
// its count.
func (s *faultSet) meets(kind FaultKind, path string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.active[kind]
	if !ok || !strings.HasPrefix(path, f.Path) {
		return Fault{}, false
	}
	if f.Probability > 0 && s.random.Float64() >= f.Probability {
		return Fault{}, false
	}
	hit := *f
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(s.active, kind)
		}
	}
	return hit, true
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
