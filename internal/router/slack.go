package router

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pendingMove is a stream to move off the server at addr.
type pendingMove struct {
	stream *stream
	addr   string
	slack  time.Duration
}

// leastSlackFirst returns the streams through the servers at addrs in the order in which they
// are to be moved: orders are sent one after the other by a few workers, and the servers that
// take over read the tokens in order of arrival.
func (t *streamTable) leastSlackFirst(now time.Time, addrs []string) []pendingMove {
	var out []pendingMove
	for _, addr := range addrs {
		for _, st := range t.through(addr) {
			out = append(out, pendingMove{stream: st, addr: addr, slack: st.slack(now)})
		}
	}
	slices.SortStableFunc(out, func(a, b pendingMove) int { return cmp.Compare(a.slack, b.slack) })
	return out
}

// slack returns the time until the stream is late: until its next event exceeds the route's
// MaxGap, or its first one the route's TargetLatency. Streams of routes without the objective
// come last.
func (st *stream) slack(now time.Time) time.Duration {
	objective, since := st.x.req.Route.TargetLatency, st.x.receivedAt
	if st.begun() {
		objective = st.x.req.Route.MaxGap
		st.mu.Lock()
		since = st.lastRead
		if !st.waiting { // the caller has not yet read what has arrived
			since = now
		}
		st.mu.Unlock()
	}
	if objective <= 0 {
		return math.MaxInt64
	}
	return objective - now.Sub(since)
}
