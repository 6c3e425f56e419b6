package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/process"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/stream"
)

var drainEvent = entrylist.Drain{}

// stateIntervalTicks is the number of ticks between two calls of publishState.
const stateIntervalTicks = 20

// loop steps the core. No other goroutine accesses the core.
func (s *Shell) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticks := 0
	s.step(node.Tick{}) // sets the start time of the core's components before the first request
	for {
		select {
		case <-s.Ctx.Done():
			return
		case event := <-s.Events():
			s.step(event)
		case <-ticker.C:
			s.step(node.Tick{})
			ticks++
			if ticks%stateIntervalTicks == 1 {
				s.publishState()
			}
		}
	}
}

func (s *Shell) step(event any) {
	now := s.Now()
	actions := s.core.Step(now, event)
	process.Record(s.Process, now, event, actions)
	if snap, ok := event.(node.Snapshot); ok {
		s.directory.apply(snap.Reply)
	}
	for _, a := range actions {
		s.execute(a)
	}
}

// publishState makes the core's state available to handlers and metrics, and updates
// the readiness of the process.
func (s *Shell) publishState() {
	state := s.core.State()
	s.state.Store(&state)
	switch {
	case state.Draining:
		s.Health.SetReady(false, "leaving")
	case !state.ConfigKnown:
		s.Health.SetReady(false, "no configuration yet")
	default:
		s.Health.SetReady(true, "")
	}
	setGauge("catkin_entry_open_requests", float64(state.OpenRequests))
	setGauge("catkin_entry_config_version", float64(state.ConfigVersion))
	setGauge("catkin_entry_streams_dropped_answers", float64(state.Streams.Dropped))
	setGauge("catkin_entry_streams_replaced_stages", float64(state.Streams.Replaced))
	setGauge("catkin_entry_streams_resent_steps", float64(state.Streams.Resent))
	setGauge("catkin_entry_streams_cut", float64(state.Streams.Cut))
	setGauge("catkin_entry_queue_waiting", float64(state.Admission.Waiting))
	setGauge("catkin_entry_queue_running", float64(state.Admission.Running))
	setGauge("catkin_entry_inbox", float64(s.PendingEvents()))
}

func setGauge(name string, value float64) {
	metrics.GetOrCreateGauge(name, nil).Set(value)
}

// execute carries out one action of the core.
func (s *Shell) execute(action any) {
	switch a := action.(type) {
	case stream.SendStep:
		s.stepQueues.add(a)
	case stream.EmitToken:
		s.mailboxes.put(a.Request, a)
	case stream.Finish:
		s.mailboxes.put(a.Request, a)
	case stream.Cut:
		s.mailboxes.put(a.Request, a)
	case node.Refused:
		s.mailboxes.put(a.Request, a)
	case node.AddressesAnswered:
		s.mailboxes.put(a.Request, a)
	case node.Observed:
		s.observed.add(a.Observation)
	case limits.SendAsk:
		s.borrow(a)
	case routing.Watch:
		s.setLoadTargets(a)
	case entrylist.Action:
		s.executeList(a)
	case call.Action:
		s.executeCall(a)
	case stream.Action:
		s.executeStream(a)
	}
}

func (s *Shell) executeList(action entrylist.Action) {
	switch a := action.(type) {
	case entrylist.AskGrant:
		s.askGrant(a)
	case entrylist.GiveGrant:
		s.mailboxes.put(grantMailboxID(a.To, a.Seq), a)
	case entrylist.AnnounceLeaving:
		s.observed.setLeaving()
	case entrylist.CloseListener:
		go func() { s.LogExit("callers' listener", s.httpServer.Shutdown()) }()
	case entrylist.Stop:
		s.Cancel()
	}
}
