package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// bucket is a Limiter with one token bucket per team.
type bucket struct {
	rate, burst float64
	available   map[ident.Team]float64
	at          map[ident.Team]time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, available: map[ident.Team]float64{}, at: map[ident.Team]time.Duration{}}
}

// RetryAfter returns the time until the bucket holds n units, from its level at the
// last Take.
func (b *bucket) RetryAfter(_ time.Duration, team ident.Team, _ ident.Service, _, n int) time.Duration {
	if b.rate == 0 {
		return time.Hour
	}
	return time.Duration(max(0, float64(n)-b.available[team]) / b.rate * float64(time.Second))
}

func (b *bucket) Take(now time.Duration, team ident.Team, _ ident.Service, n int) bool {
	if _, ok := b.available[team]; !ok {
		b.available[team] = b.burst
	}
	b.available[team] = min(b.burst, b.available[team]+b.rate*(now-b.at[team]).Seconds())
	b.at[team] = now
	if b.available[team] < float64(n) {
		return false
	}
	b.available[team] -= float64(n)
	return true
}

func newQueue(t require.TestingT, limiter Limiter, modify func(*Config)) *Queue {
	cfg := DefaultConfig()
	if modify != nil {
		modify(&cfg)
	}
	q, err := New(cfg, limiter)
	require.NoError(t, err)
	return q
}

func TestOfferAdmitsQueuesAndRefuses(t *testing.T) {
	q := newQueue(t, newBucket(0, 1e9), func(c *Config) { c.Slots = 1; c.QueuePerTeam = 1 })
	require.Equal(t, Admitted, q.Offer(0, Request{ID: "a", Team: "clubs"}).Outcome)
	require.Equal(t, Queued, q.Offer(0, Request{ID: "b", Team: "clubs"}).Outcome)
	refused := q.Offer(0, Request{ID: "c", Team: "clubs"})
	require.Equal(t, Refused, refused.Outcome)
	require.Equal(t, verdict.NotRun, refused.Refusal.Verdict)
	require.Positive(t, refused.Refusal.RetryAfter)
	require.Equal(t, []Action{Admit{ID: "b", Waited: time.Millisecond}}, q.Step(time.Millisecond, Done{ID: "a"}))
	late := q.Offer(0, Request{ID: "d", Team: "clubs", Deadline: time.Second, ExpectedDuration: 2 * time.Second})
	require.Equal(t, verdict.CauseDeadline, late.Refusal.Cause)
}

func TestNoRequestWaitsPastItsDeadline(t *testing.T) {
	q := newQueue(t, newBucket(0, 0), nil)
	for i := range 20 {
		id := fmt.Sprint(i)
		q.Offer(0, Request{ID: id, Team: "clubs", Deadline: time.Duration(i+2) * 100 * time.Millisecond, ExpectedDuration: 100 * time.Millisecond})
	}
	for now := time.Duration(0); now <= 3*time.Second; now += 10 * time.Millisecond {
		for _, a := range q.Step(now, Tick{}) {
			require.Equal(t, verdict.NotRun, a.(Refuse).Refusal.Verdict)
		}
		for _, w := range q.allWaiters() {
			require.Less(t, now, w.startBy)
		}
	}
	require.Zero(t, q.Stats().Waiting)
}

func TestGiveUpAndStopAnswerAtOnce(t *testing.T) {
	q := newQueue(t, newBucket(0, 0), nil)
	q.Offer(0, Request{ID: "a", Team: "clubs"})
	q.Offer(0, Request{ID: "b", Team: "clubs"})
	require.Equal(t, verdict.CauseCallerGone, q.Step(0, GiveUp{ID: "a"})[0].(Refuse).Refusal.Cause)
	require.Equal(t, verdict.CauseLeaving, q.Step(0, Stop{})[0].(Refuse).Refusal.Cause)
	require.Equal(t, Refused, q.Offer(0, Request{ID: "c", Team: "clubs"}).Outcome)
}
