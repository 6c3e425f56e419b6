package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/report"
)

// faultTimeout bounds the call that switches a fault.
const faultTimeout = 5 * time.Second

// bench is one run.
type bench struct {
	cfg     Config
	started time.Time
	stats   *stats
	record  *record
	callers []*caller
	pool    *ants.Pool
	under   sync.WaitGroup

	mu       sync.Mutex
	failures []error
}

// Run offers the load, waits for every request to end, checks the ledger and
// returns the report. An error means that the run itself could not be made.
func Run(cfg Config) (report.LoadTest, error) {
	if err := cfg.Validate(); err != nil {
		return report.LoadTest{}, err
	}
	pool, err := ants.NewPool(cfg.MaxInFlight, ants.WithNonblocking(true))
	if err != nil {
		return report.LoadTest{}, errors.Wrap(err, "pool")
	}
	defer pool.Release()
	b := &bench{cfg: cfg, started: time.Now(), record: &record{}, pool: pool}
	b.stats = newStats(b.started, cfg.Warmup)
	for id := range cfg.Callers {
		b.callers = append(b.callers, newCaller(cfg, id, b.stats, b.record))
	}
	b.offer()
	b.under.Wait()
	for _, c := range b.callers {
		c.calls.Close()
	}
	b.checkLedger()
	return b.report(), errors.Join(b.failures...)
}

// offer starts requests until the end of the run.
func (b *bench) offer() {
	var sources sync.WaitGroup
	for i, s := range []struct {
		kind kind
		rate float64
		run  func(*caller, time.Time)
	}{
		{kindCompletion, b.cfg.CompletionsPerS, (*caller).runCompletion},
		{kindRead, b.cfg.ReadsPerS, (*caller).runRead},
		{kindReservation, b.cfg.ReservationsPerS, (*caller).runReservation},
	} {
		if s.rate > 0 {
			random := rand.New(rand.NewPCG(b.cfg.Seed, uint64(i)+1e9))
			sources.Go(func() { b.arrivals(s.kind, s.rate, random, s.run) })
		}
	}
	for _, f := range b.cfg.Faults {
		sources.Go(func() { b.switchFault(f) })
	}
	sources.Wait()
}

// arrivals starts requests of one kind at the times of a Poisson process.
func (b *bench) arrivals(k kind, perSecond float64, random *rand.Rand, run func(*caller, time.Time)) {
	var at time.Duration
	for {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > b.cfg.Duration {
			return
		}
		planned := b.started.Add(at)
		time.Sleep(time.Until(planned))
		b.stats.planned(k, planned)
		c := b.callers[random.IntN(len(b.callers))]
		b.under.Add(1)
		err := b.pool.Submit(func() {
			defer b.under.Done()
			run(c, planned)
		})
		if err != nil {
			b.under.Done()
			b.stats.skip()
		}
	}
}

func (b *bench) switchFault(f TimedFault) {
	time.Sleep(time.Until(b.started.Add(f.At)))
	calls := httpcall.NewDefault()
	defer calls.Close()
	err := calls.JSON(b.cfg.Control, "POST", "/fault", f.Fault, nil, httpcall.Within(faultTimeout))
	if err != nil {
		b.mu.Lock()
		b.failures = append(b.failures, errors.Wrapf(err, "fault %s at %s", f.Fault.Kind, f.At))
		b.mu.Unlock()
	}
}

func (b *bench) checkLedger() {
	if b.cfg.Control == "" {
		b.stats.check(func(c *report.Checks) { c.LedgerMissing = true })
		return
	}
	time.Sleep(b.cfg.Settle)
	ledger, err := readLedger(b.cfg.Control)
	if err != nil {
		b.failures = append(b.failures, errors.Wrap(err, "ledger"))
		b.stats.check(func(c *report.Checks) { c.LedgerMissing = true })
		return
	}
	b.stats.check(func(c *report.Checks) { b.record.compare(ledger, c) })
}

func (b *bench) report() report.LoadTest {
	s := b.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	out := report.LoadTest{
		Name:          b.cfg.Name,
		StartedMillis: b.started.UnixMilli(),
		DurationS:     b.cfg.Duration.Seconds(),
		WarmupS:       b.cfg.Warmup.Seconds(),
		Seed:          b.cfg.Seed,
		Callers:       b.cfg.Callers,
		Offered:       b.offered(),
		Bound:         b.cfg.Bound,
		Series:        s.seconds,
		LatencyMillis: s.percentiles(),
		Verdicts:      s.verdicts,
		Refused:       s.refused,
		Outcomes:      s.outcomes,
		Requests:      s.requests,
		Attempts:      s.attempts,
		Skipped:       s.skipped,
		Recoveries:    b.recoveries(),
		Checks:        s.checks,
	}
	out.Throughput = throughput(s.seconds, b.cfg.Warmup, b.cfg.Duration)
	out.OfBound = ratio(out.Throughput, out.Bound)
	return out
}

func (b *bench) offered() report.Rates {
	seconds := b.cfg.Duration.Seconds()
	return report.Rates{
		Completions:  float64(b.stats.offered[kindCompletion]) / seconds,
		Tokens:       float64(b.stats.offered[kindCompletion]*b.cfg.MaxTokens) / seconds,
		Reads:        float64(b.stats.offered[kindRead]) / seconds,
		Reservations: float64(b.stats.offered[kindReservation]) / seconds,
		Calls:        float64(b.stats.offered[kindRead]+b.stats.offered[kindReservation]) / seconds,
	}
}

// throughput is the mean over the whole seconds between warmup and end.
func throughput(series []report.SecondCounts, warmup, end time.Duration) report.Rates {
	from, to := int((warmup+time.Second-1)/time.Second), int(end/time.Second)
	var sum report.SecondCounts
	for i := from; i < to && i < len(series); i++ {
		sum.Completions += series[i].Completions
		sum.Tokens += series[i].Tokens
		sum.Reads += series[i].Reads
		sum.Reservations += series[i].Reservations
	}
	n := float64(max(1, to-from))
	return report.Rates{
		Completions:  float64(sum.Completions) / n,
		Tokens:       float64(sum.Tokens) / n,
		Reads:        float64(sum.Reads) / n,
		Reservations: float64(sum.Reservations) / n,
		Calls:        float64(sum.Reads+sum.Reservations) / n,
	}
}

func ratio(a, bound report.Rates) report.Rates {
	divide := func(x, y float64) float64 {
		if y == 0 {
			return 0
		}
		return x / y
	}
	return report.Rates{
		Completions:  divide(a.Completions, bound.Completions),
		Tokens:       divide(a.Tokens, bound.Tokens),
		Reads:        divide(a.Reads, bound.Reads),
		Reservations: divide(a.Reservations, bound.Reservations),
		Calls:        divide(a.Calls, bound.Calls),
	}
}

// recoveries looks at what followed each mark and fault, up to the next one.
func (b *bench) recoveries() []report.Recovery {
	marks := append([]Mark(nil), b.cfg.Marks...)
	for _, f := range b.cfg.Faults {
		marks = append(marks, Mark{At: f.At, Label: faultLabel(f)})
	}
	sort.SliceStable(marks, func(i, j int) bool { return marks[i].At < marks[j].At })
	var out []report.Recovery
	from := b.cfg.Warmup
	for i, m := range marks {
		until := b.cfg.Duration
		if i+1 < len(marks) {
			until = marks[i+1].At
		}
		out = append(out, recovery(b.stats.counts, from, m.At, until, m.Label))
	}
	return out
}

func faultLabel(f TimedFault) string {
	text := fmt.Sprintf("%s %s", f.Fault.Target, f.Fault.Kind)
	if f.Fault.Off {
		text += " off"
	}
	return text
}
