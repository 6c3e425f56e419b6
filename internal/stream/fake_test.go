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
	fakePrefillTime = 250 * time.Microsecond // per token of the prompt and stage
)

// fakeEngine runs the stand-ins' model: each layer's state depends on every
// input it ever had, so a layer that runs twice, not at all or out of order
// changes the text.
type fakeEngine struct {
	dead    bool
	leaving bool
	stall   time.Duration
	silent  bool // takes steps and never answers
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

// faults are chances, each between 0 and 1, per message.
type faults struct {
	lose, duplicate, cross float64
}

type delivery struct {
	at  time.Duration
	seq int
	ev  Event
}

// world drives one Table against fake engines under virtual time.
type world struct {
	table   *Table
	engines map[ident.BackendServer]*fakeEngine
	spares  map[int][]ident.BackendServer // by From
	layers  int
	rng     *rand.Rand
	faults  faults
	now     time.Duration
	quantum time.Duration
	seq     int
	queue   []delivery
	sends   int
	exports int
	silent  bool // all old connections are silent
	onSend  func(w *world, a SendStep)
	answers []StepDone

	text     map[string][]string
	finished map[string]Finish
	cuts     map[string]Cut
	emitAt   []time.Duration
	faulty   []string
}

func newWorld(cfg Config, stages, spares int, seed uint64) *world {
	table, err := New(cfg)
	if err != nil {
		panic(err)
	}
	w := &world{
		table: table, layers: 4 * stages, quantum: 5 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)),
		engines: map[ident.BackendServer]*fakeEngine{}, spares: map[int][]ident.BackendServer{},
		text: map[string][]string{}, finished: map[string]Finish{}, cuts: map[string]Cut{},
	}
	for i := range stages {
		for r := range 1 + spares {
			name := ident.BackendServer(fmt.Sprintf("s%d.%d", i, r))
			w.engines[name] = newFakeEngine()
			w.spares[4*i] = append(w.spares[4*i], name)
		}
	}
	return w
}

func (w *world) open(request string, tokens int) {
	pipeline := []Stage{}
	for from := 0; from < w.layers; from += 4 {
		pipeline = append(pipeline, Stage{From: from, To: from + 4, Server: w.spares[from][0]})
	}
	w.take(Open{Request: request, Prompt: promptOf(request), MaxTokens: tokens, Layers: w.layers, Pipeline: pipeline})
}

func (w *world) after(d time.Duration, ev Event) {
	w.seq++
	w.queue = append(w.queue, delivery{at: w.now + d, seq: w.seq, ev: ev})
}

// run delivers until nothing is left to do or the time is over.
func (w *world) run(until time.Duration) {
	for w.now < until && w.table.Stats().Open > 0 {
		w.now += w.quantum
		sort.Slice(w.queue, func(i, j int) bool {
			a, b := w.queue[i], w.queue[j]
			return a.at < b.at || a.at == b.at && a.seq < b.seq
		})
		n := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at > w.now })
		due := w.queue[:n:n]
		w.queue = w.queue[n:]
		for _, d := range due {
			w.take(d.ev)
		}
		w.take(Tick{})
	}
}

func (w *world) take(ev Event) {
	actions := append([]Action(nil), w.table.Step(w.now, ev)...)
	if w.rng.IntN(2) == 0 { // an export may find that the next step has run
		sort.SliceStable(actions, func(i, j int) bool { return !isExport(actions[i]) && isExport(actions[j]) })
	}
	for _, a := range actions {
		w.act(a)
	}
}

func isExport(a Action) bool {
	_, ok := a.(Export)
	return ok
}

func (w *world) act(a Action) {
	switch a := a.(type) {
	case SendStep:
		w.sends++
		if w.onSend != nil {
			w.onSend(w, a)
		}
		w.send(a)
	case EmitToken:
		if a.Index != len(w.text[a.Request]) {
			w.faulty = append(w.faulty, fmt.Sprintf("%s: token %d sent after %d", a.Request, a.Index, len(w.text[a.Request])))
		}
		w.text[a.Request] = append(w.text[a.Request], a.Text)
		w.emitAt = append(w.emitAt, w.now)
	case Finish:
		w.finished[a.Request] = a
	case Cut:
		w.cuts[a.Request] = a
	case WantReplacement:
		w.after(fakeStepTime/10, Replacement{Stream: a.Stream, Stage: a.Stage, Server: w.pick(a)})
	case Export:
		w.export(a)
	case Import:
		w.load(a)
	}
}

func (w *world) send(a SendStep) {
	engine := w.engines[a.Server]
	if engine.dead {
		w.after(fakeStepTime/10, failure(a, FailureNotSent))
		return
	}
	if engine.stall > 0 { // its load can still be read
		for at := time.Duration(0); at < engine.stall; at += 100 * time.Millisecond {
			w.after(at, Heard{Server: a.Server})
		}
	}
	answer := engine.run(a, w.layers)
	if engine.silent || w.silent && !a.NewConnection {
		return
	}
	if w.rng.Float64() < w.faults.lose {
		w.after(2*fakeStepTime, failure(a, FailureLost))
		if w.rng.Float64() < 0.5 {
			w.after(time.Duration(w.rng.IntN(40))*fakeStepTime, answer) // late instead of lost
		}
		return
	}
	took := fakeStepTime + engine.stall
	if a.Token == 0 {
		took += time.Duration(strings.Count(a.Data, " ")+strings.Count(a.Data, ",")) * fakePrefillTime
	}
	w.after(took, answer)
	if w.rng.Float64() < w.faults.duplicate {
		w.after(time.Duration(1+w.rng.IntN(40))*fakeStepTime, answer)
	}
	if done, ok := answer.(StepDone); ok {
		w.answers = append(w.answers, done)
	}
	if len(w.answers) > 0 && w.rng.Float64() < w.faults.cross {
		w.cross(w.answers[w.rng.IntN(len(w.answers))])
	}
}

// cross delivers an earlier answer of any stream again, true to itself or with
// one part of its identity and its data changed.
func (w *world) cross(done StepDone) {
	switch w.rng.IntN(6) {
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
	w.after(time.Duration(w.rng.IntN(15))*time.Millisecond, done)
}

func (w *world) pick(a WantReplacement) ident.BackendServer {
	if len(w.spares[a.From]) == 1 && len(a.Exclude) == 0 {
		return w.spares[a.From][0] // routing does not know better
	}
	for _, name := range w.spares[a.From] {
		excluded := false
		for _, x := range a.Exclude {
			excluded = excluded || x == name
		}
		if !excluded && !w.engines[name].dead && !w.engines[name].leaving && !w.engines[name].silent {
			return name
		}
	}
	return ""
}

func (w *world) export(a Export) {
	w.exports++
	engine := w.engines[a.Server]
	if engine.dead {
		w.after(fakeStepTime, ExportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		return
	}
	cache := engine.caches[a.Stream]
	if cache == nil {
		w.after(fakeStepTime, ExportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		return
	}
	w.after(time.Duration(1+w.rng.IntN(20))*time.Millisecond, ExportDone{
		Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt, Position: cache.Position(), Blob: cache.Export(),
	})
}

func (w *world) load(a Import) {
	engine := w.engines[a.Server]
	layers := model.Range{From: 4 * a.Stage, To: 4*a.Stage + 4, Total: w.layers}
	cache, err := model.Import(layers, a.Blob)
	if engine.dead || err != nil {
		w.after(fakeStepTime, ImportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		return
	}
	engine.caches[a.Stream] = cache
	engine.imports[a.Stream]++
	w.after(fakeStepTime, ImportDone{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
}

func promptOf(request string) string {
	return model.PrefillData("the prompt of "+request, 7)
}

// expected is the text of a request without any fault.
func expected(stages, tokens int, request string) string {
	return strings.Join(model.ExpectedTokens("the prompt of "+request, 7, tokens, 4*stages), "")
}
