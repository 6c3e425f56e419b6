package control

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/limits"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/process"
	"github.com/catkinstair/catkinstair/internal/store"
)

// coreRead is a function to run on the core's goroutine; done is closed afterwards.
type coreRead struct {
	read func(now time.Duration, core *node.Control)
	done chan struct{}
}

// loop steps the core and is the only goroutine that accesses it.
func (s *Shell) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticks := 0
	for {
		select {
		case <-s.Ctx.Done():
			return
		case event := <-s.Events():
			s.handleEvent(event)
		case <-ticker.C:
			s.step(node.ControlTick{})
			ticks++
			if ticks%publishEveryTicks == 1 {
				s.publishState()
			}
		}
	}
}

func (s *Shell) handleEvent(event any) {
	if request, ok := event.(coreRead); ok {
		request.read(s.Now(), s.core)
		close(request.done)
		return
	}
	s.step(event)
}

func (s *Shell) step(event any) {
	now := s.Now()
	actions := s.core.Step(now, event)
	process.Record(s.Process, now, event, actions)
	for _, a := range actions {
		s.execute(a)
	}
}

// publishState updates the readiness probe and the metrics.
func (s *Shell) publishState() {
	if s.core.Ready() {
		s.Health.SetReady(true, "")
	}
	held := 0
	for slot := range s.slotCount() {
		if _, ok := s.core.Holds(s.Now(), slot); ok {
			held++
		}
	}
	setGauge("catkin_control_slots_held", float64(held))
	setGauge("catkin_control_config_version", float64(s.core.AcceptedConfig().Head.Version))
	setGauge("catkin_control_members", float64(len(s.core.Members())))
	setGauge("catkin_control_service_up", boolToFloat(s.core.ServiceUp()))
	setGauge("catkin_control_inbox", float64(s.PendingEvents()))
}

func (s *Shell) slotCount() int { return limits.DefaultLenderConfig().Slots }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func setGauge(name string, value float64) {
	metrics.GetOrCreateGauge(name, nil).Set(value)
}

// execute executes one action of the core.
func (s *Shell) execute(action any) {
	switch a := action.(type) {
	case membership.Ask:
		s.callMember(a)
	case membership.Reply:
		s.waiters.deliver(memberKey(a.Call), a.Message)
	case membership.Superseded:
		s.Log.Error().Uint64("by", uint64(a.By)).Msg("a newer process of this VM is running: stopping")
		s.Cancel()
	case lease.AskPromise:
		s.requestPromise(a)
	case lease.GivePromise:
		s.waiters.deliver(leaseKey(a.Reply.To, a.Reply.SentAt), a.Reply)
	case lease.Gained:
		s.Log.Debug().Int("slot", a.Slot).Uint64("epoch", a.Epoch).Msg("slot gained")
	case lease.Lost:
		s.Log.Debug().Int("slot", a.Slot).Uint64("epoch", a.Epoch).Msg("slot lost")
	case limits.SendLoan:
		s.waiters.deliver(loanKey(a.To, a.Loan.Seq), a.Loan)
	case node.Wake:
		time.AfterFunc(a.After, func() { s.TrySend(any(node.LenderTick{})) })
	case node.ListNext:
		s.scheduleListRead(a.After)
	case node.SendConfig:
		s.sendConfig(a)
	case node.SnapshotAnswered:
		s.waiters.deliver(idKey("snapshot", a.ID), a.Reply)
	case node.ApplyEnded:
		s.waiters.deliver(idKey("apply", a.ID), a.Outcome)
	case node.ListEnded:
		s.waiters.deliver(idKey("list", a.ID), a)
	case node.MembersChanged:
		s.Log.Info().Str("member", a.Member.Instance.String()).Str("state", a.Member.State.String()).
			Bool("leaving", a.Member.Leaving).Msg("member changed")
	case node.Log:
		s.logChange(a)
	case node.HandedOver:
		s.handedOver.Store(true)
	case store.Send:
		s.sendKVCall(a)
	case store.Health:
		s.Log.Warn().Bool("up", a.Up).Msg("key-value service state changed")
	}
}

// logChange logs a record of the audit trail.
func (s *Shell) logChange(a node.Log) {
	r := a.Record
	s.Log.Info().Str("audit", r.What).Str("who", r.Who).Str("object", r.Object).Str("before", r.Before).
		Str("after", r.After).Str("verdict", r.Verdict).Str("sheet", r.SheetHash).Msg(fmt.Sprintf("change: %s", r.Detail))
}
