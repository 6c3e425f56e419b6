package control

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/node"
)

// stop ends this process on a signal. Where the entry process beside it is
// stopping too, the whole VM leaves. Where that goes on serving, only this
// process is being replaced: it hands over its slots and says no farewell, so
// that the VM is still named to callers.
func (s *Shell) stop() {
	s.Log.Info().Msg("stop begins")
	if s.entryStops() {
		s.leave(string(s.cfg.Self.VM))
		return
	}
	s.Log.Info().Msg("the entry process goes on: only the slots are handed over")
	s.Send(node.HandOver{})
	s.await(handOverWithin, s.handed.Load)
}

// entryStops reports whether the entry process is stopping or has stopped. Both
// processes of a VM are often signalled together, so it waits a little.
func (s *Shell) entryStops() bool {
	stops := func() bool { return s.entryLeaves.Load() || s.entrySilent() }
	return s.await(entryDecides, stops)
}

// entrySilent reports whether nothing was heard of the entry process of late.
func (s *Shell) entrySilent() bool {
	return s.Now()-time.Duration(s.lastEntry.Load()) > entryQuiet
}

// leave is the planned stop of the whole VM: it hands over what this VM holds
// and waits until its entry process has ended, so that nobody takes the VM to be
// gone while it still serves.
func (s *Shell) leave(operator string) {
	s.Log.Info().Str("who", operator).Msg("planned stop of this VM begins")
	s.leaving.Store(true)
	s.Send(node.DrainAsked{Operator: operator})
	began := time.Now()
	ended := s.await(s.cfg.StopTimeout, func() bool {
		handed := s.handed.Load() || time.Since(began) > handOverWithin
		return handed && s.entrySilent()
	})
	if !ended {
		s.Log.Warn().Msg("planned stop takes too long, stopping now")
		return
	}
	s.Send(membership.Left{})
	time.Sleep(farewellTime)
}

// await polls cond until it holds, or for at most d.
func (s *Shell) await(d time.Duration, cond func() bool) bool {
	limit := time.After(d)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-limit:
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

// beginDrain starts the planned stop of this VM in an operator's name; the entry
// learns it with its next report.
func (s *Shell) beginDrain(operator string) {
	s.drainOnce.Do(func() {
		s.drainedBy = operator
		s.leaving.Store(true)
		close(s.drained)
	})
}
