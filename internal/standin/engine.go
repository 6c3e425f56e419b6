package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

// StageConfig describes one engine stage.
type StageConfig struct {
	ID     string
	Layers model.Range
	// StepTime is how long one batch takes.
	StepTime time.Duration
	// PrefillTime is added to a batch for each prompt token that is not in the
	// prefix cache.
	PrefillTime time.Duration
	// Capacity is the number of streams in one batch.
	Capacity int
	// MaxWaiting bounds the run queue.
	MaxWaiting int
	// MaxStreams bounds the streams with state.
	MaxStreams int
	// PrefixBlocks bounds the prefix cache.
	PrefixBlocks int
	// ChecksOrders says whether orders with old fencing numbers are refused.
	ChecksOrders bool
}

// streamIdle is how long a stream's state is kept without a step.
const streamIdle = 2 * time.Minute

// stream is one stream's state at the stage.
type stream struct {
	attempt int
	state   *model.State
	pending *job
	// last is the result of the token before the next, for repeats.
	last     engine.Result
	lastData string
	hasLast  bool
	used     time.Time
}

// job is one step on its way through the run queue.
type job struct {
	step   engine.Step
	stream *stream
	// done is closed when result stands.
	done   chan struct{}
	result engine.Result
}

func (j *job) finish(r engine.Result) {
	j.result = r
	close(j.done)
}

// stage is an engine without its transport: continuous batching over a run
// queue with priorities, higher numbers first.
type stage struct {
	cfg StageConfig
	// cut resets every connection; died ends the engine. Both are called when
	// dieAfter steps have run.
	cut  func()
	died func()

	mu       sync.Mutex
	life     int
	leaving  bool
	dieAfter int
	streams  map[string]*stream
	queue    []*job
	running  int
	looping  bool
	load     lagged[engine.Load]
	prefixes *prefixCache
	prefills map[string]int
	ran      int64
}

func newStage(cfg StageConfig) *stage {
	s := &stage{cfg: cfg, prefills: map[string]int{}}
	s.reset()
	return s
}

// reset loses every stream and everything in the queue, as a death does.
func (s *stage) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	s.dieAfter = 0
	for _, j := range s.queue {
		j.finish(refuse(j.step, engine.ErrorLeaving))
	}
	s.queue = nil
	s.streams = map[string]*stream{}
	s.prefixes = newPrefixCache(s.cfg.PrefixBlocks)
	s.recordLoadLocked()
}

func refuse(step engine.Step, code string) engine.Result {
	return engine.Result{
		Stream: step.Stream, Attempt: step.Attempt, Token: step.Token,
		From: step.From, To: step.To, Error: code,
	}
}

// steps runs a batch and returns one result for each step, in order.
func (s *stage) steps(batch []engine.Step) []engine.Result {
	jobs := make([]*job, len(batch))
	for i, step := range batch {
		jobs[i] = s.admit(step)
	}
	results := make([]engine.Result, len(batch))
	for i, j := range jobs {
		<-j.done
		results[i] = j.result
		results[i].Attempt = batch[i].Attempt
	}
	return results
}

// admit queues a step, or returns a job that is finished.
func (s *stage) admit(step engine.Step) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &job{step: step, done: make(chan struct{})}
	if step.From != s.cfg.Layers.From || step.To != s.cfg.Layers.To {
		j.finish(refuse(step, "not_run:layers"))
		return j
	}
	st, code := s.streamLocked(step)
	if code != "" {
		j.finish(refuse(step, code))
		return j
	}
	if st.pending != nil {
		return s.joinPendingLocked(st, j)
	}
	if r, ok := st.repeated(step); ok {
		j.finish(r)
		return j
	}
	if step.Token != st.state.Position() {
		j.finish(refuse(step, engine.ErrorPositionPrefix+strconv.Itoa(st.state.Position())))
		return j
	}
	if len(s.queue) >= s.cfg.MaxWaiting {
		s.dropUnbegunLocked(step.Stream, st)
		j.finish(refuse(step, engine.ErrorFull))
		return j
	}
	st.attempt = max(st.attempt, step.Attempt)
	st.pending = j
	st.used = time.Now()
	j.stream = st
	s.enqueueLocked(j)
	return j
}

// streamLocked returns the stream of a step, opened if it is new.
func (s *stage) streamLocked(step engine.Step) (*stream, string) {
	st := s.streams[step.Stream]
	if st != nil && step.Attempt < st.attempt {
		return nil, engine.ErrorStale
	}
	restart := st != nil && step.Attempt > st.attempt && step.Token == 0 && !st.answers(step)
	if st != nil && !restart {
		return st, ""
	}
	if s.leaving && st == nil {
		return nil, engine.ErrorLeaving
	}
	if step.Token != 0 {
		return nil, engine.ErrorPositionPrefix + "0"
	}
	s.dropIdleLocked()
	if st == nil && len(s.streams) >= s.cfg.MaxStreams {
		return nil, engine.ErrorFull
	}
	state, err := model.NewState(s.cfg.Layers)
	if err != nil {
		return nil, "not_run:layers"
	}
	st = &stream{attempt: step.Attempt, state: state, used: time.Now()}
	s.streams[step.Stream] = st
	return st, ""
}

// answers says whether step is, of any attempt, the one that runs or ran last.
func (st *stream) answers(step engine.Step) bool {
	if st.pending != nil {
		return st.pending.step.Token == step.Token && st.pending.step.Data == step.Data
	}
	_, ok := st.repeated(step)
	return ok
}

// repeated returns the stored result of the step that ran last.
func (st *stream) repeated(step engine.Step) (engine.Result, bool) {
	if !st.hasLast || st.last.Token != step.Token || st.lastData != step.Data {
		return engine.Result{}, false
	}
	st.attempt = max(st.attempt, step.Attempt)
	return st.last, true
}

// joinPendingLocked lets a repeated step wait for the one that is under way.
func (s *stage) joinPendingLocked(st *stream, j *job) *job {
	if st.answers(j.step) {
		st.attempt = max(st.attempt, j.step.Attempt)
		return st.pending
	}
	j.finish(refuse(j.step, engine.ErrorPositionPrefix+strconv.Itoa(st.state.Position())))
	return j
}

func (s *stage) dropUnbegunLocked(id string, st *stream) {
	if st.state.Position() == 0 {
		delete(s.streams, id)
	}
}

func (s *stage) dropIdleLocked() {
	if len(s.streams) < s.cfg.MaxStreams {
		return
	}
	for id, st := range s.streams {
		if st.pending == nil && time.Since(st.used) > streamIdle {
			delete(s.streams, id)
		}
	}
}

// enqueueLocked puts a job behind those of the same or a higher priority.
func (s *stage) enqueueLocked(j *job) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].step.Priority < j.step.Priority {
		at--
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = j
	s.recordLoadLocked()
	if !s.looping {
		s.looping = true
		go s.loop()
	}
}

// loop runs batches until the queue is empty.
func (s *stage) loop() {
	for {
		batch, life, wait := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		time.Sleep(wait)
		s.runBatch(batch, life)
	}
}

func (s *stage) nextBatch() (batch []*job, life int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(s.cfg.Capacity, len(s.queue))
	batch = append(batch, s.queue[:n]...)
	s.queue = append([]*job(nil), s.queue[n:]...)
	s.running = n
	s.looping = n > 0
	s.recordLoadLocked()
	wait = s.cfg.StepTime
	for _, j := range batch {
		if j.step.Token == 0 {
			wait += time.Duration(s.prefillTokensLocked(j.step)) * s.cfg.PrefillTime
		}
	}
	return batch, s.life, wait
}

// prefillTokensLocked returns how many tokens of the prompt have to be
// computed, and notes the prompt in the prefix cache.
func (s *stage) prefillTokensLocked(step engine.Step) int {
	if s.cfg.Layers.From > 0 {
		return model.ActivationTokens(step.Data)
	}
	prompt, _, err := model.ParsePrefill(step.Data)
	if err != nil {
		return 0
	}
	cached := s.prefixes.use(prompt)
	return len(model.Tokenize(prompt[cached:]))
}

func (s *stage) runBatch(batch []*job, life int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range batch {
		if life != s.life {
			j.finish(refuse(j.step, engine.ErrorLeaving))
			continue
		}
		j.finish(s.runLocked(j))
	}
	s.running = 0
	s.recordLoadLocked()
}

func (s *stage) runLocked(j *job) engine.Result {
	j.stream.pending = nil
	if s.streams[j.step.Stream] != j.stream {
		return refuse(j.step, engine.ErrorCancelled)
	}
	out, eos, err := j.stream.state.Run(j.step.Token, j.step.Data)
	if err != nil {
		return refuse(j.step, "not_run:"+errors.UnwrapAll(err).Error())
	}
	s.countLocked(j.step)
	r := refuse(j.step, "")
	r.Data, r.EOS = out, eos
	j.stream.last, j.stream.lastData, j.stream.hasLast = r, j.step.Data, true
	return r
}

// countLocked keeps the ledger and lets the engine die in mid-stream.
func (s *stage) countLocked(step engine.Step) {
	s.ran++
	if step.Token == 0 && s.cfg.Layers.From == 0 {
		s.prefills[PromptHash(step.Data)]++
	}
	if s.dieAfter == 0 {
		return
	}
	s.dieAfter--
	if s.dieAfter == 0 {
		s.life++
		s.cut()
		go s.died()
	}
}

// PromptHash is the name of a prompt in an engine's ledger; data is what
// model.PrefillData returns.
func PromptHash(data string) string {
	return strconv.FormatUint(xxhash.Sum64String(data), 16)
}

// cancel forgets a stream whose attempt is at most the one given.
func (s *stage) cancel(id string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st == nil || st.attempt > attempt {
		return
	}
	delete(s.streams, id)
	for i, j := range s.queue {
		if j.stream == st {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			j.finish(refuse(j.step, engine.ErrorCancelled))
			break
		}
	}
	s.recordLoadLocked()
}

// export returns a stream's state.
func (s *stage) export(id string) (engine.KVCache, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st == nil {
		return engine.KVCache{}, false
	}
	return engine.KVCache{Blob: st.state.Export(), Position: st.state.Position()}, true
}

// take puts an exported state in place for a new attempt.
func (s *stage) take(id string, attempt int, blob string) (code string) {
	state, err := model.Import(s.cfg.Layers, blob)
	if err != nil {
		return err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.streams[id]
	switch {
	case s.leaving:
		return engine.ErrorLeaving
	case old != nil && old.attempt >= attempt:
		return engine.ErrorStale
	case old == nil && len(s.streams) >= s.cfg.MaxStreams:
		return engine.ErrorFull
	}
	s.streams[id] = &stream{attempt: attempt, state: state, used: time.Now()}
	s.recordLoadLocked()
	return ""
}

func (s *stage) recordLoadLocked() {
	now := time.Now()
	s.load.put(now, engine.Load{
		Running:          s.running,
		Waiting:          len(s.queue),
		Capacity:         s.cfg.Capacity,
		KVUsed:           len(s.streams),
		MeasuredAtMillis: now.UnixMilli(),
	})
}

func (s *stage) setLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

func (s *stage) setDieAfter(steps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dieAfter = steps
}

// ledger returns how often each prompt was prefilled, and all steps that ran.
func (s *stage) ledger() (prefills map[string]int, ran int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefills = make(map[string]int, len(s.prefills))
	for hash, n := range s.prefills {
		prefills[hash] = n
	}
	return prefills, s.ran
}
