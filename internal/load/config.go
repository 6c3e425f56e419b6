package load

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/report"
	"github.com/catkinstair/catkinstair/internal/standin"
)

// Config says what load to offer.
type Config struct {
	Name string
	// Entries are the addresses that a caller may ask first.
	Entries []string
	Seed    uint64
	// Duration is how long requests start; Warmup is the part of it that rates
	// and percentiles leave out.
	Duration time.Duration
	Warmup   time.Duration
	Callers  int
	// Teams are given to the callers in turn.
	Teams []string
	// CompletionsPerS, ReadsPerS and ReservationsPerS are the offered rates.
	CompletionsPerS  float64
	ReadsPerS        float64
	ReservationsPerS float64
	// StreamShare is the part of the completions that stream, 0 to 1.
	StreamShare float64
	Model       string
	Service     string
	// Layers is the number of layers of the model.
	Layers      int
	PromptWords int
	MaxTokens   int
	// OwnKeyShare is the part of the reservations whose key the caller chose
	// itself instead of building on the system's prefix, 0 to 1.
	OwnKeyShare float64
	// StaleShare is the part of the callers that keep addresses for their whole
	// lifetime; the others ask anew after an attempt without an answer or when
	// the home of a key is gone, 0 to 1.
	StaleShare float64
	// Patience is how long a caller tries; AttemptTimeout bounds one unary
	// attempt, TokenTimeout the wait for each next token of a stream.
	Patience       time.Duration
	AttemptTimeout time.Duration
	TokenTimeout   time.Duration
	MaxAttempts    int
	// Settle is how long the bench waits at the end before it reads the ledger,
	// so that calls whose answers were lost have come to their end.
	Settle time.Duration
	// MaxInFlight bounds the requests under way; more are skipped and counted.
	MaxInFlight int
	Bound       report.Rates
	// Control is the fault control of the stand-ins, empty for none.
	Control string
	Faults  []TimedFault
	Marks   []Mark
}

// TimedFault is a fault that the bench switches at the stand-ins.
type TimedFault struct {
	At    time.Duration
	Fault standin.Fault
}

// Mark is the time of a failure that something else brings about.
type Mark struct {
	At    time.Duration
	Label string
}

// DefaultConfig returns a small load.
func DefaultConfig() Config {
	return Config{
		Name:             "load",
		Seed:             1,
		Duration:         20 * time.Second,
		Warmup:           2 * time.Second,
		Callers:          50,
		Teams:            []string{"klubbservice"},
		CompletionsPerS:  20,
		ReadsPerS:        50,
		ReservationsPerS: 50,
		StreamShare:      0.5,
		Model:            "skrivar",
		Service:          "ordrebok",
		Layers:           24,
		StaleShare:       0.5,
		PromptWords:      20,
		MaxTokens:        24,
		Patience:         15 * time.Second,
		AttemptTimeout:   5 * time.Second,
		TokenTimeout:     3 * time.Second,
		MaxAttempts:      8,
		Settle:           time.Second,
		MaxInFlight:      5000,
	}
}

// Validate names every faulty field at once.
func (c Config) Validate() error {
	var faults []string
	check := func(ok bool, text string) {
		if !ok {
			faults = append(faults, text)
		}
	}
	check(len(c.Entries) > 0, "Entries: want at least one address")
	check(len(c.Teams) > 0, "Teams: want at least one")
	check(c.Duration > 0, "Duration: want more than 0")
	check(c.Warmup >= 0 && c.Warmup < c.Duration, "Warmup: want 0 to less than Duration")
	check(c.Callers > 0, "Callers: want at least 1")
	check(c.CompletionsPerS >= 0 && c.ReadsPerS >= 0 && c.ReservationsPerS >= 0, "rates: want 0 or more")
	check(share(c.StreamShare) && share(c.OwnKeyShare) && share(c.StaleShare), "shares: want 0 to 1")
	check(c.Layers > 0 && c.PromptWords > 0 && c.MaxTokens > 0, "Layers, PromptWords, MaxTokens: want at least 1")
	check(c.Patience > 0 && c.AttemptTimeout > 0 && c.TokenTimeout > 0, "timeouts: want more than 0")
	check(c.MaxAttempts > 0 && c.MaxInFlight > 0, "MaxAttempts, MaxInFlight: want at least 1")
	check(len(c.Faults) == 0 || c.Control != "", "Faults: want Control")
	if len(faults) > 0 {
		return errors.Newf("load settings: %s", strings.Join(faults, "; "))
	}
	return nil
}

func share(v float64) bool {
	return v >= 0 && v <= 1
}
