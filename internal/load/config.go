package load

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/report"
	"github.com/catkinstair/catkinstair/internal/standin"
)

// Config holds the settings of a run.
type Config struct {
	Name string
	// Entries are the addresses from which callers fetch their first addresses.
	Entries []string
	Seed    uint64
	// Duration is the time in which requests start; Warmup is its first part, which
	// rates and percentiles exclude.
	Duration time.Duration
	Warmup   time.Duration
	Callers  int
	// Teams are assigned to the callers in turn.
	Teams []string
	// CompletionsPerSecond, ReadsPerSecond and ReservationsPerSecond are the offered
	// rates.
	CompletionsPerSecond  float64
	ReadsPerSecond        float64
	ReservationsPerSecond float64
	// StreamShare is the share of the completions that stream, 0 to 1.
	StreamShare float64
	Model       string
	Service     string
	// Layers is the number of layers of the model.
	Layers      int
	PromptWords int
	MaxTokens   int
	// OwnKeyShare is the share of the reservations whose idempotency key does not start
	// with the entry's prefix, 0 to 1.
	OwnKeyShare float64
	// StaleShare is the share of the callers that keep addresses for their whole
	// lifetime, 0 to 1. The others fetch them again after an attempt without an answer
	// or when the home of a key is gone.
	StaleShare float64
	// RequestTimeout bounds a request with all its attempts, AttemptTimeout one attempt
	// at a service call, TokenTimeout the wait for each token of a stream.
	RequestTimeout time.Duration
	AttemptTimeout time.Duration
	TokenTimeout   time.Duration
	MaxAttempts    int
	// LedgerDelay is the wait between the last request and reading the ledger, so that
	// calls whose answers were lost have ended.
	LedgerDelay time.Duration
	// MaxInFlight bounds the requests in flight; further ones are skipped and counted.
	MaxInFlight int
	// Bound is the accepted limit; zero fields are not bounded.
	Bound report.Rates
	// Control is the address of the stand-ins' fault control, empty for none.
	Control string
	Faults  []TimedFault
	Marks   []Mark
}

// TimedFault is a fault that the run sets at the stand-ins, at a time after its start.
type TimedFault struct {
	At    time.Duration
	Fault standin.Fault
}

// Mark is the time, from the start, of a failure caused from outside the run.
type Mark struct {
	At    time.Duration
	Label string
}

// DefaultConfig returns the settings of a small load.
func DefaultConfig() Config {
	return Config{
		Name:                  "load",
		Seed:                  1,
		Duration:              20 * time.Second,
		Warmup:                2 * time.Second,
		Callers:               50,
		Teams:                 []string{"klubbservice"},
		CompletionsPerSecond:  20,
		ReadsPerSecond:        50,
		ReservationsPerSecond: 50,
		StreamShare:           0.5,
		Model:                 "skrivar",
		Service:               "ordrebok",
		Layers:                24,
		StaleShare:            0.5,
		PromptWords:           20,
		MaxTokens:             24,
		RequestTimeout:        15 * time.Second,
		AttemptTimeout:        5 * time.Second,
		TokenTimeout:          3 * time.Second,
		MaxAttempts:           8,
		LedgerDelay:           time.Second,
		MaxInFlight:           5000,
	}
}

// Validate returns one error that lists every invalid field.
func (c Config) Validate() error {
	var problems []string
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, text)
		}
	}
	check(len(c.Entries) > 0, "Entries must not be empty: set at least one address")
	check(len(c.Teams) > 0, "Teams must not be empty: set at least one team")
	check(c.Duration > 0, "Duration must be positive")
	check(c.Warmup >= 0 && c.Warmup < c.Duration, "Warmup must be at least 0 and less than Duration")
	check(c.Callers > 0, "Callers must be at least 1")
	check(c.CompletionsPerSecond >= 0 && c.ReadsPerSecond >= 0 && c.ReservationsPerSecond >= 0, "CompletionsPerSecond, ReadsPerSecond and ReservationsPerSecond must be at least 0")
	check(isShare(c.StreamShare) && isShare(c.OwnKeyShare) && isShare(c.StaleShare), "StreamShare, OwnKeyShare and StaleShare must be from 0 to 1")
	check(c.Layers > 0 && c.PromptWords > 0 && c.MaxTokens > 0, "Layers, PromptWords and MaxTokens must be at least 1")
	check(c.RequestTimeout > 0 && c.AttemptTimeout > 0 && c.TokenTimeout > 0, "RequestTimeout, AttemptTimeout and TokenTimeout must be positive")
	check(c.MaxAttempts > 0 && c.MaxInFlight > 0, "MaxAttempts and MaxInFlight must be at least 1")
	check(len(c.Faults) == 0 || c.Control != "", "Control must not be empty if Faults are set")
	if len(problems) > 0 {
		return errors.Newf("invalid load settings: %s", strings.Join(problems, "; "))
	}
	return nil
}

func isShare(v float64) bool {
	return v >= 0 && v <= 1
}
