package report

import "time"

// LoadTest is the report of one run of catkin-load.
type LoadTest struct {
	Name string `json:"name"`
	// StartedMillis is the start time in Unix milliseconds.
	StartedMillis int64   `json:"started_ms"`
	DurationS     float64 `json:"duration_s"`
	// WarmupS is the length of the warm-up in seconds, which rates and percentiles exclude.
	WarmupS float64 `json:"warmup_s"`
	Seed    uint64  `json:"seed"`
	Callers int     `json:"callers"`

	Offered    Rates `json:"offered"`
	Throughput Rates `json:"throughput"`
	// Bound is the accepted limit; zero means unlimited.
	Bound Rates `json:"bound"`
	// OfBound is Throughput divided by Bound, 0 for a rate without a bound.
	OfBound Rates `json:"of_bound"`

	Series []SecondCounts `json:"series"`
	// LatencyMillis holds percentiles in milliseconds by name: first_token, completion,
	// between_tokens, read, reservation, retry_after. first_token and completion count
	// from the planned start of the request; retry_after is the wait that refusals ask for.
	LatencyMillis map[string]Percentiles `json:"latency_ms"`

	// Verdicts counts unsuccessful responses by verdict; a missing response counts as
	// "no-answer".
	Verdicts map[string]int `json:"verdicts"`
	// Refused counts the same responses by cause.
	Refused map[string]int `json:"refused_by_cause"`
	// Outcomes counts requests by kind and final outcome, such as "completion ok".
	Outcomes map[string]int `json:"outcomes"`
	Requests int            `json:"requests"`
	Attempts int            `json:"attempts"`
	// Skipped counts planned requests that the load generator could not start.
	Skipped int `json:"skipped"`

	Recoveries []Recovery `json:"recoveries,omitempty"`
	Checks     Checks     `json:"checks"`
}

// Rates holds rates per second.
type Rates struct {
	Completions  float64 `json:"completions"`
	Tokens       float64 `json:"tokens"`
	Reads        float64 `json:"reads"`
	Reservations float64 `json:"reservations"`
	// Calls is the sum of reads and reservations.
	Calls float64 `json:"calls"`
}

// SecondCounts holds the counts of one second of a run.
type SecondCounts struct {
	Completions  int `json:"completions"`
	Tokens       int `json:"tokens"`
	Reads        int `json:"reads"`
	Reservations int `json:"reservations"`
	// Refused counts unsuccessful responses, Failed counts requests that were abandoned.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Requests returns the number of requests that succeeded.
func (s SecondCounts) Requests() int {
	return s.Completions + s.Reads + s.Reservations
}

// Percentiles holds percentiles of one latency in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Recovery describes the throughput after a failure.
type Recovery struct {
	// AtS is the time of the failure in seconds from the start of the run.
	AtS   float64 `json:"at_s"`
	Label string  `json:"label"`
	// BeforePerS is the number of requests that succeeded per second before the failure.
	BeforePerS float64 `json:"before_per_s"`
	// WorstRatio is the lowest ratio of successes to expected successes in a second after
	// the failure. The expected successes are the share of the arrivals that succeeded
	// before the failure, applied to the arrivals of that second.
	WorstRatio float64 `json:"worst_ratio"`
	// RecoveryS is the time in seconds from the failure to the start of the first second
	// from which successes stay at 95% of the expected ones, less the noise of their count;
	// 0 if they did not drop.
	RecoveryS float64 `json:"recovery_s"`
	// Recovered is false if throughput had not recovered by the next failure or the end of
	// the run.
	Recovered bool `json:"recovered"`
}

// Checks holds the results of checking responses and ledgers. Only the first three fields
// may be nonzero in a run without faults.
type Checks struct {
	Answers      int `json:"answers_checked"`
	Reservations int `json:"reservations_checked"`
	// Unresolved counts reservations whose final verdict was that they may have run.
	Unresolved int `json:"unresolved"`

	WrongAnswers int `json:"wrong_answers"`
	// Incomplete counts responses that ended normally but were not complete.
	Incomplete int `json:"incomplete"`
	// Lost counts confirmed reservations that are missing from the ledger.
	Lost int `json:"lost"`
	// Doubled counts reservations that were executed more than once.
	Doubled int `json:"doubled"`
	// WrongNotRun counts requests that were refused as not run but did run.
	WrongNotRun int `json:"wrong_not_run"`
	// LedgerMissing is true if the ledger could not be read; Lost, Doubled and WrongNotRun
	// are unverified then.
	LedgerMissing bool `json:"ledger_missing"`
	// Samples describes some of the faults found.
	Samples []string `json:"samples,omitempty"`
}

// Faults returns the number of faults found; a missing ledger counts as one.
func (c Checks) Faults() int {
	n := c.WrongAnswers + c.Incomplete + c.Lost + c.Doubled + c.WrongNotRun
	if c.LedgerMissing {
		n++
	}
	return n
}

// Started returns the start time of the run.
func (l LoadTest) Started() time.Time {
	return time.UnixMilli(l.StartedMillis).UTC()
}
