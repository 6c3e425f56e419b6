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

// faultTimeout bounds the call that sets a fault.
const faultTimeout = 5 * time.Second

// runner executes one run.
type runner struct {
	cfg        Config
	started    time.Time
	stats      *stats
	outcomeLog *outcomeLog
	callers    []*caller
	pool       *ants.Pool
	inFlight   sync.WaitGroup

	mu   sync.Mutex
	errs []error
}

// Run offers the load, waits for every request to end, checks the ledger and returns the
// report. An error means that the settings are invalid, that a fault could not be set or
// that the ledger could not be read. Failed checks are only counted in the report.
func Run(cfg Config) (report.LoadTest, error) {
	if err := cfg.Validate(); err != nil {
		return report.LoadTest{}, err
	}
	pool, err := ants.NewPool(cfg.MaxInFlight, ants.WithNonblocking(true))
	if err != nil {
		return report.LoadTest{}, errors.Wrap(err, "create worker pool")
	}
	defer pool.Release()
	r := &runner{cfg: cfg, started: time.Now(), outcomeLog: &outcomeLog{}, pool: pool}
	r.stats = newStats(r.started, cfg.Warmup)
	for id := range cfg.Callers {
		r.callers = append(r.callers, newCaller(cfg, id, r.stats, r.outcomeLog))
	}
	r.offer()
	r.inFlight.Wait()
	for _, c := range r.callers {
		c.client.Close()
	}
	r.checkLedger()
	return r.report(), errors.Join(r.errs...)
}

// offer starts requests and sets faults until the end of the run.
func (r *runner) offer() {
	var generators sync.WaitGroup
	for i, s := range []struct {
		kind requestKind
		rate float64
		run  func(*caller, time.Time)
	}{
		{kindCompletion, r.cfg.CompletionsPerSecond, (*caller).runCompletion},
		{kindRead, r.cfg.ReadsPerSecond, (*caller).runRead},
		{kindReservation, r.cfg.ReservationsPerSecond, (*caller).runReservation},
	} {
		if s.rate > 0 {
			random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(i)+1e9))
			generators.Go(func() { r.generateArrivals(s.kind, s.rate, random, s.run) })
		}
	}
	for _, f := range r.cfg.Faults {
		generators.Go(func() { r.setFault(f) })
	}
	generators.Wait()
}

// generateArrivals starts requests of one kind at the times of a Poisson process. It skips
// those that exceed MaxInFlight.
func (r *runner) generateArrivals(k requestKind, perSecond float64, random *rand.Rand, run func(*caller, time.Time)) {
	var at time.Duration
	for {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > r.cfg.Duration {
			return
		}
		planned := r.started.Add(at)
		time.Sleep(time.Until(planned))
		r.stats.recordArrival(k, planned)
		c := r.callers[random.IntN(len(r.callers))]
		r.inFlight.Add(1)
		err := r.pool.Submit(func() {
			defer r.inFlight.Done()
			run(c, planned)
		})
		if err != nil {
			r.inFlight.Done()
			r.stats.recordSkipped()
		}
	}
}

func (r *runner) setFault(f TimedFault) {
	time.Sleep(time.Until(r.started.Add(f.At)))
	client := httpcall.NewDefault()
	defer client.Close()
	err := client.JSON(r.cfg.Control, "POST", "/fault", f.Fault, nil, httpcall.Within(faultTimeout))
	if err != nil {
		r.mu.Lock()
		r.errs = append(r.errs, errors.Wrapf(err, "set fault %s at %s", f.Fault.Kind, f.At))
		r.mu.Unlock()
	}
}

func (r *runner) checkLedger() {
	if r.cfg.Control == "" {
		r.stats.updateChecks(func(c *report.Checks) { c.LedgerMissing = true })
		return
	}
	time.Sleep(r.cfg.LedgerDelay)
	ledger, err := fetchLedger(r.cfg.Control)
	if err != nil {
		r.errs = append(r.errs, errors.Wrap(err, "fetch ledger"))
		r.stats.updateChecks(func(c *report.Checks) { c.LedgerMissing = true })
		return
	}
	r.stats.updateChecks(func(c *report.Checks) { r.outcomeLog.compare(ledger, c) })
}

func (r *runner) report() report.LoadTest {
	s := r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	out := report.LoadTest{
		Name:          r.cfg.Name,
		StartedMillis: r.started.UnixMilli(),
		DurationS:     r.cfg.Duration.Seconds(),
		WarmupS:       r.cfg.Warmup.Seconds(),
		Seed:          r.cfg.Seed,
		Callers:       r.cfg.Callers,
		Offered:       r.offered(),
		Bound:         r.cfg.Bound,
		Series:        s.seconds,
		LatencyMillis: s.percentilesLocked(),
		Verdicts:      s.verdicts,
		Refused:       s.refused,
		Outcomes:      s.outcomes,
		Requests:      s.requests,
		Attempts:      s.attempts,
		Skipped:       s.skipped,
		Recoveries:    r.recoveries(),
		Checks:        s.checks,
	}
	out.Throughput = throughput(s.seconds, r.cfg.Warmup, r.cfg.Duration)
	out.OfBound = divideRates(out.Throughput, out.Bound)
	return out
}

func (r *runner) offered() report.Rates {
	seconds := r.cfg.Duration.Seconds()
	return report.Rates{
		Completions:  float64(r.stats.offered[kindCompletion]) / seconds,
		Tokens:       float64(r.stats.offered[kindCompletion]*r.cfg.MaxTokens) / seconds,
		Reads:        float64(r.stats.offered[kindRead]) / seconds,
		Reservations: float64(r.stats.offered[kindReservation]) / seconds,
		Calls:        float64(r.stats.offered[kindRead]+r.stats.offered[kindReservation]) / seconds,
	}
}

// throughput returns the mean rates over the full seconds between warmup and end.
func throughput(series []report.SecondCounts, warmup, end time.Duration) report.Rates {
	from, to := int((warmup+time.Second-1)/time.Second), int(end/time.Second)
	var total report.SecondCounts
	for i := from; i < to && i < len(series); i++ {
		total.Completions += series[i].Completions
		total.Tokens += series[i].Tokens
		total.Reads += series[i].Reads
		total.Reservations += series[i].Reservations
	}
	n := float64(max(1, to-from))
	return report.Rates{
		Completions:  float64(total.Completions) / n,
		Tokens:       float64(total.Tokens) / n,
		Reads:        float64(total.Reads) / n,
		Reservations: float64(total.Reservations) / n,
		Calls:        float64(total.Reads+total.Reservations) / n,
	}
}

// divideRates divides each rate by its bound; without a bound the result is 0.
func divideRates(rates, bound report.Rates) report.Rates {
	divide := func(x, y float64) float64 {
		if y == 0 {
			return 0
		}
		return x / y
	}
	return report.Rates{
		Completions:  divide(rates.Completions, bound.Completions),
		Tokens:       divide(rates.Tokens, bound.Tokens),
		Reads:        divide(rates.Reads, bound.Reads),
		Reservations: divide(rates.Reservations, bound.Reservations),
		Calls:        divide(rates.Calls, bound.Calls),
	}
}

// recoveries measures the recovery after each mark and fault, up to the next one.
func (r *runner) recoveries() []report.Recovery {
	marks := append([]Mark(nil), r.cfg.Marks...)
	for _, f := range r.cfg.Faults {
		marks = append(marks, Mark{At: f.At, Label: faultLabel(f)})
	}
	sort.SliceStable(marks, func(i, j int) bool { return marks[i].At < marks[j].At })
	var out []report.Recovery
	from := r.cfg.Warmup
	for i, m := range marks {
		until := r.cfg.Duration
		if i+1 < len(marks) {
			until = marks[i+1].At
		}
		out = append(out, measureRecovery(r.stats.counts, from, m.At, until, m.Label))
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
