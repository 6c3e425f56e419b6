package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// BudgetConfig holds the settings of a RetryBudget.
type BudgetConfig struct {
	// Ratio is the number of retries that one first try earns. Default 0.08.
	Ratio float64
	// Burst is the maximum number of retries saved up. Default 20.
	Burst float64
	// PerSecond is the number of retries earned per second regardless of traffic,
	// so that an entry with little traffic can retry at all. Default 0.2.
	PerSecond float64
}

// DefaultBudgetConfig returns the default budget.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.08, Burst: 20, PerSecond: 0.2}
}

// Validate returns one error that names every invalid field.
func (c BudgetConfig) Validate() error {
	var errs error
	if c.Ratio < 0 || c.Ratio > 1 {
		errs = errors.Join(errs, errors.Newf("Ratio is %g: want 0 to 1", c.Ratio))
	}
	if c.Burst < 0 {
		errs = errors.Join(errs, errors.Newf("Burst is %g: want 0 or more", c.Burst))
	}
	if c.PerSecond < 0 {
		errs = errors.Join(errs, errors.Newf("PerSecond is %g: want 0 or more", c.PerSecond))
	}
	return errs
}

// RetryBudget limits the retries of one entry to a fraction of its first tries.
type RetryBudget struct {
	cfg       BudgetConfig
	available float64
	updatedAt time.Duration
}

// NewRetryBudget returns a budget without saved retries.
func NewRetryBudget(cfg BudgetConfig) (*RetryBudget, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &RetryBudget{cfg: cfg}, nil
}

// FirstTry records a first try.
func (b *RetryBudget) FirstTry(now time.Duration) {
	b.earn(now, b.cfg.Ratio)
}

// MayRetry reports whether a retry is within the budget, and deducts it if so.
func (b *RetryBudget) MayRetry(now time.Duration) bool {
	b.earn(now, 0)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

func (b *RetryBudget) earn(now time.Duration, n float64) {
	earnedByTime := (now - b.updatedAt).Seconds() * b.cfg.PerSecond
	b.updatedAt = now
	b.available = min(b.cfg.Burst, b.available+n+earnedByTime)
}
