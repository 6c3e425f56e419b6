package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinstair/catkinstair/internal/report"
)

// kind is a kind of request; it is also the name of its latency.
type kind string

// The kinds of requests.
const (
	kindCompletion  kind = "completion"
	kindRead        kind = "read"
	kindReservation kind = "reservation"
)

// Names of the latencies besides those of the kinds.
const (
	latencyFirstToken    = "first_token"
	latencyBetweenTokens = "between_tokens"
	latencyRetryAfter    = "retry_after"
)

const (
	// bucket is the grain in which recovery is looked for.
	bucket = 100 * time.Millisecond
	// latencyMax is the largest latency that is told apart.
	latencyMax = 10 * time.Minute
	// latencyDigits is the number of significant digits of latencies.
	latencyDigits = 3
	maxSamples    = 20
)

// stats gathers what happens in a run. It is safe for concurrent use.
type stats struct {
	started time.Time
	warmup  time.Duration

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	seconds    []report.SecondCounts
	counts     counts
	verdicts   map[string]int
	refused    map[string]int
	outcomes   map[string]int
	requests   int
	attempts   int
	skipped    int
	offered    map[kind]int
	checks     report.Checks
}

func newStats(started time.Time, warmup time.Duration) *stats {
	return &stats{
		started:    started,
		warmup:     warmup,
		histograms: map[string]*hdrhistogram.Histogram{},
		verdicts:   map[string]int{},
		refused:    map[string]int{},
		outcomes:   map[string]int{},
		offered:    map[kind]int{},
	}
}

func (s *stats) secondLocked(at time.Time) *report.SecondCounts {
	i := max(0, int(at.Sub(s.started)/time.Second))
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, report.SecondCounts{})
	}
	return &s.seconds[i]
}

func (s *stats) latencyLocked(name string, at time.Time, d time.Duration) {
	if at.Sub(s.started) < s.warmup {
		return
	}
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, latencyMax.Microseconds(), latencyDigits)
		s.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d, time.Microsecond), latencyMax).Microseconds())
}

// planned counts a request that starts.
func (s *stats) planned(k kind, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offered[k]++
	s.counts.planned = s.countBucket(s.counts.planned, at)
}

func (s *stats) skip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// attempt counts one attempt; r is nil for a success.
func (s *stats) attempt(r *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if r == nil {
		return
	}
	s.verdicts[r.label()]++
	s.refused[r.cause]++
	now := time.Now()
	s.secondLocked(now).Refused++
	if r.retryAfter > 0 {
		s.latencyLocked(latencyRetryAfter, now, r.retryAfter)
	}
}

// succeeded counts a request that was answered whole.
func (s *stats) succeeded(k kind, planned time.Time, tokens int, tokenTimes []time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.outcomes[string(k)+" ok"]++
	second := s.secondLocked(now)
	switch k {
	case kindCompletion:
		second.Completions++
		second.Tokens += tokens
	case kindRead:
		second.Reads++
	case kindReservation:
		second.Reservations++
	}
	s.counts.succeeded = s.countBucket(s.counts.succeeded, now)
	s.latencyLocked(string(k), planned, now.Sub(planned))
	for i, at := range tokenTimes {
		if i == 0 {
			s.latencyLocked(latencyFirstToken, planned, at.Sub(planned))
			continue
		}
		s.latencyLocked(latencyBetweenTokens, planned, at.Sub(tokenTimes[i-1]))
	}
}

// countBucket adds one to the bucket of a moment.
func (s *stats) countBucket(buckets []int, at time.Time) []int {
	i := max(0, int(at.Sub(s.started)/bucket))
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

// gaveUp counts a request without a success.
func (s *stats) gaveUp(k kind, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.outcomes[string(k)+" "+outcome]++
	s.secondLocked(time.Now()).Failed++
}

// check changes the results of checking.
func (s *stats) check(change func(*report.Checks)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.checks)
}

// sample keeps the description of a fault that was found.
func sample(c *report.Checks, text string) {
	if len(c.Samples) < maxSamples {
		c.Samples = append(c.Samples, text)
	}
}

func (s *stats) percentiles() map[string]report.Percentiles {
	out := map[string]report.Percentiles{}
	for name, h := range s.histograms {
		out[name] = report.Percentiles{
			Count: h.TotalCount(),
			P50:   millis(h.ValueAtQuantile(50)),
			P90:   millis(h.ValueAtQuantile(90)),
			P95:   millis(h.ValueAtQuantile(95)),
			P99:   millis(h.ValueAtQuantile(99)),
			Max:   millis(h.Max()),
		}
	}
	return out
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}
