package node

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/admission"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/stream"
)

// Entry is the core of one catkin-entry process.
type Entry struct {
	cfg      EntryConfig
	streams  *stream.Table
	router   *routing.Router
	queue    *admission.Queue
	borrower *limits.Borrower
	calls    *call.Core
	list     *entrylist.List

	acceptedConfig acceptedConfig
	members        map[ident.VM]peer.EntryMember
	homes          map[ident.VM]ident.Instance // last seen entry process by VM
	servers        map[ident.BackendServer]peer.BackendServer
	serviceIsModel map[ident.Service]bool

	completions    map[string]*completion
	streamRequests map[string]string // stream name at the engines -> request ID
	callState      map[call.RequestID]*callState

	out []Action
}

// NewEntry returns the core of an entry process. It refuses completions and calls until
// the first snapshot with a configuration, usually with NotRun (see refuseCall).
func NewEntry(cfg EntryConfig) (*Entry, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Wrap(err, "entry")
	}
	e := &Entry{
		cfg:            cfg,
		members:        map[ident.VM]peer.EntryMember{},
		homes:          map[ident.VM]ident.Instance{},
		servers:        map[ident.BackendServer]peer.BackendServer{},
		serviceIsModel: map[ident.Service]bool{},
		completions:    map[string]*completion{},
		streamRequests: map[string]string{},
		callState:      map[call.RequestID]*callState{},
	}
	var err error
	if e.streams, err = stream.New(cfg.Stream); err != nil {
		return nil, errors.Wrap(err, "stream")
	}
	if e.router, err = routing.New(cfg.Routing); err != nil {
		return nil, errors.Wrap(err, "routing")
	}
	if e.borrower, err = limits.NewBorrower(cfg.Limits); err != nil {
		return nil, errors.Wrap(err, "limits")
	}
	if e.queue, err = admission.New(cfg.Admission, limiter{entry: e}); err != nil {
		return nil, errors.Wrap(err, "admission")
	}
	if e.calls, err = call.New(cfg.Call); err != nil {
		return nil, errors.Wrap(err, "call")
	}
	if e.list, err = entrylist.New(cfg.List); err != nil {
		return nil, errors.Wrap(err, "entry list")
	}
	return e, nil
}

// Step handles one event at process time now and returns the resulting actions. The
// slice is valid until the next Step. Shells send the event types that EntryEvents lists;
// an unknown type is ignored.
func (e *Entry) Step(now time.Duration, event Event) []Action {
	clear(e.out)
	e.out = e.out[:0]
	switch ev := event.(type) {
	case Tick:
		e.tick(now)
	case Snapshot:
		e.applySnapshot(now, ev.Reply)
	case AddressesAsked:
		e.emit(AddressesAnswered{Request: ev.Request, List: e.list.IssueAddresses(now, ev.Team)})
	case CompletionAsked:
		e.handleCompletion(now, ev)
	case CallerGone:
		e.handleCallerGone(now, ev.Request)
	case stream.Event:
		e.stepStreams(now, ev)
	case routing.Event:
		e.stepRouter(now, ev)
	case call.Event:
		e.stepCalls(now, ev)
	case limits.LoanReceived:
		e.handleLimitActions(now, e.borrower.Step(now, ev))
	case entrylist.Event:
		e.stepList(now, ev)
	case admission.Credit:
		e.handleQueueActions(now, e.queue.Step(now, ev))
	}
	if e.borrower.Urgent() {
		e.handleLimitActions(now, e.borrower.Step(now, limits.Tick{}))
	}
	return e.out
}

func (e *Entry) emit(a Action) { e.out = append(e.out, a) }

func (e *Entry) tick(now time.Duration) {
	e.handleLimitActions(now, e.borrower.Step(now, limits.Tick{}))
	e.handleQueueActions(now, e.queue.Step(now, admission.Tick{}))
	e.stepStreams(now, stream.Tick{})
	e.stepCalls(now, call.Tick{})
	e.stepList(now, entrylist.Tick{})
}

func (e *Entry) handleLimitActions(now time.Duration, actions []limits.Action) {
	refilled := false
	for _, a := range actions {
		if _, ok := a.(limits.Refilled); ok {
			refilled = true
			continue
		}
		e.emit(a)
	}
	if refilled {
		e.handleQueueActions(now, e.queue.Step(now, admission.Credit{}))
	}
}

func (e *Entry) handleQueueActions(now time.Duration, actions []admission.Action) {
	for _, a := range append([]admission.Action(nil), actions...) {
		switch a := a.(type) {
		case admission.Admit:
			e.startQueued(now, a.ID)
		case admission.Refuse:
			e.refuseQueued(now, a)
		}
	}
}

func (e *Entry) stepList(now time.Duration, ev entrylist.Event) {
	for _, a := range e.list.Step(now, ev) {
		e.emit(a)
	}
}

func (e *Entry) stepRouter(now time.Duration, ev routing.Event) {
	if load, ok := ev.(routing.Load); ok {
		e.stepStreams(now, stream.Heard{Server: load.Server})
	}
	for _, a := range e.router.Step(now, ev) {
		e.emit(a)
	}
}

// requestOpened and requestClosed count the open requests that a planned stop waits for.
func (e *Entry) requestOpened(now time.Duration) { e.stepList(now, entrylist.Opened{}) }

func (e *Entry) requestClosed(now time.Duration) { e.stepList(now, entrylist.Closed{}) }

// EntryState holds versions and counters of an Entry.
type EntryState struct {
	ConfigKnown   bool            `json:"config_known"`
	ConfigVersion uint64          `json:"config_version"`
	Draining      bool            `json:"draining"`
	OpenRequests  int             `json:"open"`
	Streams       stream.Stats    `json:"streams"`
	Routing       routing.Stats   `json:"routing"`
	Admission     admission.Stats `json:"admission"`
	OpenCalls     int             `json:"calls"`
	Keys          int             `json:"keys"`
	Members       int             `json:"members"`
	Servers       int             `json:"servers"`
}

// State returns the current versions and counters.
func (e *Entry) State() EntryState {
	return EntryState{
		ConfigKnown:   e.acceptedConfig.known,
		ConfigVersion: e.acceptedConfig.version,
		Draining:      e.list.Draining(),
		OpenRequests:  e.list.OpenRequests(),
		Streams:       e.streams.Stats(),
		Routing:       e.router.Stats(),
		Admission:     e.queue.Stats(),
		OpenCalls:     e.calls.OpenRequests(),
		Keys:          e.calls.KeyCount(),
		Members:       len(e.members),
		Servers:       len(e.servers),
	}
}
