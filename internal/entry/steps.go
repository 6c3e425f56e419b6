package entry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/stream"
)

// stepQueues sends steps to engines, in batches per engine.
type stepQueues struct {
	shell    *Shell
	mu       sync.Mutex
	byServer map[ident.BackendServer]*stepQueue
}

// stepQueue holds the steps that wait for one engine. senders counts the goroutines
// that send its batches, at most sendersPerEngine.
type stepQueue struct {
	server  ident.BackendServer
	waiting []stream.SendStep
	senders int
}

func (q *stepQueues) init(s *Shell) {
	q.shell = s
	q.byServer = map[ident.BackendServer]*stepQueue{}
}

// add sends a step. A prefill, or a step that needs a new connection, is sent alone;
// others join the engine's next batch.
func (q *stepQueues) add(step stream.SendStep) {
	if step.Token == 0 || step.NewConnection {
		q.sendNow([]stream.SendStep{step})
		return
	}
	q.mu.Lock()
	queue, ok := q.byServer[step.Server]
	if !ok {
		queue = &stepQueue{server: step.Server}
		q.byServer[step.Server] = queue
	}
	queue.waiting = append(queue.waiting, step)
	startSender := queue.senders < sendersPerEngine
	if startSender {
		queue.senders++
	}
	q.mu.Unlock()
	if startSender && !q.shell.Submit(func() { q.sendQueued(queue) }) {
		q.failQueued(queue)
	}
}

func (q *stepQueues) sendNow(steps []stream.SendStep) {
	if !q.shell.Submit(func() { q.shell.sendSteps(steps) }) {
		go q.shell.failSteps(steps, stream.FailureNotSent)
	}
}

// sendQueued sends the waiting steps in batches until none wait.
func (q *stepQueues) sendQueued(queue *stepQueue) {
	for {
		q.mu.Lock()
		n := min(len(queue.waiting), maxStepsPerCall)
		batch := append([]stream.SendStep(nil), queue.waiting[:n]...)
		queue.waiting = append(queue.waiting[:0], queue.waiting[n:]...)
		if n == 0 {
			queue.senders--
			if queue.senders == 0 {
				delete(q.byServer, queue.server)
			}
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		q.shell.sendSteps(batch)
	}
}

// failQueued ends a sender that got no worker. If the queue has no other sender, its
// waiting steps fail.
func (q *stepQueues) failQueued(queue *stepQueue) {
	q.mu.Lock()
	queue.senders--
	var steps []stream.SendStep
	if queue.senders == 0 {
		steps = queue.waiting
		delete(q.byServer, queue.server)
	}
	q.mu.Unlock()
	if len(steps) > 0 {
		go q.shell.failSteps(steps, stream.FailureNotSent)
	}
}

var stepsSent = metrics.NewCounter("catkin_entry_steps_total")

// sendSteps makes one call to an engine and passes each step's result to the core.
func (s *Shell) sendSteps(steps []stream.SendStep) {
	server, ok := s.directory.server(steps[0].Server)
	if !ok {
		s.failSteps(steps, stream.FailureNotSent)
		return
	}
	stepsSent.Add(len(steps))
	opt := httpcall.Within(stepTimeout)
	opt.NewConnection = steps[0].NewConnection
	reply, err := s.engines.Steps(server.Addr, encodeSteps(steps), opt)
	if err != nil {
		kind := stream.FailureLost
		if httpcall.SentOf(err) == httpcall.NotSent {
			kind = stream.FailureNotSent
		}
		s.failSteps(steps, kind)
		return
	}
	for i, result := range reply.Results {
		s.handleStepResult(steps[i], result)
	}
	s.sendLoad(server.ID, reply.Load)
}

func encodeSteps(steps []stream.SendStep) []engine.Step {
	out := make([]engine.Step, 0, len(steps))
	for _, st := range steps {
		data := st.Data
		if st.Token == 0 && st.From == 0 {
			data = engine.PrefillData(st.Data, int64(st.Seed))
		}
		out = append(out, engine.Step{Stream: st.Stream, Attempt: int(st.Attempt), Token: st.Token,
			From: st.From, To: st.To, Priority: st.Priority, Data: data})
	}
	return out
}

// handleStepResult turns an engine's result into an event. The event takes the stream,
// attempt, token and layers from the result, so that the core can detect a result that
// belongs to another step.
func (s *Shell) handleStepResult(step stream.SendStep, r engine.Result) {
	if r.Error == "" {
		s.Send(stream.StepDone{Stream: r.Stream, Server: step.Server, Attempt: uint32(r.Attempt), Token: r.Token,
			From: r.From, To: r.To, Data: r.Data, EOS: r.EOS})
		return
	}
	failed := stream.StepFailed{Stream: r.Stream, Server: step.Server, Attempt: uint32(r.Attempt), Token: r.Token,
		From: r.From, To: r.To, Kind: stream.FailureLost}
	position, isPosition := r.Position()
	switch {
	case isPosition:
		failed.Kind, failed.Position = stream.FailurePosition, position
	case r.Error == engine.ErrorLeaving:
		failed.Kind = stream.FailureLeaving
	case r.Error == engine.ErrorFull:
		failed.Kind = stream.FailureFull
	case r.NotRun():
		failed.Kind = stream.FailureRefused
	}
	s.Send(failed)
}

// failSteps passes a failure of every step to the core.
func (s *Shell) failSteps(steps []stream.SendStep, kind stream.FailureKind) {
	for _, st := range steps {
		s.Send(stream.StepFailed{Stream: st.Stream, Server: st.Server, Attempt: st.Attempt, Token: st.Token,
			From: st.From, To: st.To, Kind: kind})
	}
}

// sendLoad passes an engine's load report to the core. The report's age is this VM's
// wall clock minus the report's timestamp, at least 0.
func (s *Shell) sendLoad(id ident.BackendServer, load engine.Load) {
	age := max(0, time.Since(time.UnixMilli(load.MeasuredAtMillis)))
	s.Send(routing.Load{Server: id, Running: load.Running, Waiting: load.Waiting, Capacity: load.Capacity,
		MeasuredAt: max(0, s.Now()-age)})
}

// executeStream carries out the streams' actions on engines other than sending steps.
func (s *Shell) executeStream(action stream.Action) {
	switch a := action.(type) {
	case stream.CancelAt:
		s.Submit(func() { s.cancelAt(a) })
	case stream.Export:
		if !s.Submit(func() { s.export(a) }) {
			go s.Send(stream.ExportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		}
	case stream.Import:
		if !s.Submit(func() { s.importCache(a) }) {
			go s.Send(stream.ImportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
		}
	}
}

func (s *Shell) cancelAt(a stream.CancelAt) {
	server, ok := s.directory.server(a.Server)
	if !ok {
		return
	}
	if err := s.engines.Cancel(server.Addr, a.Stream, int(a.Attempt), httpcall.Within(cancelTimeout)); err != nil {
		s.Log.Debug().Err(err).Str("server", string(a.Server)).Msg("cancel request failed")
	}
}

func (s *Shell) export(a stream.Export) {
	server, ok := s.directory.server(a.Server)
	if ok {
		cache, err := s.engines.Export(server.Addr, a.Stream, httpcall.Within(importTimeout))
		if err == nil {
			s.Send(stream.ExportDone{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt,
				Position: cache.Position, Blob: cache.Blob})
			return
		}
	}
	s.Send(stream.ExportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
}

func (s *Shell) importCache(a stream.Import) {
	server, ok := s.directory.server(a.Server)
	if ok {
		err := s.engines.Import(server.Addr, a.Stream, int(a.Attempt), a.Blob, httpcall.Within(importTimeout))
		if err == nil {
			s.Send(stream.ImportDone{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
			return
		}
	}
	s.Send(stream.ImportFailed{Stream: a.Stream, Stage: a.Stage, Attempt: a.Attempt})
}
