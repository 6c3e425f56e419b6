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

// overload is a run in virtual time: callers of ten teams, the first with a
// third of the requests, offer a multiple of their limits and come back when
// they are told to.
type overload struct {
	factor  float64
	maxWait time.Duration
	giveUp  int // tries after which a caller gives up

	q        *Queue
	rng      *rand.Rand
	due      calls
	costs    map[string]int
	calls    map[string]call
	requests int
	offers   int
	refused  int
	atOnce   int
	admitted float64
	waits    *hdrhistogram.Histogram
	returns  map[time.Duration]int
}

type call struct {
	at    time.Duration
	seq   int
	req   Request
	tries int
}

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
	overTeams    = 10
	overRate     = 1000.0 // cost per second and team that the limit allows
	overBurst    = 1000.0
	overCost     = 100 // mean
	overDuration = 2 * time.Minute
	overWarmUp   = 20 * time.Second
	overWindow   = 100 * time.Millisecond
)

func (o *overload) run(b *testing.B) {
	cfg := DefaultConfig()
	cfg.MaxWait = o.maxWait
	q, err := New(cfg, newBucket(overRate, overBurst))
	if err != nil {
		b.Fatal(err)
	}
	o.q = q
	o.rng = rand.New(rand.NewPCG(1, 1))
	o.costs = map[string]int{}
	o.waits = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	o.returns = map[time.Duration]int{}
	o.calls = map[string]call{}
	for now := time.Duration(0); now < overDuration; now += 10 * time.Millisecond {
		o.fresh(now)
		for len(o.due) > 0 && o.due[0].at <= now {
			c := heap.Pop(&o.due).(call)
			o.calls[c.req.ID] = c
			o.offer(now, c)
		}
		o.take(now, q.Step(now, Tick{}))
	}
}

func (o *overload) take(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			o.admit(now, a.ID, a.Waited)
		case Refuse:
			o.back(now, o.calls[a.ID], a.Refusal.RetryAfter)
		}
	}
}

// fresh adds the first tries of this slice.
func (o *overload) fresh(now time.Duration) {
	perSlice := o.factor * overTeams * overRate / overCost * 0.01
	for n := perSlice * o.rng.ExpFloat64(); n >= o.rng.Float64(); n-- {
		o.requests++
		team := ident.Team(fmt.Sprint(o.rng.IntN(overTeams)))
		req := Request{ID: fmt.Sprint(o.requests), Team: team, Cost: 1 + o.rng.IntN(2*overCost-1)}
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
		o.atOnce++
		o.back(now, c, d.Refusal.RetryAfter)
	}
}

func (o *overload) admit(now time.Duration, id string, waited time.Duration) {
	o.take(now, o.q.Step(now, Done{ID: id})) // slots are not what is short here
	if now < overWarmUp {
		return
	}
	o.admitted += float64(o.costs[id])
	_ = o.waits.RecordValue(max(1, waited.Microseconds()))
}

// back lets a refused caller come back when it was told to.
func (o *overload) back(now time.Duration, c call, after time.Duration) {
	o.refused++
	if c.tries >= o.giveUp || after == 0 {
		return
	}
	c.at = now + after
	c.tries++
	c.seq = o.offers
	o.returns[c.at/overWindow]++
	heap.Push(&o.due, c)
}

// BenchmarkOverload gives goodput against the limits, the share of refusals
// that are immediate, the wait of those admitted, and offers per request, at
// multiples of the limits.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []float64{0.9, 1.5, 3, 10} {
		for _, maxWait := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			b.Run(fmt.Sprintf("factor=%g/max-wait=%s", factor, maxWait), func(b *testing.B) {
				var o overload
				for range b.N {
					o = overload{factor: factor, maxWait: maxWait, giveUp: 3}
					o.run(b)
				}
				o.metrics(b)
			})
		}
	}
}

func (o *overload) metrics(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	bound := overTeams * overRate * (overDuration - overWarmUp).Seconds()
	b.ReportMetric(o.admitted/bound, "goodput/bound")
	b.ReportMetric(float64(o.atOnce)/float64(max(1, o.refused)), "refused-at-once")
	b.ReportMetric(float64(o.waits.ValueAtQuantile(95))/1000, "wait-p95-ms")
	b.ReportMetric(float64(o.offers)/float64(o.requests), "offers/request")
	sum, most := 0, 0
	for window, n := range o.returns {
		if at := window * overWindow; at > overWarmUp && at < overDuration {
			sum += n
			most = max(most, n)
		}
	}
	mean := float64(sum) / float64((overDuration-overWarmUp)/overWindow)
	b.ReportMetric(float64(most)/max(1, mean), "returns-peak/mean")
}

// BenchmarkOffer gives the cost of one decision with a full queue behind it.
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
