package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/catkinstair/catkinstair/internal/ident"
	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// countingLimiter counts the units granted.
type countingLimiter struct {
	Limiter
	granted int
}

func (c *countingLimiter) Take(now time.Duration, team ident.Team, service ident.Service, n int) bool {
	ok := c.Limiter.Take(now, team, service, n)
	if ok {
		c.granted += n
	}
	return ok
}

// ledger checks that every request gets exactly one outcome.
type ledger struct {
	t        *rapid.T
	costs    map[string]int
	outcome  map[string]string
	running  []string
	admitted int
}

func (l *ledger) record(id, outcome string) {
	require.Empty(l.t, l.outcome[id], "%s had an outcome already", id)
	l.outcome[id] = outcome
	if outcome == "admitted" {
		l.running = append(l.running, id)
		l.admitted += l.costs[id]
	}
}

func (l *ledger) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			l.record(a.ID, "admitted")
		case Refuse:
			require.Equal(l.t, verdict.NotRun, a.Refusal.Verdict)
			l.record(a.ID, "refused")
		}
	}
}

// TestQueueIsBoundedAndAnswersOnce mixes offers, ends, cancellations and ticks: each
// request gets one outcome, and the bounds on slots and waiters hold.
func TestQueueIsBoundedAndAnswersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := &countingLimiter{Limiter: newBucket(rapid.SampledFrom([]float64{0, 50, 500}).Draw(t, "rate"), 200)}
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		q := newQueue(t, limiter, func(c *Config) {
			c.Slots = slots
			c.MaxWait = 4 * time.Second
			c.QueuePerTeam = 3
			c.QueueTotal = 6
			c.Quantum = rapid.IntRange(1, 200).Draw(t, "quantum")
		})
		l := &ledger{t: t, costs: map[string]int{}, outcome: map[string]string{}}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			l.step(q, now, i)
			require.LessOrEqual(t, q.Stats().Running, slots)
			require.LessOrEqual(t, q.Stats().Waiting, 6)
			for _, w := range q.allWaiters() {
				require.LessOrEqual(t, q.ahead(w.req), 3)
			}
			require.Equal(t, limiter.granted, l.admitted, "a refused request took units of the limit, or an admitted one took none")
		}
		now += time.Minute
		l.apply(q.Step(now, Tick{}))
		for id := range l.costs {
			require.NotEmpty(t, l.outcome[id], "%s has no outcome", id)
		}
	})
}

func (l *ledger) step(q *Queue, now time.Duration, i int) {
	id := fmt.Sprint(rapid.IntRange(0, max(0, i-1)).Draw(l.t, "id"))
	switch rapid.SampledFrom([]string{"offer", "offer", "done", "give up", "tick"}).Draw(l.t, "step") {
	case "offer":
		l.offer(q, now, fmt.Sprint(i))
	case "done":
		if len(l.running) > 0 {
			first := l.running[0]
			l.running = l.running[1:]
			l.apply(q.Step(now, Done{ID: first}))
		}
	case "give up":
		l.apply(q.Step(now, GiveUp{ID: id}))
	case "tick":
		l.apply(q.Step(now, Tick{}))
		for _, w := range q.allWaiters() {
			require.Less(l.t, now, w.startBy, "%s waits past its latest start", w.req.ID)
		}
	}
}

func (l *ledger) offer(q *Queue, now time.Duration, id string) {
	req := Request{
		ID: id, Team: ident.Team(rapid.SampledFrom([]string{"a", "b"}).Draw(l.t, "team")),
		Priority: rapid.IntRange(0, 1).Draw(l.t, "priority"), Cost: rapid.IntRange(1, 150).Draw(l.t, "cost"),
	}
	if rapid.Bool().Draw(l.t, "has deadline") {
		req.Deadline = now + 500*time.Millisecond
		req.ExpectedDuration = time.Duration(rapid.IntRange(0, 600).Draw(l.t, "need")) * time.Millisecond
	}
	l.costs[id] = req.Cost
	switch d := q.Offer(now, req); d.Outcome {
	case Admitted:
		l.record(id, "admitted")
	case Refused:
		require.Equal(l.t, verdict.NotRun, d.Refusal.Verdict)
		l.record(id, "refused")
	}
}

// TestTeamsShareSlotsByCost lets a team with large requests compete for a slot with one
// with small requests: both start the same total cost.
func TestTeamsShareSlotsByCost(t *testing.T) {
	q := newQueue(t, newBucket(0, 1e12), func(c *Config) { c.Slots = 1; c.MaxWait = time.Hour })
	costs := map[ident.Team]int{"clubs": 10, "planners": 250}
	startedCost := map[ident.Team]int{}
	teamOf := map[string]ident.Team{}
	next := 0
	fill := func() {
		for team, cost := range costs {
			for q.ahead(Request{Team: team}) < 32 {
				next++
				id := fmt.Sprint(next)
				teamOf[id] = team
				if q.Offer(0, Request{ID: id, Team: team, Cost: cost}).Outcome == Refused {
					return
				}
			}
		}
	}
	fill()
	running := "1"
	if _, ok := q.running["1"]; !ok {
		t.Fatal("the first request does not run")
	}
	for range 20000 {
		admits := q.Step(0, Done{ID: running})
		require.Len(t, admits, 1)
		running = admits[0].(Admit).ID
		startedCost[teamOf[running]] += costs[teamOf[running]]
		fill()
	}
	require.InEpsilon(t, startedCost["clubs"], startedCost["planners"], 0.02)
}

func TestHigherPriorityIsNotStarvedBySmallRequests(t *testing.T) {
	limiter := newBucket(100, 100)
	limiter.available["clubs"] = 0
	q := newQueue(t, limiter, func(c *Config) { c.MaxWait = time.Minute })
	require.Equal(t, Queued, q.Offer(0, Request{ID: "large", Team: "clubs", Priority: 1, Cost: 100}).Outcome)
	for i := range 20 {
		now := time.Duration(i+1) * 40 * time.Millisecond
		require.Equal(t, Queued, q.Offer(now, Request{ID: fmt.Sprint(i), Team: "clubs", Cost: 1}).Outcome)
		require.Empty(t, q.Step(now, Tick{}))
	}
	require.Equal(t, Admit{ID: "large", Waited: 1001 * time.Millisecond}, q.Step(1001*time.Millisecond, Tick{})[0])
}

func TestRetryBudgetBoundsAmplification(t *testing.T) {
	b, err := NewRetryBudget(DefaultBudgetConfig())
	require.NoError(t, err)
	first, retries := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		first++
		b.FirstTry(now)
		for range 3 { // each request fails three times
			if b.Spend(now) {
				retries++
			}
		}
	}
	require.Less(t, float64(first+retries)/float64(first), 1.1)
	require.Positive(t, retries)
}

// TestRetryAfterSpreadsRefusedCallers refuses 2000 requests at the same time and checks
// that few of them retry within the same 100 ms.
func TestRetryAfterSpreadsRefusedCallers(t *testing.T) {
	q := newQueue(t, newBucket(0, 0), func(c *Config) { c.MaxWait = 0 })
	windows := map[time.Duration]int{}
	most := 0
	for i := range 2000 {
		after := q.Offer(0, Request{ID: fmt.Sprint(i), Team: "clubs"}).Refusal.RetryAfter
		require.GreaterOrEqual(t, after, DefaultConfig().RetryAfterMin)
		require.LessOrEqual(t, after, DefaultConfig().RetryAfterMax)
		windows[after/(100*time.Millisecond)]++
		most = max(most, windows[after/(100*time.Millisecond)])
	}
	t.Logf("at most %d of 2000 retry within the same 100 ms", most)
	require.Less(t, most, 60)
}
