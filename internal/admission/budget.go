package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// BudgetConfig holds the settings of a RetryBudget.
type BudgetConfig struct {
	// Ratio is the number of retries that one first try earns. Default 0.08.
	Ratio float64
	// Burst is the maximum number of unused retries. Default 20.
	Burst float64
	// PerSecond is the number of retries earned per second regardless of traffic,
	// so that an entry VM with little traffic can retry at all. Default 0.2.
	PerSecond float64
}

// DefaultBudgetConfig returns the default budget.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.08, Burst: 20, PerSecond: 0.2}
}

// Validate returns one error that names every invalid field, or nil.
func (c BudgetConfig) Validate() error {
	var errs error
	if c.Ratio < 0 || c.Ratio > 1 {
		errs = errors.Join(errs, errors.Newf("Ratio is %g, must be from 0 to 1", c.Ratio))
	}
	if c.Burst < 0 {
		errs = errors.Join(errs, errors.Newf("Burst is %g, must not be negative", c.Burst))
	}
	if c.PerSecond < 0 {
		errs = errors.Join(errs, errors.Newf("PerSecond is %g, must not be negative", c.PerSecond))
	}
	return errs
}

// RetryBudget limits the retries of one entry VM to a fraction of its first tries. It is
// not safe for concurrent use.
type RetryBudget struct {
	cfg       BudgetConfig
	available float64
	updatedAt time.Duration
}

// NewRetryBudget returns an empty budget: retries must be earned first.
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

// Spend deducts one retry from the budget, and reports whether the budget allowed it.
func (b *RetryBudget) Spend(now time.Duration) bool {
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
