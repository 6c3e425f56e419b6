package stream

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

const (
	fakeStepTime    = 10 * time.Millisecond
	fakePrefillTime = 250 * time.Microsecond // per prompt token and stage
)

// fakeEngine runs the stand-in engine's model. Each layer's state depends on all its earlier
// inputs, so a layer that runs twice, not at all or out of order changes the text.
type fakeEngine struct {
	dead    bool
	leaving bool
	stall   time.Duration
	silent  bool // runs steps and never answers
	caches  map[string]*model.State
	stored  map[string]StepDone // stream/attempt/token
	runs    map[string]int      // stream/imports/token -> times run
	imports map[string]int      // stream -> caches imported
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		caches: map[string]*model.State{},
		stored: map[string]StepDone{}, runs: map[string]int{}, imports: map[string]int{},
	}
}

func (e *fakeEngine) run(a SendStep, layers int) Event {
	key := fmt.Sprint(a.Stream, "/", a.Attempt, "/", a.Token)
	if done, ok := e.stored[key]; ok {
		return done
	}
	failed := failure(a, FailureLeaving)
	cache := e.caches[a.Stream]
	if e.leaving {
		return failed
	}
	if cache == nil {
		cache, _ = model.NewState(model.Range{From: a.From, To: a.To, Total: layers})
		e.caches[a.Stream] = cache
	}
	if cache.Position() != a.Token {
		failed.Kind = FailurePosition
		failed.Position = cache.Position()
		return failed
	}
	data, eos, err := cache.Run(a.Token, a.Data)
	if err != nil {
		panic(err)
	}
	e.runs[fmt.Sprint(a.Stream, "/", e.imports[a.Stream], "/", a.Token)]++
	e.stored[key] = StepDone{
		Stream: a.Stream, Server: a.Server, Attempt: a.Attempt, Token: a.Token,
		From: a.From, To: a.To, Data: data, EOS: eos,
	}
	return e.stored[key]
}

func failure(a SendStep, kind FailureKind) StepFailed {
	return StepFailed{
		Stream: a.Stream, Server: a.Server, Attempt: a.Attempt, Token: a.Token,
		From: a.From, To: a.To, Kind: kind,
	}
}

// faults holds the probability of each fault per message, from 0 to 1.
type faults struct {
	lose, duplicate, misdeliver float64
}

type delivery struct {
	at  time.Duration
	seq int
	ev  Event
}

// sim drives one Table against fake engines under virtual time.
type sim struct {
	table        *Table
	engines      map[ident.BackendServer]*fakeEngine
	spares       map[int][]ident.BackendServer // by first layer; element 0 is the initial server
	layers       int
	rng          *rand.Rand
	faults       faults
	now          time.Duration
	tickInterval time.Duration
	seq          int
	queue        []delivery
	sends        int
	exports      int
	silent       bool // open connections get no answers, new ones do
	onSend       func(s *sim, a SendStep)
	answers      []StepDone

	text       map[string][]string
	finished   map[string]Finish
	cuts       map[string]Cut
	emitTimes  []time.Duration
	violations []string
}

func newSim(cfg Config, stages, spares int, seed uint64) *sim {
	table, err := New(cfg)
	if err != nil {
		panic(err)
	}
	s := &sim{
		table: table, layers: 4 * stages, tickInterval: 5 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)),
		engines: map[ident.BackendServer]*fakeEngine{}, spares: map[int][]ident.BackendServer{},
		text: map[string][]string{}, finished: map[string]Finish{}, cuts: map[string]Cut{},
	}
	for i := range stages {
		for r := range 1 + spares {
			name := ident.BackendServer(fmt.Sprintf("s%d.%d", i, r))
			s.engines[name] = newFakeEngine()
			s.spares[4*i] = append(s.spares[4*i], name)
		}
	}
	return s
}

func (s *sim) open(request string, tokens int) {
	pipeline := []Stage{}
	for from := 0; from < s.layers; from += 4 {
		pipeline = append(pipeline, Stage{From: from, To: from + 4, Server: s.spares[from][0]})
	}
	s.step(Open{Request: request, Prompt: promptOf(request), MaxTokens: tokens, Layers: s.layers, Pipeline: pipeline})
}

func (s *sim) deliverAfter(d time.Duration, ev Event) {
	s.seq++
	s.queue = append(s.queue, delivery{at: s.now + d, seq: s.seq, ev: ev})
}

// run delivers events until no stream is open or the time is over.
func (s *sim) run(until time.Duration) {
	for s.now < until && s.table.Stats().Open > 0 {
		s.now += s.tickInterval
		sort.Slice(s.queue, func(i, j int) bool {
			a, b := s.queue[i], s.queue[j]
			return a.at < b.at || a.at == b.at && a.seq < b.seq
		})
		n := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > s.now })
		due := s.queue[:n:n]
		s.queue = s.queue[n:]
		for _, d := range due {
			s.step(d.ev)
		}
		s.step(Tick{})
	}
}

func (s *sim) step(ev Event) {
	actions := append([]Action(nil), s.table.Step(s.now, ev)...)
	if s.rng.IntN(2) == 0 { // the next step may run before the export
		sort.SliceStable(actions, func(i, j int) bool { return !isExport(actions[i]) && isExport(actions[j]) })
	}
	for _, a := range actions {
		s.runAction(a)
	}
}

func isExport(a Action) bool {
	_, ok := a.(Export)
	return ok
}

func (s *sim) runAction(a Action) {
	switch a := a.(type) {
	case SendStep:
		s.sends++
		if s.onSend != nil {
			s.onSend(s, a)
		}
		s.send(a)
	case EmitToken:
		if a.Index != len(s.text[a.Request]) {
			s.violations = append(s.violations, fmt.Sprintf("%s: token %d emitted after %d tokens", a.Request, a.Index, len(s.text[a.Request])))
		}
		s.text[a.Request] = append(s.text[a.Request], a.Text)
		s.emitTimes = append(s.emitTimes, s.now)
	case Finish:
		s.finished[a.Request] = a
	case Cut:
		s.cuts[a.Request] = a
	case WantReplacement:
		s.deliverAfter(fakeStepTime/10, Replacement{Stream: a.Stream, Stage: a.Stage, Server: s.pickReplacement(a)})
	case Export:
		s.export(a)
	case Import:
		s.importCache(a)
	}
}

func (s *sim) send(a SendStep) {
	engine := s.engines[a.Server]
	if engine.dead {
		s.deliverAfter(fakeStepTime/10, failure(a, FailureNotSent))
		return
	}
	if engine.stall > 0 { // its load reports still arrive
		for at := time.Duration(0); at < engine.stall; at += 100 * time.Millisecond {
			s.deliverAfter(at, Heard{Server: a.Server})
		}
	}
	answer := engine.run(a, s.layers)
	if engine.silent || s.silent && !a.NewConnection {
		return
	}
	if s.rng.Float64() < s.faults.lose {
		s.deliverAfter(2*fakeStepTime, failure(a, FailureLost))
		if s.rng.Float64() < 0.5 {
			s.deliverAfter(time.Duration(s.rng.IntN(40))*fakeStepTime, answer) // late instead of lost
		}
		return
	}
	took := fakeStepTime + engine.stall
	if a.Token == 0 {
		took += time.Duration(strings.Count(a.Data, " ")+strings.Count(a.Data, ",")) * fakePrefillTime
	}
	s.deliverAfter(took, answer)
	if s.rng.Float64() < s.faults.duplicate {
		s.deliverAfter(time.Duration(1+s.rng.IntN(40))*fakeStepTime, answer)
	}
	if done, ok := answer.(StepDone); ok {
		s.answers = append(s.answers, done)
	}
	if len(s.answers) > 0 && s.rng.Float64() < s.faults.misdeliver {
		s.misdeliver(s.answers[s.rng.IntN(len(s.answers))])
	}
}

// misdeliver delivers an earlier answer of any stream again, either unchanged or with one
// part of its identity and its data changed.
func (s *sim) misdeliver(done StepDone) {
	switch s.rng.IntN(6) {
	case 0:
		done.Attempt += 100
		done.Data = "crossed"
	case 1:
		done.From, done.To = done.From+1, done.To+1
		done.Data = "crossed"
	case 2:
		done.Server = "other"
		done.Data = "crossed"
	case 3:
		done.Token += 100
		done.Data = "crossed"
	}
	s.deliverAfter(time.Duration(s.rng.IntN(15))*time.Millisecond, done)
}

func (s *sim) pickReplacement(a WantReplacement) ident.BackendServer {
	if len(s.spares[a.From]) == 1 && len(a.Exclude) == 0 {
		return s.spares[a.From][0] // the only server: offered even if it has not recovered
	}
	for _, name := range s.spares[a.From] {
		excluded := false
		for _, other := range a.Exclude {
			excluded = excluded || other == name
		}
		if !excluded && !s.engines[name].dead && !s.engines[name].leaving && !s.engines[name].silent {
			return name
		}
	}
	return ""
}

func (s *sim) export(a Export) {
	s.exports++
	engine := s.engines[a.Server]
	if engine.dead {
		s.deliverAfter(fakeStepTime, ExportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		return
	}
	cache := engine.caches[a.Stream]
	if cache == nil {
		s.deliverAfter(fakeStepTime, ExportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		return
	}
	s.deliverAfter(time.Duration(1+s.rng.IntN(20))*time.Millisecond, ExportDone{
		Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt, Position: cache.Position(), Blob: cache.Export(),
	})
}

func (s *sim) importCache(a Import) {
	engine := s.engines[a.Server]
	layers := model.Range{From: 4 * a.Stage, To: 4*a.Stage + 4, Total: s.layers}
	cache, err := model.Import(layers, a.Blob)
	if engine.dead || err != nil {
		s.deliverAfter(fakeStepTime, ImportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		return
	}
	engine.caches[a.Stream] = cache
	engine.imports[a.Stream]++
	s.deliverAfter(fakeStepTime, ImportDone{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
}

func promptOf(request string) string {
	return model.PrefillData("the prompt of "+request, 7)
}

// expected returns the text of a request without any fault.
func expected(stages, tokens int, request string) string {
	return strings.Join(model.ExpectedTokens("the prompt of "+request, 7, tokens, 4*stages), "")
}
