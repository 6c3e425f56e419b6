package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// overload is a run in virtual time: callers of ten teams, each with an equal share of
// the requests, offer a multiple of their limits and retry after Retry-After.
type overload struct {
	factor   float64
	maxWait  time.Duration
	maxTries int // tries per request

	q             *Queue
	rng           *rand.Rand
	due           calls
	costs         map[string]int
	calls         map[string]call
	requests      int
	offers        int
	refused       int
	refusedAtOnce int
	admitted      float64
	waits         *hdrhistogram.Histogram
	retries       map[time.Duration]int
}

type call struct {
	at    time.Duration
	seq   int
	req   Request
	tries int
}

// calls is a heap of tries, the next one first.
type calls []call

func (c calls) Len() int { return len(c) }
func (c calls) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].seq < c[j].seq
}
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)   { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

const (
	benchTeams    = 10
	benchRate     = 1000.0 // limit in cost per second and team
	benchBurst    = 1000.0
	benchCost     = 100 // mean
	benchDuration = 2 * time.Minute
	benchWarmUp   = 20 * time.Second
	benchWindow   = 100 * time.Millisecond
)

func (o *overload) run(b *testing.B) {
	cfg := DefaultConfig()
	cfg.MaxWait = o.maxWait
	q, err := New(cfg, newBucket(benchRate, benchBurst))
	if err != nil {
		b.Fatal(err)
	}
	o.q = q
	o.rng = rand.New(rand.NewPCG(1, 1))
	o.costs = map[string]int{}
	o.waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	o.retries = map[time.Duration]int{}
	o.calls = map[string]call{}
	for now := time.Duration(0); now < benchDuration; now += 10 * time.Millisecond {
		o.addFirstTries(now)
		for len(o.due) > 0 && o.due[0].at <= now {
			c := heap.Pop(&o.due).(call)
			o.calls[c.req.ID] = c
			o.offer(now, c)
		}
		o.apply(now, q.Step(now, Tick{}))
	}
}

func (o *overload) apply(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			o.admit(now, a.ID, a.Waited)
		case Refuse:
			o.scheduleRetry(now, o.calls[a.ID], a.Refusal.RetryAfter)
		}
	}
}

// addFirstTries adds the first tries of this time slice.
func (o *overload) addFirstTries(now time.Duration) {
	perSlice := o.factor * benchTeams * benchRate / benchCost * 0.01
	for n := perSlice * o.rng.ExpFloat64(); n >= o.rng.Float64(); n-- {
		o.requests++
		team := ident.Team(fmt.Sprint(o.rng.IntN(benchTeams)))
		req := Request{ID: fmt.Sprint(o.requests), Team: team, Cost: 1 + o.rng.IntN(2*benchCost-1)}
		o.costs[req.ID] = req.Cost
		heap.Push(&o.due, call{at: now, seq: o.requests, req: req, tries: 1})
	}
}

func (o *overload) offer(now time.Duration, c call) {
	o.offers++
	d := o.q.Offer(now, c.req)
	switch d.Outcome {
	case Admitted:
		o.admit(now, c.req.ID, 0)
	case Refused:
		o.refusedAtOnce++
		o.scheduleRetry(now, c, d.Refusal.RetryAfter)
	}
}

func (o *overload) admit(now time.Duration, id string, waited time.Duration) {
	o.apply(now, o.q.Step(now, Done{ID: id})) // frees the slot at once: only limits are scarce
	if now < benchWarmUp {
		return
	}
	o.admitted += float64(o.costs[id])
	_ = o.waits.RecordValue(max(1, waited.Microseconds()))
}

// scheduleRetry makes a refused caller retry after the given time, up to maxTries.
func (o *overload) scheduleRetry(now time.Duration, c call, after time.Duration) {
	o.refused++
	if c.tries >= o.maxTries || after == 0 {
		return
	}
	c.at = now + after
	c.tries++
	c.seq = o.offers
	o.retries[c.at/benchWindow]++
	heap.Push(&o.due, c)
}

// BenchmarkOverload reports goodput relative to the limits, the fraction of refusals
// that are immediate, the wait of admitted requests and the offers per request, at
// multiples of the limits.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []float64{0.9, 1.5, 3, 10} {
		for _, maxWait := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			b.Run(fmt.Sprintf("factor=%g/max-wait=%s", factor, maxWait), func(b *testing.B) {
				var o overload
				for range b.N {
					o = overload{factor: factor, maxWait: maxWait, maxTries: 3}
					o.run(b)
				}
				o.metrics(b)
			})
		}
	}
}

func (o *overload) metrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	bound := benchTeams * benchRate * (benchDuration - benchWarmUp).Seconds()
	b.ReportMetric(o.admitted/bound, "goodput/bound")
	b.ReportMetric(float64(o.refusedAtOnce)/float64(max(1, o.refused)), "refused-at-once")
	b.ReportMetric(float64(o.waits.ValueAtQuantile(95))/1000, "wait-p95-ms")
	b.ReportMetric(float64(o.offers)/float64(o.requests), "offers/request")
	sum, most := 0, 0
	for window, n := range o.retries {
		if at := window * benchWindow; at > benchWarmUp && at < benchDuration {
			sum += n
			most = max(most, n)
		}
	}
	mean := float64(sum) / float64((benchDuration-benchWarmUp)/benchWindow)
	b.ReportMetric(float64(most)/max(1, mean), "returns-peak/mean")
}

// BenchmarkOffer reports the cost of one decision while the queue is full.
func BenchmarkOffer(b *testing.B) {
	q, err := New(DefaultConfig(), newBucket(0, 0))
	if err != nil {
		b.Fatal(err)
	}
	for i := range 4096 {
		q.Offer(0, Request{ID: fmt.Sprint("w", i), Team: ident.Team(fmt.Sprint(i % 1100))})
	}
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q.Offer(0, Request{ID: ids[i], Team: "3"})
	}
}
