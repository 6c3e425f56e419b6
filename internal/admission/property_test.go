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

// countingTaker adds up what it gave.
type countingTaker struct {
	Limiter
	given int
}

func (c *countingTaker) Take(now time.Duration, team ident.Team, service ident.Service, n int) bool {
	ok := c.Limiter.Take(now, team, service, n)
	if ok {
		c.given += n
	}
	return ok
}

// ledger checks that every request has one outcome.
type ledger struct {
	t        *rapid.T
	costs    map[string]int
	outcome  map[string]string
	running  []string
	admitted int
}

func (l *ledger) settle(id, outcome string) {
	require.Empty(l.t, l.outcome[id], "%s had an outcome already", id)
	l.outcome[id] = outcome
	if outcome == "admitted" {
		l.running = append(l.running, id)
		l.admitted += l.costs[id]
	}
}

func (l *ledger) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			l.settle(a.ID, "admitted")
		case Refuse:
			require.Equal(l.t, verdict.NotRun, a.Refusal.Verdict)
			l.settle(a.ID, "refused")
		}
	}
}

// TestQueueIsBoundedAndAnswersOnce mixes offers, ends, give-ups and time.
func TestQueueIsBoundedAndAnswersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		taker := &countingTaker{Limiter: newBucket(rapid.SampledFrom([]float64{0, 50, 500}).Draw(t, "rate"), 200)}
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		q := newQueue(t, taker, func(c *Config) {
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
			for _, w := range q.all() {
				require.LessOrEqual(t, q.ahead(w.req), 3)
			}
			require.Equal(t, taker.given, l.admitted, "a refused request took of the limit, or an admitted one did not")
		}
		now += time.Minute
		l.take(q.Step(now, Tick{}))
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
			l.take(q.Step(now, Done{ID: first}))
		}
	case "give up":
		l.take(q.Step(now, GiveUp{ID: id}))
	case "tick":
		l.take(q.Step(now, Tick{}))
		for _, w := range q.all() {
			require.Less(l.t, now, w.latest, "%s waits in vain", w.req.ID)
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
		l.settle(id, "admitted")
	case Refused:
		require.Equal(l.t, verdict.NotRun, d.Refusal.Verdict)
		l.settle(id, "refused")
	}
}

// TestTeamsShareSlotsByCost lets a team of large requests compete with one of
// small ones for slots: both get the same cost through, whatever else they send.
func TestTeamsShareSlotsByCost(t *testing.T) {
	q := newQueue(t, newBucket(0, 1e12), func(c *Config) { c.Slots = 1; c.MaxWait = time.Hour })
	costs := map[ident.Team]int{"clubs": 10, "planners": 250}
	through := map[ident.Team]int{}
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
		through[teamOf[running]] += costs[teamOf[running]]
		fill()
	}
	require.InEpsilon(t, through["clubs"], through["planners"], 0.02)
}

func TestHigherPriorityIsNotStarvedBySmallOnesBehindIt(t *testing.T) {
	taker := newBucket(100, 100)
	taker.left["clubs"] = 0
	q := newQueue(t, taker, func(c *Config) { c.MaxWait = time.Minute })
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
		for range 3 { // everything fails, three times
			if b.MayRetry(now) {
				retries++
			}
		}
	}
	require.Less(t, float64(first+retries)/float64(first), 1.1)
	require.Positive(t, retries)
}

// TestCallersDontComeBackTogether refuses 2000 callers at one moment.
func TestCallersDontComeBackTogether(t *testing.T) {
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
	t.Logf("at most %d of 2000 come back within the same 100 ms", most)
	require.Less(t, most, 60)
}
