package router

import (
	"context"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/paths"
)

// silenceInterval is the interval at which the streams are scanned for silent ones. A shared
// scan costs less than a timer for each stream, which would fire once for each pause.
const silenceInterval = 20 * time.Millisecond

// idleSilenceInterval is the interval while there are no streams.
const idleSilenceInterval = 100 * time.Millisecond

// watchSilence starts checks of the servers on the paths of silent streams, until ctx ends.
func (r *Router) watchSilence(ctx context.Context) {
	t := time.NewTimer(idleSilenceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		active := false
		r.runGuarded("detector", "silence", func() {
			var addrs []string
			addrs, active = r.streams.silentPaths(time.Now(), r.cfg.Detector.Pace)
			if len(addrs) > 0 {
				r.observe(detector.Silence, r.serversAt(addrs))
			}
		})
		if active {
			t.Reset(silenceInterval)
		} else {
			t.Reset(idleSilenceInterval)
		}
	}
}

// silentPaths returns the addresses of the servers on the paths of streams that have just
// become silent, and whether there are streams at all.
func (t *streamTable) silentPaths(now time.Time, cfg detector.PaceConfig) (addrs []string, active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for st := range t.active {
		for _, addr := range st.pathIfSilent(now, cfg) {
			if !seen[addr] {
				seen[addr] = true
				addrs = append(addrs, addr)
			}
		}
	}
	return addrs, len(t.active) > 0
}

// maxSilenceDoublings bounds the doubled silence of a stream after which its path is checked
// again.
const maxSilenceDoublings = 5

// pathIfSilent returns the addresses of the servers on the path of a stream that has been
// silent for longer than its pace allows, nil if it was not or that was noticed before.
func (st *stream) pathIfSilent(now time.Time, cfg detector.PaceConfig) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	silent, limit := st.silence(now, cfg)
	if limit == 0 || silent < limit<<min(st.silences, maxSilenceDoublings) {
		return nil
	}
	st.silences++
	stages := st.result.choice.Stages
	addrs := make([]string, 0, len(stages))
	for _, stage := range stages {
		addrs = append(addrs, stage.Addr)
	}
	return addrs
}

// silence returns how long the stream has been silent and how long its pace allows; zeros if
// it waits for no backend server or the detector is not enabled for it. The caller holds st.mu.
func (st *stream) silence(now time.Time, cfg detector.PaceConfig) (silent, limit time.Duration) {
	route, ch := st.x.req.Route, st.result.choice
	if !detects(route) || st.runEnded || ch == nil || ch.IsPeer() || st.repathing || st.lastRead.IsZero() || (st.runBegun && !st.waiting) {
		return 0, 0
	}
	limit = st.pace.Silence(cfg, route.MaxGap)
	if !st.runBegun {
		var unknown detector.Pace
		limit = unknown.Silence(cfg, route.MaxGap) + ch.FirstToken
	}
	return now.Sub(later(st.lastRead, st.waitSince)), limit
}

// silentThrough reports whether a stream whose path includes a server has been silent for its
// longest acceptable pause, and no such stream has had an event within MinSilence.
func (t *streamTable) silentThrough(in backend.Instance, now time.Time, cfg detector.PaceConfig) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	anySilent := false
	for st := range t.active {
		silent, limit := st.silenceOver(in, now, cfg)
		if limit == 0 {
			continue
		}
		if silent < cfg.MinSilence {
			return false
		}
		anySilent = anySilent || silent >= max(limit, st.x.req.Route.MaxGap)
	}
	return anySilent
}

// silenceOver is silence for a stream whose path includes a server, otherwise zeros.
func (st *stream) silenceOver(in backend.Instance, now time.Time, cfg detector.PaceConfig) (silent, limit time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.result.choice == nil || !slices.ContainsFunc(st.result.choice.Stages, func(s paths.Stage) bool { return s.Instance == in }) {
		return 0, 0
	}
	return st.silence(now, cfg)
}

// recordGap learns from the pause that an event has just ended. While the stream waited for
// its caller, no time counts. The caller holds st.mu.
func (st *stream) recordGap(now time.Time) {
	if st.runBegun {
		st.pace.Observe(st.x.r.cfg.Detector.Pace, now.Sub(later(st.lastRead, st.waitSince)))
	}
	st.silences = 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
