package router

import (
	"slices"
	"time"
)

const (
	// moveRetryInterval is the time after which a stream whose path has a lost server first looks again for
	// servers to take over, maxMoveRetryInterval the bound of its doubling: servers free room, load layers or
	// register at any time, and the engine waits for a few seconds only.
	moveRetryInterval    = 100 * time.Millisecond
	maxMoveRetryInterval = 400 * time.Millisecond
)

// moveRetry holds the lost servers of a run that nothing could take over for yet.
type moveRetry struct {
	run      int // the stream's runCount
	addrs    []string
	interval time.Duration
	since    time.Time // of the last event before the first attempt
}

// retryMoveLater calls moveOffLost again after an interval that doubles, until the run ends or goes on.
func (st *stream) retryMoveLater(faultAddr string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runEnded || st.successor != nil {
		return
	}
	m := &st.retry
	if m.run != st.runCount || m.since != st.lastProgress {
		*m = moveRetry{run: st.runCount, since: st.lastProgress, interval: moveRetryInterval}
	}
	if slices.Contains(m.addrs, faultAddr) {
		return
	}
	m.addrs = append(m.addrs, faultAddr)
	if len(m.addrs) > 1 {
		return // the timer runs
	}
	run := m.run
	time.AfterFunc(m.interval, func() {
		st.x.r.runGuarded("path change", st.x.req.ID, func() { st.startMoveRetry(run) })
	})
	m.interval = min(2*m.interval, maxMoveRetryInterval)
}

// startMoveRetry moves the stream off its lost servers with the workers that also do it first.
func (st *stream) startMoveRetry(run int) {
	st.mu.Lock()
	m := &st.retry
	addrs := m.addrs
	current := !st.runEnded && st.runCount == run && m.run == run && m.since == st.lastProgress
	if m.run == run {
		m.addrs = nil
	}
	st.mu.Unlock()
	if !current {
		return
	}
	err := st.x.r.workers.Submit(func() {
		for _, addr := range addrs {
			st.moveOffLost(addr)
		}
	})
	if err != nil {
		for _, addr := range addrs {
			st.retryMoveLater(addr)
		}
	}
}
