package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// BudgetConfig holds the settings of a RetryBudget.
type BudgetConfig struct {
	// Ratio is the retries that one first try earns. Default 0.08.
	Ratio float64
	// Burst bounds the retries saved up. Default 20.
	Burst float64
	// PerSecond is earned by time alone, so that a quiet entry may retry at
	// all. Default 0.2.
	PerSecond float64
}

// DefaultBudgetConfig returns the defaults.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.08, Burst: 20, PerSecond: 0.2}
}

// Validate names every faulty field at once.
func (c BudgetConfig) Validate() error {
	var faults error
	if c.Ratio < 0 || c.Ratio > 1 {
		faults = errors.Join(faults, errors.Newf("Ratio is %g: want 0 to 1", c.Ratio))
	}
	if c.Burst < 0 {
		faults = errors.Join(faults, errors.Newf("Burst is %g: want 0 or more", c.Burst))
	}
	if c.PerSecond < 0 {
		faults = errors.Join(faults, errors.Newf("PerSecond is %g: want 0 or more", c.PerSecond))
	}
	return faults
}

// RetryBudget bounds the retries of one entry to a share of its first tries.
type RetryBudget struct {
	cfg   BudgetConfig
	saved float64
	at    time.Duration
}

// NewRetryBudget returns a budget with nothing saved up.
func NewRetryBudget(cfg BudgetConfig) (*RetryBudget, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &RetryBudget{cfg: cfg}, nil
}

// FirstTry counts a first try.
func (b *RetryBudget) FirstTry(now time.Duration) {
	b.earn(now, b.cfg.Ratio)
}

// MayRetry reports whether a retry is within the budget, and counts it.
func (b *RetryBudget) MayRetry(now time.Duration) bool {
	b.earn(now, 0)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *RetryBudget) earn(now time.Duration, n float64) {
	byTime := (now - b.at).Seconds() * b.cfg.PerSecond
	b.at = now
	b.saved = min(b.cfg.Burst, b.saved+n+byTime)
}
