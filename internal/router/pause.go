package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pauseTick is the interval at which the process records that it runs.
	pauseTick = 200 * time.Millisecond
	// minPause is the gap between two ticks from which the process counts as paused: its VM
	// was suspended or got no processor time. Permissions end with margins above it.
	minPause = time.Second
	// dropMessagesAfterPause is how long after a pause load messages are dropped. They
	// waited in the socket, so their ages are wrong.
	dropMessagesAfterPause = 100 * time.Millisecond
)

// pauseDetector notices that the process did not run for a while, on a clock that counts
// the time of a suspension. It is safe for concurrent use.
type pauseDetector struct {
	lastRun atomic.Int64
	// lagBegan and lagEnded are the last gap of lagThreshold or more.
	lagBegan, lagEnded atomic.Int64
}

// lagThreshold is the gap between two ticks from which the process lacked processor time.
const lagThreshold = 2 * pauseTick

// observe records that the process runs at now and returns the length of the pause that
// ended with it, zero for none. Of concurrent calls one gets the pause.
func (d *pauseDetector) observe(now time.Duration) time.Duration {
	last := time.Duration(d.lastRun.Swap(int64(now)))
	if last != 0 && now-last >= lagThreshold {
		d.lagBegan.Store(int64(last))
		d.lagEnded.Store(int64(now))
	}
	if last == 0 || now-last < minPause {
		return 0
	}
	return now - last
}

// lastSeen returns when the process was last known to run before now, 0 if it is not known. A gap
// that has just ended counts: what arrived in it is handled only now.
func (d *pauseDetector) lastSeen(now time.Duration) time.Duration {
	if now-time.Duration(d.lagEnded.Load()) < pauseTick {
		return time.Duration(d.lagBegan.Load())
	}
	return time.Duration(d.lastRun.Load())
}

// gate holds requests while the state of this VM may be outdated: before the first
// configuration, and after a pause until the store was read again.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

// wait returns a channel that is closed once the gate is open.
func (g *gate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

func (g *gate) isOpen() bool {
	select {
	case <-g.wait():
		return true
	default:
		return false
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

// watchPauses records that the process runs, until ctx ends.
func (r *Router) watchPauses(ctx context.Context) {
	tick := time.NewTicker(pauseTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.checkPause()
		}
	}
}

// checkPause handles a pause that has just ended, if there was one. It runs at each tick
// and before each request, because requests that waited in the sockets may be read before
// the next tick.
func (r *Router) checkPause() {
	now := r.clock.now()
	paused := r.pauses.observe(now)
	if paused == 0 {
		return
	}
	r.log.Warn().Dur("paused", paused).Int64("requests", r.openRequests.Load()).Msg("process was paused: its state is read again")
	r.pauseCount.Add(1)
	r.dropMessagesUntil.Store(int64(now + dropMessagesAfterPause))
	r.current.close()
	r.detector.paused()
	r.streams.cancelExpired()
}

// stateRead opens the gate if a configuration is in force and no pause began since the
// read that has just succeeded was started, when there had been pauseCount pauses.
func (r *Router) stateRead(pauseCount int64) {
	r.mu.Lock()
	configured := r.core.Table() != nil
	r.mu.Unlock()
	if configured && pauseCount == r.pauseCount.Load() {
		r.current.open()
	}
}

// cancelExpired cancels the runs whose deadline passed during a pause: their timers do not
// count the time of a suspension.
func (t *streamTable) cancelExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for st := range t.active {
		if st.x.timeLeft() <= 0 {
			st.x.cancel(errDeadlinePassed)
		}
	}
}
