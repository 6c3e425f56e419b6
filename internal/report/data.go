// Package report holds the report that catkin-load prints, and turns such
// reports into one self-contained HTML page with plots.
package report

import "time"

// Load is the report of one run of catkin-load.
type LoadTest struct {
	Name string `json:"name"`
	// StartedMillis is the start in Unix milliseconds.
	StartedMillis int64   `json:"started_ms"`
	DurationS     float64 `json:"duration_s"`
	// WarmupS is the start of the run that rates and percentiles leave out.
	WarmupS float64 `json:"warmup_s"`
	Seed    uint64  `json:"seed"`
	Callers int     `json:"callers"`

	Offered    Rates `json:"offered"`
	Throughput Rates `json:"throughput"`
	// Bound is the accepted limit; zero fields are not bounded.
	Bound Rates `json:"bound"`
	// OfBound is throughput divided by bound.
	OfBound Rates `json:"of_bound"`

	Series []SecondCounts `json:"series"`
	// LatencyMillis holds percentiles in milliseconds by name: first_token and
	// completion from the planned start of the request, between_tokens, read,
	// reservation; retry_after is what refusals asked the caller to wait.
	LatencyMillis map[string]Percentiles `json:"latency_ms"`

	// Verdicts counts answers that were no success by verdict; an answer that
	// never came counts as "no-answer".
	Verdicts map[string]int `json:"verdicts"`
	// Refused counts the same answers by cause.
	Refused map[string]int `json:"refused_by_cause"`
	// Outcomes counts requests by kind and last outcome, such as
	// "completion ok".
	Outcomes map[string]int `json:"outcomes"`
	Requests int            `json:"requests"`
	Attempts int            `json:"attempts"`
	// Skipped counts planned requests that the bench itself could not start.
	Skipped int `json:"skipped"`

	Recoveries []Recovery `json:"recoveries,omitempty"`
	Checks     Checks     `json:"checks"`
}

// Rates are numbers per second.
type Rates struct {
	Completions  float64 `json:"completions"`
	Tokens       float64 `json:"tokens"`
	Reads        float64 `json:"reads"`
	Reservations float64 `json:"reservations"`
	// Calls are reads and reservations together.
	Calls float64 `json:"calls"`
}

// Second is what happened in one second of a run.
type SecondCounts struct {
	Completions  int `json:"completions"`
	Tokens       int `json:"tokens"`
	Reads        int `json:"reads"`
	Reservations int `json:"reservations"`
	// Refused counts answers that were no success, Failed requests that were
	// given up.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Requests returns the requests that succeeded.
func (s SecondCounts) Requests() int {
	return s.Completions + s.Reads + s.Reservations
}

// Percentiles of one latency in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Recovery is what followed a failure.
type Recovery struct {
	AtS   float64 `json:"at_s"`
	Label string  `json:"label"`
	// BeforePerS is the number of requests that succeeded per second before.
	BeforePerS float64 `json:"before_per_s"`
	// WorstRatio is the worst second's throughput divided by that before.
	WorstRatio float64 `json:"worst_ratio"`
	// RecoveryS is the time to the start of the first second from which on
	// throughput stays at 95% of that before; 0 for no dip.
	RecoveryS float64 `json:"recovery_s"`
	// Recovered is false if throughput had not come back at the end.
	Recovered bool `json:"recovered"`
}

// Checks are the results of checking answers and ledgers. All but the first
// three have to be zero.
type Checks struct {
	Answers      int `json:"answers_checked"`
	Reservations int `json:"reservations_checked"`
	// Unresolved are reservations whose last word was that they may have run.
	Unresolved int `json:"unresolved"`

	WrongAnswers int `json:"wrong_answers"`
	// Incomplete are answers that ended as if whole and were not.
	Incomplete int `json:"incomplete"`
	// Lost are reservations that were confirmed and are not in the ledger.
	Lost int `json:"lost"`
	// Doubled are reservations that were executed more than once.
	Doubled int `json:"doubled"`
	// WrongNotRun are requests that were refused as not run and did run.
	WrongNotRun int `json:"wrong_not_run"`
	// LedgerMissing says that the ledger could not be read, so that the last
	// three are not proved.
	LedgerMissing bool `json:"ledger_missing"`
	// Samples describe some of the faults that were found.
	Samples []string `json:"samples,omitempty"`
}

// Faults is the number of faults found.
func (c Checks) Faults() int {
	n := c.WrongAnswers + c.Incomplete + c.Lost + c.Doubled + c.WrongNotRun
	if c.LedgerMissing {
		n++
	}
	return n
}

// Started returns the start of the run.
func (l LoadTest) Started() time.Time {
	return time.UnixMilli(l.StartedMillis).UTC()
}
