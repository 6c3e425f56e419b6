package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinstair/catkinstair/internal/report"
)

// requestKind is a kind of request. Its value names the latency in the report.
type requestKind string

// The kinds of requests.
const (
	kindCompletion  requestKind = "completion"
	kindRead        requestKind = "read"
	kindReservation requestKind = "reservation"
)

// Names of the latencies besides those of the kinds.
const (
	latencyFirstToken    = "first_token"
	latencyBetweenTokens = "between_tokens"
	latencyRetryAfter    = "retry_after"
)

const (
	// bucketWidth is the time resolution of the recovery measurement.
	bucketWidth = 100 * time.Millisecond
	// maxLatency is the largest latency recorded; longer ones count as this.
	maxLatency = 10 * time.Minute
	// latencyDigits is the number of significant digits that histograms keep.
	latencyDigits = 3
	// maxSamples bounds the fault descriptions in the report.
	maxSamples = 20
)

// stats collects the counts and latencies of a run. It is safe for concurrent use.
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
	offered    map[requestKind]int
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
		offered:    map[requestKind]int{},
	}
}

// secondLocked returns the counts of the second that contains "at". The caller must hold mu.
func (s *stats) secondLocked(at time.Time) *report.SecondCounts {
	i := max(0, int(at.Sub(s.started)/time.Second))
	for len(s.seconds) <= i {
		s.seconds = append(s.seconds, report.SecondCounts{})
	}
	return &s.seconds[i]
}

// recordLatencyLocked records the latency d under name, unless "at" is in the warm-up. The
// caller must hold mu.
func (s *stats) recordLatencyLocked(name string, at time.Time, d time.Duration) {
	if at.Sub(s.started) < s.warmup {
		return
	}
	h := s.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		s.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// recordArrival counts a request due at "at".
func (s *stats) recordArrival(k requestKind, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offered[k]++
	s.counts.arrivals = s.incrementBucket(s.counts.arrivals, at)
}

func (s *stats) recordSkipped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// recordAttempt counts one attempt; r is nil for a success.
func (s *stats) recordAttempt(r *refusal) {
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
		s.recordLatencyLocked(latencyRetryAfter, now, r.retryAfter)
	}
}

// recordSuccess counts a request whose answer was complete.
func (s *stats) recordSuccess(k requestKind, planned time.Time, tokens int, tokenTimes []time.Time) {
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
	s.counts.succeeded = s.incrementBucket(s.counts.succeeded, now)
	s.recordLatencyLocked(string(k), planned, now.Sub(planned))
	for i, at := range tokenTimes {
		if i == 0 {
			s.recordLatencyLocked(latencyFirstToken, planned, at.Sub(planned))
			continue
		}
		s.recordLatencyLocked(latencyBetweenTokens, planned, at.Sub(tokenTimes[i-1]))
	}
}

// incrementBucket adds one to the bucket that contains "at".
func (s *stats) incrementBucket(buckets []int, at time.Time) []int {
	i := max(0, int(at.Sub(s.started)/bucketWidth))
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

// recordFailure counts a request that did not succeed.
func (s *stats) recordFailure(k requestKind, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.outcomes[string(k)+" "+outcome]++
	s.secondLocked(time.Now()).Failed++
}

// updateChecks applies update to the check results under the lock.
func (s *stats) updateChecks(update func(*report.Checks)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.checks)
}

// addSample adds the description of a fault to the report, up to maxSamples.
func addSample(c *report.Checks, text string) {
	if len(c.Samples) < maxSamples {
		c.Samples = append(c.Samples, text)
	}
}

// percentilesLocked returns the percentiles by latency name. The caller must hold mu.
func (s *stats) percentilesLocked() map[string]report.Percentiles {
	out := map[string]report.Percentiles{}
	for name, h := range s.histograms {
		out[name] = report.Percentiles{
			Count: h.TotalCount(),
			P50:   microsToMillis(h.ValueAtQuantile(50)),
			P90:   microsToMillis(h.ValueAtQuantile(90)),
			P95:   microsToMillis(h.ValueAtQuantile(95)),
			P99:   microsToMillis(h.ValueAtQuantile(99)),
			Max:   microsToMillis(h.Max()),
		}
	}
	return out
}

func microsToMillis(micros int64) float64 {
	return float64(micros) / 1000
}
