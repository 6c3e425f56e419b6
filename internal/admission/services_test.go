package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// perFlow is a Limiter with a separate Limiter per team and service.
type perFlow map[flowKey]Limiter

func (p perFlow) Take(now time.Duration, team ident.Team, service ident.Service, n int) bool {
	return p[flowKey{team, service}].Take(now, team, service, n)
}

func (p perFlow) RetryAfter(now time.Duration, team ident.Team, service ident.Service, requests, n int) time.Duration {
	return p[flowKey{team, service}].RetryAfter(now, team, service, requests, n)
}

// delayedLoans is a Limiter whose denied amounts are lent after a delay, but not before
// the lender is up again, at downUntil.
type delayedLoans struct {
	delay        time.Duration
	downUntil    time.Duration
	perSecond    float64
	denied, held int
	askedAt      time.Duration
	asked        int
}

func (l *delayedLoans) Take(now time.Duration, _ ident.Team, _ ident.Service, n int) bool {
	if l.asked > 0 && now >= max(l.askedAt+l.delay, l.downUntil) {
		l.held += l.asked
		l.asked = 0
	}
	if l.held >= n {
		l.held -= n
		return true
	}
	l.denied += n
	if l.asked == 0 {
		l.asked, l.denied, l.askedAt = l.denied, 0, now
	}
	return false
}

func (l *delayedLoans) RetryAfter(_ time.Duration, _ ident.Team, _ ident.Service, _, n int) time.Duration {
	if l.perSecond == 0 {
		return 200 * time.Millisecond
	}
	return time.Duration(float64(n) / l.perSecond * float64(time.Second))
}

// traffic offers requests of one (team, service) evenly in virtual time.
type traffic struct {
	service           ident.Service
	perTick           int // a tick is 10 ms
	everyNth          int // offers in every nth tick only
	refused           int
	admitted          int
	longestRetryAfter time.Duration
}

// drive offers the requests of all traffic from one time to another and frees the slot of
// each admitted request at once.
func drive(q *Queue, from, to time.Duration, all ...*traffic) {
	byService := map[string]*traffic{}
	for _, tr := range all {
		byService[string(tr.service)] = tr
	}
	trafficOf := func(id string) *traffic {
		service, _, _ := strings.Cut(id, " ")
		return byService[service]
	}
	admit := func(tr *traffic, now time.Duration, id string) {
		tr.admitted++
		q.Step(now, Done{ID: id})
	}
	refused := func(tr *traffic, r verdict.Refusal) {
		tr.refused++
		tr.longestRetryAfter = max(tr.longestRetryAfter, r.RetryAfter)
	}
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, tr := range all {
			for i := range tr.perTick {
				if (int(now/(10*time.Millisecond)))%max(1, tr.everyNth) != 0 {
					continue
				}
				id := fmt.Sprintf("%s %s %d", tr.service, now, i)
				switch d := q.Offer(now, Request{ID: id, Team: "clubs", Service: tr.service}); d.Outcome {
				case Admitted:
					admit(tr, now, id)
				case Refused:
					refused(tr, d.Refusal)
				}
			}
		}
		for _, a := range q.Step(now, Tick{}) {
			switch a := a.(type) {
			case Admit:
				admit(trafficOf(a.ID), now, a.ID)
			case Refuse:
				refused(trafficOf(a.ID), a.Refusal)
			}
		}
	}
}

func TestOneServiceDoesNotStarveAnotherOfItsTeam(t *testing.T) {
	q := newQueue(t, perFlow{{"clubs", "ordrebok"}: newBucket(400, 400), {"clubs", "skrivar"}: newBucket(400, 400)}, nil)
	flood := &traffic{service: "ordrebok", perTick: 12}
	light := &traffic{service: "skrivar", perTick: 1, everyNth: 20}
	drive(q, 0, 20*time.Second, flood, light)
	t.Logf("ordrebok: %d admitted, %d refused; skrivar: %d admitted, %d refused",
		flood.admitted, flood.refused, light.admitted, light.refused)
	require.Zero(t, light.refused)
	require.InEpsilon(t, 400*21, flood.admitted, 0.05)
}

// TestServicesOfATeamShareItsTurns lets two services of one team and one of another team
// compete for one slot: both teams start the same cost, and so do the two services.
func TestServicesOfATeamShareItsTurns(t *testing.T) {
	q := newQueue(t, newBucket(0, 1e12), func(c *Config) { c.Slots = 1; c.MaxWait = time.Hour })
	keys := []flowKey{{"clubs", "ordrebok"}, {"clubs", "skrivar"}, {"planners", "ordrebok"}}
	costs := []int{10, 250, 40}
	indexOf := map[string]int{}
	startedCost := make([]int, len(keys))
	next := 0
	fill := func() {
		for i, k := range keys {
			for q.ahead(Request{Team: k.team, Service: k.service}) < 32 {
				next++
				indexOf[fmt.Sprint(next)] = i
				d := q.Offer(0, Request{ID: fmt.Sprint(next), Team: k.team, Service: k.service, Cost: costs[i]})
				require.NotEqual(t, Refused, d.Outcome)
			}
		}
	}
	fill()
	running := "1"
	for range 20000 {
		admits := q.Step(0, Done{ID: running})
		require.Len(t, admits, 1)
		running = admits[0].(Admit).ID
		startedCost[indexOf[running]] += costs[indexOf[running]]
		fill()
	}
	require.InEpsilon(t, startedCost[0], startedCost[1], 0.02)
	require.InEpsilon(t, startedCost[0]+startedCost[1], startedCost[2], 0.02)
}

func TestFirstRequestsWaitForTheFirstLoans(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		q := newQueue(t, &delayedLoans{delay: delay}, nil)
		first := &traffic{service: "ordrebok", perTick: 1, everyNth: 2}
		drive(q, 0, time.Second, first)
		require.Zero(t, first.refused, "loans after %s", delay)
		first.perTick = 0
		drive(q, time.Second, 11*time.Second, first)
		first.perTick = 1
		drive(q, 11*time.Second, 12*time.Second, first)
		require.Zero(t, first.refused, "loans after %s, and a pause", delay)
	}
}

func TestRetryAfterIsShortAfterBriefOutage(t *testing.T) {
	lender := &delayedLoans{delay: 20 * time.Millisecond, perSecond: 100}
	q := newQueue(t, lender, nil)
	steady := &traffic{service: "ordrebok", perTick: 1}
	drive(q, 0, 10*time.Second, steady)
	lender.downUntil = 15 * time.Second
	lender.held = 0
	drive(q, 10*time.Second, 15*time.Second, steady)
	t.Logf("%d refused, the longest Retry-After is %s", steady.refused, steady.longestRetryAfter)
	require.Positive(t, steady.refused)
	require.LessOrEqual(t, steady.longestRetryAfter, 5*time.Second)
}

func TestRetryAfterFollowsTheServiceOverItsLimit(t *testing.T) {
	q := newQueue(t, perFlow{{"clubs", "ordrebok"}: newBucket(10, 10), {"clubs", "skrivar"}: newBucket(100, 1)}, nil)
	flood := &traffic{service: "ordrebok", perTick: 5}
	short := &traffic{service: "skrivar", perTick: 20, everyNth: 100}
	drive(q, 0, 20*time.Second, flood)
	q.cfg.MaxWait = 0
	drive(q, 20*time.Second, 21*time.Second, flood, short)
	t.Logf("longest: ordrebok %s, skrivar %s", flood.longestRetryAfter, short.longestRetryAfter)
	require.Positive(t, short.refused)
	require.LessOrEqual(t, short.longestRetryAfter, 3*time.Second)
	require.Greater(t, flood.longestRetryAfter, 10*time.Second)
}
