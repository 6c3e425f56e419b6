package stream

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Stats holds the counters of a Table. All fields except Open and KeptBytes only grow.
type Stats struct {
	// Open is the number of open streams.
	Open int `json:"open"`
	// KeptBytes is the size of the kept inputs and exported caches.
	KeptBytes int `json:"kept_bytes"`
	// Dropped counts answers that matched no step in flight.
	Dropped uint64 `json:"dropped"`
	// Ignored counts other events that arrived too late, named no open stream or opened
	// one again.
	Ignored uint64 `json:"ignored"`
	// Resent counts steps sent again after a lost reply.
	Resent uint64 `json:"resent"`
	// Replaced counts stages taken over by another server.
	Replaced uint64 `json:"replaced"`
	// Imported counts resumes by import of a KV cache.
	Imported uint64 `json:"imported"`
	// Replayed counts resumes by replay of kept inputs.
	Replayed uint64 `json:"replayed"`
	// Prefilled counts resumes by a prefill of the prompt and the tokens so far.
	Prefilled uint64 `json:"prefilled"`
	// StartedOver counts resumes that ran every token again.
	StartedOver uint64 `json:"started_over"`
	// Finished counts complete answers.
	Finished uint64 `json:"finished"`
	// Cut counts answers that were cut.
	Cut uint64 `json:"cut"`
}

// Table holds the open streams of one entry process. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	streams     map[string]*stream // by name at the engines
	engineNames map[string]string  // by request
	openStreams []*stream          // a slice, so that ticks have a deterministic order
	lastAlive   map[ident.BackendServer]time.Duration
	now         time.Duration
	actions     []Action // result of the current Step
	stats       Stats
}

// New returns an empty Table.
func New(cfg Config) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Table{
		cfg:         cfg,
		streams:     map[string]*stream{},
		engineNames: map[string]string{},
		lastAlive:   map[ident.BackendServer]time.Duration{},
	}, nil
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	t.stats.Open = len(t.openStreams)
	return t.stats
}

// Step handles one event at process time now and returns the actions to execute.
func (t *Table) Step(now time.Duration, ev Event) []Action {
	t.now = now
	t.actions = nil
	switch ev := ev.(type) {
	case Open:
		t.open(ev)
	case StepDone:
		t.stepDone(ev)
	case StepFailed:
		t.stepFailed(ev)
	case Replacement:
		t.replaceServer(ev)
	case ExportDone:
		t.exportDone(ev)
	case ExportFailed:
		t.exportFailed(ev)
	case ImportDone:
		t.importDone(ev)
	case ImportFailed:
		t.importFailed(ev)
	case Cancel:
		t.cancel(ev)
	case Heard:
		t.markAlive(ev.Server)
	case Tick:
		t.tick()
	}
	return t.actions
}

func (t *Table) emit(a Action) {
	if t.actions == nil {
		t.actions = make([]Action, 0, 2) // a token and the next step
	}
	t.actions = append(t.actions, a)
}

func (t *Table) open(ev Open) {
	if _, alreadyOpen := t.engineNames[ev.Request]; alreadyOpen {
		t.stats.Ignored++
		return
	}
	if refusal, ok := t.validateOpen(ev); !ok {
		t.stats.Cut++
		t.emit(Cut{Request: ev.Request, Refusal: refusal})
		return
	}
	s := newStream(ev)
	s.openIndex = len(t.openStreams)
	t.openStreams = append(t.openStreams, s)
	t.engineNames[ev.Request] = s.name
	t.streams[s.name] = s
	t.sendNextStep(s)
}

// validateOpen checks a request before anything is sent for it. It returns the refusal
// and false if the request is not accepted.
func (t *Table) validateOpen(ev Open) (verdict.Refusal, bool) {
	if len(t.openStreams) >= t.cfg.MaxStreams {
		return notRun(verdict.CauseQueueFull, t.cfg.Backoff, "too many open streams"), false
	}
	if ev.MaxTokens < 1 || ev.MaxTokens > t.cfg.MaxTokens {
		return notRun(verdict.CauseBadRequest, 0, "max_tokens must be 1 or more and within the entry's bound"), false
	}
	if ev.Deadline > 0 && ev.Deadline <= t.now {
		return notRun(verdict.CauseDeadline, 0, "the deadline has passed"), false
	}
	if !Covers(ev.Pipeline, ev.Layers) {
		return notRun(verdict.CauseNoBackend, time.Second, "the pipeline does not cover every layer exactly once"), false
	}
	return verdict.Refusal{}, true
}

// Covers reports whether the stages run the layers [0, layers) exactly once
// and in order.
func Covers(stages []Stage, layers int) bool {
	nextLayer := 0
	for _, stage := range stages {
		if stage.From != nextLayer || stage.To <= stage.From || stage.Server == "" {
			return false
		}
		nextLayer = stage.To
	}
	return layers > 0 && nextLayer == layers
}

func (t *Table) cancel(ev Cancel) {
	s, ok := t.streams[t.engineNames[ev.Request]]
	if !ok {
		t.stats.Ignored++
		return
	}
	t.cut(s, verdict.CauseCallerGone, "the caller is gone")
}

// finish ends a stream whose answer is complete.
func (t *Table) finish(s *stream, reason FinishReason) {
	t.emit(Finish{Request: s.open.Request, Reason: reason, Tokens: len(s.emitted)})
	t.stats.Finished++
	t.remove(s)
}

// cut ends a stream without a complete answer.
func (t *Table) cut(s *stream, cause verdict.Cause, detail string) {
	refusal := verdict.Refusal{Verdict: verdict.MayHaveRun, Cause: cause, Detail: detail}
	if !s.mayHaveRun() {
		refusal = notRun(cause, time.Second, detail)
	}
	t.emit(Cut{Request: s.open.Request, Refusal: refusal})
	t.stats.Cut++
	t.remove(s)
}

func notRun(cause verdict.Cause, retryAfter time.Duration, detail string) verdict.Refusal {
	return verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: retryAfter, Detail: detail}
}

// remove deletes a stream and releases what the engines hold for it.
func (t *Table) remove(s *stream) {
	t.cancelStages(s)
	t.dropKept(s)
	delete(t.streams, s.name)
	delete(t.engineNames, s.open.Request)
	last := len(t.openStreams) - 1
	t.openStreams[s.openIndex] = t.openStreams[last]
	t.openStreams[s.openIndex].openIndex = s.openIndex
	t.openStreams[last] = nil
	t.openStreams = t.openStreams[:last]
}

func (t *Table) cancelStages(s *stream) {
	for i := range s.stages {
		st := &s.stages[i]
		if st.contacted {
			t.emit(CancelAt{Server: st.server, Stream: s.name, Attempt: st.attempt})
		}
	}
}
