package control

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
)

// stop ends this process on a signal. If the VM's entry process is stopping too, the VM
// leaves. Otherwise only this process is being replaced: it hands over its slots but does
// not announce that the VM leaves, so that callers still get its address.
func (s *Shell) stop() {
	s.Log.Info().Msg("stopping")
	if s.entryStopping() {
		s.leave(string(s.cfg.Self.VM))
		return
	}
	s.Log.Info().Msg("entry process keeps running: handing over the slots only")
	s.Send(node.HandOver{})
	s.waitUntil(handOverTimeout, s.handedOver.Load)
}

// entryStopping reports whether the entry process is stopping or has stopped. Both
// processes of a VM are often signalled together, so it waits up to entryStopWait.
func (s *Shell) entryStopping() bool {
	stopping := func() bool { return s.entryLeaving.Load() || s.entrySilent() }
	return s.waitUntil(entryStopWait, stopping)
}

// entrySilent reports whether no report of the entry process arrived within entryTimeout.
func (s *Shell) entrySilent() bool {
	return s.Now()-time.Duration(s.lastEntryReport.Load()) > entryTimeout
}

// leave performs the planned stop of the VM. It hands over the slots and announces
// that the VM has left only after the entry process has ended, so that no other VM treats
// this one as gone while it still serves.
func (s *Shell) leave(operator string) {
	s.Log.Info().Str("who", operator).Msg("planned stop of this VM started")
	s.leaving.Store(true)
	s.Send(node.DrainAsked{Operator: operator})
	start := time.Now()
	ended := s.waitUntil(s.cfg.StopTimeout, func() bool {
		handedOver := s.handedOver.Load() || time.Since(start) > handOverTimeout
		return handedOver && s.entrySilent()
	})
	if !ended {
		s.Log.Warn().Msg("planned stop timed out, stopping now")
		return
	}
	s.Send(membership.Left{})
	time.Sleep(leaveDelay)
}

// waitUntil polls cond until it holds, timeout has passed or the process ends. It reports
// whether cond held.
func (s *Shell) waitUntil(timeout time.Duration, cond func() bool) bool {
	deadline := time.After(timeout)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-deadline:
			return false
		case <-s.Ctx.Done():
			return false
		case <-ticker.C:
			if cond() {
				return true
			}
		}
	}
}

// beginDrain starts the planned stop of this VM on behalf of an operator. The entry
// process is informed in the reply to its next report.
func (s *Shell) beginDrain(operator string) {
	s.drainOnce.Do(func() {
		s.drainOperator = operator
		s.leaving.Store(true)
		close(s.drainRequested)
	})
}
