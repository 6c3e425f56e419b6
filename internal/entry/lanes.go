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

// lanes send steps to engines, those for one engine in batches.
type lanes struct {
	shell    *Shell
	mu       sync.Mutex
	byServer map[ident.BackendServer]*lane
}

// lane holds the steps that wait for one engine.
type lane struct {
	server  ident.BackendServer
	waiting []stream.SendStep
	busy    int
}

func (l *lanes) init(s *Shell) {
	l.shell = s
	l.byServer = map[ident.BackendServer]*lane{}
}

// add sends a step. A prefill, or a step that wants a connection of its own, is
// sent alone; others join the engine's next batch.
func (l *lanes) add(step stream.SendStep) {
	if step.Token == 0 || step.NewConnection {
		l.sendNow([]stream.SendStep{step})
		return
	}
	l.mu.Lock()
	ln, ok := l.byServer[step.Server]
	if !ok {
		ln = &lane{server: step.Server}
		l.byServer[step.Server] = ln
	}
	ln.waiting = append(ln.waiting, step)
	start := ln.busy < lanesPerEngine
	if start {
		ln.busy++
	}
	l.mu.Unlock()
	if start && !l.shell.Submit(func() { l.drain(ln) }) {
		l.refuse(ln)
	}
}

func (l *lanes) sendNow(steps []stream.SendStep) {
	if !l.shell.Submit(func() { l.shell.sendSteps(steps) }) {
		go l.shell.failSteps(steps, stream.FailureNotSent)
	}
}

// drain sends what waits, batch after batch, until nothing does.
func (l *lanes) drain(ln *lane) {
	for {
		l.mu.Lock()
		n := min(len(ln.waiting), maxBatch)
		batch := append([]stream.SendStep(nil), ln.waiting[:n]...)
		ln.waiting = append(ln.waiting[:0], ln.waiting[n:]...)
		if n == 0 {
			ln.busy--
			if ln.busy == 0 {
				delete(l.byServer, ln.server)
			}
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		l.shell.sendSteps(batch)
	}
}

// refuse fails what waits in a lane for which there is no worker.
func (l *lanes) refuse(ln *lane) {
	l.mu.Lock()
	ln.busy--
	var steps []stream.SendStep
	if ln.busy == 0 {
		steps = ln.waiting
		delete(l.byServer, ln.server)
	}
	l.mu.Unlock()
	if len(steps) > 0 {
		go l.shell.failSteps(steps, stream.FailureNotSent)
	}
}

var stepsSent = metrics.NewCounter("catkin_entry_steps_total")

// sendSteps makes one call to an engine and reports each step's result.
func (s *Shell) sendSteps(steps []stream.SendStep) {
	server, ok := s.directory.server(steps[0].Server)
	if !ok {
		s.failSteps(steps, stream.FailureNotSent)
		return
	}
	stepsSent.Add(len(steps))
	opt := httpcall.Within(stepTimeout)
	opt.NewConnection = steps[0].NewConnection
	reply, err := s.engines.Steps(server.Addr, wireSteps(steps), opt)
	if err != nil {
		kind := stream.FailureLost
		if httpcall.SentOf(err) == httpcall.NotSent {
			kind = stream.FailureNotSent
		}
		s.failSteps(steps, kind)
		return
	}
	for i, result := range reply.Results {
		s.stepResult(steps[i], result)
	}
	s.sendLoad(server.ID, reply.Load)
}

func wireSteps(steps []stream.SendStep) []engine.Step {
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

// stepResult turns an engine's result into an event. What the result says of
// itself is handed on, so that the core can tell a crossed answer.
func (s *Shell) stepResult(step stream.SendStep, r engine.Result) {
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

func (s *Shell) failSteps(steps []stream.SendStep, kind stream.FailureKind) {
	for _, st := range steps {
		s.Send(stream.StepFailed{Stream: st.Stream, Server: st.Server, Attempt: st.Attempt, Token: st.Token,
			From: st.From, To: st.To, Kind: kind})
	}
}

// sendLoad hands an engine's report on, as old as it says it is by this VM's
// own clock.
func (s *Shell) sendLoad(id ident.BackendServer, load engine.Load) {
	age := max(0, time.Since(time.UnixMilli(load.MeasuredAtMillis)))
	s.Send(routing.Load{Server: id, Running: load.Running, Waiting: load.Waiting, Capacity: load.Capacity,
		MeasuredAt: max(0, s.Now()-age)})
}

// doStream carries out the streams' actions on engines besides steps.
func (s *Shell) doStream(action stream.Action) {
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
		s.Log.Debug().Err(err).Str("server", string(a.Server)).Msg("cancel")
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
