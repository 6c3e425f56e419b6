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
	// StepTime is the duration of one batch.
	StepTime time.Duration
	// PrefillTime is added to a batch for each prompt token that is not in the
	// prefix cache.
	PrefillTime time.Duration
	// Capacity is the maximum number of steps in one batch.
	Capacity int
	// MaxWaiting bounds the number of steps in the run queue.
	MaxWaiting int
	// MaxStreams bounds the number of streams with state.
	MaxStreams int
	// PrefixBlocks bounds the prefix cache, in blocks; 0 disables the cache.
	PrefixBlocks int
	// ChecksOrders makes the engine refuse orders with an outdated fencing token.
	ChecksOrders bool
}

// streamIdleTimeout is how long the state of a stream without steps is kept when
// MaxStreams is reached.
const streamIdleTimeout = 2 * time.Minute

// stream is the state of one stream at the stage.
type stream struct {
	attempt int
	state   *model.State
	pending *job
	// lastResult is the result of the latest step, returned for retries, and
	// lastInput the step's data. Both are valid if hasLast is set.
	lastResult engine.Result
	lastInput  string
	hasLast    bool
	lastUsed   time.Time
}

// job is one step in the run queue.
type job struct {
	step   engine.Step
	stream *stream
	// done is closed once result is set.
	done   chan struct{}
	result engine.Result
}

func (j *job) finish(r engine.Result) {
	j.result = r
	close(j.done)
}

// stage is an engine without its transport. It does continuous batching over a run
// queue that is ordered by priority, higher numbers first.
type stage struct {
	cfg StageConfig
	// resetConns resets every connection and onDeath stops the engine. Both are
	// called after dieAfter more steps; 0 means never.
	resetConns func()
	onDeath    func()

	mu          sync.Mutex
	incarnation int
	leaving     bool
	dieAfter    int
	streams     map[string]*stream
	queue       []*job
	running     int
	loopRunning bool
	loadHistory history[engine.Load]
	prefixes    *prefixCache
	prefills    map[string]int
	stepsRun    int64
}

func newStage(cfg StageConfig) *stage {
	s := &stage{cfg: cfg, prefills: map[string]int{}}
	s.reset()
	return s
}

// reset discards all streams and queued steps, as a crash of the engine does.
func (s *stage) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.dieAfter = 0
	for _, j := range s.queue {
		j.finish(newResult(j.step, engine.ErrorLeaving))
	}
	s.queue = nil
	s.streams = map[string]*stream{}
	s.prefixes = newPrefixCache(s.cfg.PrefixBlocks)
	s.recordLoadLocked()
}

// newResult returns the result of step with an error code, empty for success.
func newResult(step engine.Step, code string) engine.Result {
	return engine.Result{
		Stream: step.Stream, Attempt: step.Attempt, Token: step.Token,
		From: step.From, To: step.To, Error: code,
	}
}

// runSteps runs a batch and returns one result per step, in order.
func (s *stage) runSteps(batch []engine.Step) []engine.Result {
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

// admit queues a step and returns its job. The job is already finished if the
// step is refused or its result is stored.
func (s *stage) admit(step engine.Step) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := &job{step: step, done: make(chan struct{})}
	if step.From != s.cfg.Layers.From || step.To != s.cfg.Layers.To {
		j.finish(newResult(step, "not_run:layers"))
		return j
	}
	st, code := s.streamLocked(step)
	if code != "" {
		j.finish(newResult(step, code))
		return j
	}
	if st.pending != nil {
		return s.joinPendingLocked(st, j)
	}
	if r, ok := st.retryResult(step); ok {
		j.finish(r)
		return j
	}
	if step.Token != st.state.Position() {
		j.finish(newResult(step, engine.ErrorPositionPrefix+strconv.Itoa(st.state.Position())))
		return j
	}
	if len(s.queue) >= s.cfg.MaxWaiting {
		s.dropIfEmptyLocked(step.Stream, st)
		j.finish(newResult(step, engine.ErrorFull))
		return j
	}
	st.attempt = max(st.attempt, step.Attempt)
	st.pending = j
	st.lastUsed = time.Now()
	j.stream = st
	s.enqueueLocked(j)
	return j
}

// streamLocked returns the stream of a step, creating it for token 0, or an error
// code.
func (s *stage) streamLocked(step engine.Step) (*stream, string) {
	st := s.streams[step.Stream]
	if st != nil && step.Attempt < st.attempt {
		return nil, engine.ErrorStale
	}
	restart := st != nil && step.Attempt > st.attempt && step.Token == 0 && !st.isRetry(step)
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
	st = &stream{attempt: step.Attempt, state: state, lastUsed: time.Now()}
	s.streams[step.Stream] = st
	return st, ""
}

// isRetry reports whether step repeats the pending step, or the latest one if none is
// pending. The attempts may differ.
func (st *stream) isRetry(step engine.Step) bool {
	if st.pending != nil {
		return st.pending.step.Token == step.Token && st.pending.step.Data == step.Data
	}
	_, ok := st.retryResult(step)
	return ok
}

// retryResult returns the stored result if step repeats the latest step.
func (st *stream) retryResult(step engine.Step) (engine.Result, bool) {
	if !st.hasLast || st.lastResult.Token != step.Token || st.lastInput != step.Data {
		return engine.Result{}, false
	}
	st.attempt = max(st.attempt, step.Attempt)
	return st.lastResult, true
}

// joinPendingLocked returns the pending job if j retries it. Otherwise it refuses j.
func (s *stage) joinPendingLocked(st *stream, j *job) *job {
	if st.isRetry(j.step) {
		st.attempt = max(st.attempt, j.step.Attempt)
		return st.pending
	}
	j.finish(newResult(j.step, engine.ErrorPositionPrefix+strconv.Itoa(st.state.Position())))
	return j
}

// dropIfEmptyLocked deletes a stream that has not run any step.
func (s *stage) dropIfEmptyLocked(id string, st *stream) {
	if st.state.Position() == 0 {
		delete(s.streams, id)
	}
}

// dropIdleLocked deletes idle streams if the stage holds MaxStreams streams.
func (s *stage) dropIdleLocked() {
	if len(s.streams) < s.cfg.MaxStreams {
		return
	}
	for id, st := range s.streams {
		if st.pending == nil && time.Since(st.lastUsed) > streamIdleTimeout {
			delete(s.streams, id)
		}
	}
}

// enqueueLocked inserts a job behind those of the same or a higher priority.
func (s *stage) enqueueLocked(j *job) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].step.Priority < j.step.Priority {
		at--
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = j
	s.recordLoadLocked()
	if !s.loopRunning {
		s.loopRunning = true
		go s.loop()
	}
}

// loop runs batches until the queue is empty.
func (s *stage) loop() {
	for {
		batch, incarnation, wait := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		time.Sleep(wait)
		s.runBatch(batch, incarnation)
	}
}

// nextBatch removes the next batch from the queue and returns it with the time that it
// takes to run. An empty batch ends the loop.
func (s *stage) nextBatch() (batch []*job, incarnation int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(s.cfg.Capacity, len(s.queue))
	batch = append(batch, s.queue[:n]...)
	s.queue = append([]*job(nil), s.queue[n:]...)
	s.running = n
	s.loopRunning = n > 0
	s.recordLoadLocked()
	wait = s.cfg.StepTime
	for _, j := range batch {
		if j.step.Token == 0 {
			wait += time.Duration(s.prefillTokensLocked(j.step)) * s.cfg.PrefillTime
		}
	}
	return batch, s.incarnation, wait
}

// prefillTokensLocked returns the number of prompt tokens that must be computed
// and adds the prompt to the prefix cache.
func (s *stage) prefillTokensLocked(step engine.Step) int {
	if s.cfg.Layers.From > 0 {
		return model.ActivationTokens(step.Data)
	}
	prompt, _, err := model.ParsePrefill(step.Data)
	if err != nil {
		return 0
	}
	cached := s.prefixes.access(prompt)
	return len(model.Tokenize(prompt[cached:]))
}

func (s *stage) runBatch(batch []*job, incarnation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range batch {
		if incarnation != s.incarnation {
			j.finish(newResult(j.step, engine.ErrorLeaving))
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
		return newResult(j.step, engine.ErrorCancelled)
	}
	out, eos, err := j.stream.state.Run(j.step.Token, j.step.Data)
	if err != nil {
		return newResult(j.step, "not_run:"+errors.UnwrapAll(err).Error())
	}
	s.countLocked(j.step)
	r := newResult(j.step, "")
	r.Data, r.EOS = out, eos
	j.stream.lastResult, j.stream.lastInput, j.stream.hasLast = r, j.step.Data, true
	return r
}

// countLocked updates the ledger and triggers a pending DieMidstream fault.
func (s *stage) countLocked(step engine.Step) {
	s.stepsRun++
	if step.Token == 0 && s.cfg.Layers.From == 0 {
		s.prefills[PromptHash(step.Data)]++
	}
	if s.dieAfter == 0 {
		return
	}
	s.dieAfter--
	if s.dieAfter == 0 {
		s.incarnation++
		s.resetConns()
		go s.onDeath()
	}
}

// PromptHash returns the hash by which an engine's ledger identifies a prompt and
// its seed; data is the result of model.PrefillData.
func PromptHash(data string) string {
	return strconv.FormatUint(xxhash.Sum64String(data), 16)
}

// cancel deletes a stream unless it has a later attempt than the one given.
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
			j.finish(newResult(j.step, engine.ErrorCancelled))
			break
		}
	}
	s.recordLoadLocked()
}

// exportState returns the KV cache of a stream.
func (s *stage) exportState(id string) (engine.KVCache, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[id]
	if st == nil {
		return engine.KVCache{}, false
	}
	return engine.KVCache{Blob: st.state.Export(), Position: st.state.Position()}, true
}

// importState installs an exported KV cache for a new attempt of a stream. It
// returns an error code, empty on success.
func (s *stage) importState(id string, attempt int, blob string) (code string) {
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
	s.streams[id] = &stream{attempt: attempt, state: state, lastUsed: time.Now()}
	s.recordLoadLocked()
	return ""
}

func (s *stage) recordLoadLocked() {
	now := time.Now()
	s.loadHistory.record(now, engine.Load{
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

// ledger returns the number of prefills, by PromptHash, and of all executed steps.
func (s *stage) ledger() (prefills map[string]int, stepsRun int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefills = make(map[string]int, len(s.prefills))
	for hash, n := range s.prefills {
		prefills[hash] = n
	}
	return prefills, s.stepsRun
}
