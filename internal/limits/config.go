package limits

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/cockroachdb/errors"
)

// LenderConfig is the lender's configuration.
type LenderConfig struct {
	// Slots is the number of slots of the roster. Default 64.
	Slots int `json:"slots"`
	// LoanTerm is how long a loan can be spent, on the borrower's clock and
	// counted from its ask. Default 2 s. It must equal the borrowers'.
	LoanTerm time.Duration `json:"loan_term_ns"`
	// PromptTerm is how long the part of a loan that waiting requests take on
	// arrival can be spent. Default 500 ms. It must equal the borrowers'.
	ImmediateTerm time.Duration `json:"prompt_term_ns"`
	// ClockMargin is the share by which a loan lasts longer on the lender's
	// clock. Default 0.03.
	ClockMargin float64 `json:"clock_margin"`
	// BurstTime is the time of the rate that a bucket holds. Default 1 s.
	BurstTime time.Duration `json:"burst_time_ns"`
	// MinBurst is the smallest burst of a limit on requests. Default 2.
	MinBurst int64 `json:"min_burst"`
	// MinTokenBurst is the smallest burst of a limit on tokens. The largest
	// amount that one request can take is half of the burst. Default 8192.
	MinTokenBurst int64 `json:"min_token_burst"`
	// DivideEvery is the time over which asks are gathered before the supply
	// is divided among them. Default 20 ms.
	DivideEvery time.Duration `json:"divide_every_ns"`
	// AskEvery is the borrowers' time between asks. Default 200 ms.
	AskEvery time.Duration `json:"ask_every_ns"`
}

// DefaultLenderConfig returns the defaults.
func DefaultLenderConfig() LenderConfig {
	return LenderConfig{
		Slots:         64,
		LoanTerm:      2 * time.Second,
		ImmediateTerm: 500 * time.Millisecond,
		ClockMargin:   0.03,
		BurstTime:     time.Second,
		MinBurst:      2,
		MinTokenBurst: 8192,
		DivideEvery:   20 * time.Millisecond,
		AskEvery:      200 * time.Millisecond,
	}
}

// Validate returns one error that names every faulty field.
func (c LenderConfig) Validate() error {
	var f faults
	f.check(c.Slots > 0, "slots must be above zero")
	f.check(c.LoanTerm > 0, "loan_term must be above zero")
	f.check(c.ImmediateTerm > 0 && c.ImmediateTerm <= c.LoanTerm, "prompt_term must be above zero and at most loan_term")
	f.check(c.ClockMargin >= 0 && c.ClockMargin < 1, "clock_margin must be from 0 up to 1")
	f.check(c.BurstTime > 0, "burst_time must be above zero")
	f.check(c.MinBurst >= 2, "min_burst must be at least 2")
	f.check(c.MinTokenBurst >= 2, "min_token_burst must be at least 2")
	f.check(c.DivideEvery >= 0, "divide_every must not be negative")
	f.check(c.AskEvery > 0, "ask_every must be above zero")
	return f.err
}

// loanLife is how long a loan may be unspent on the lender's clock.
func (c LenderConfig) loanLife() time.Duration { return c.lengthen(c.LoanTerm) }

// promptLife is the same for the part that waiting requests take on arrival.
func (c LenderConfig) promptLife() time.Duration { return c.lengthen(c.ImmediateTerm) }

func (c LenderConfig) lengthen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockMargin)
}

// burst is the capacity of a limit's bucket.
func (c LenderConfig) burst(l Limit) float64 {
	least := c.MinBurst
	if l.Key.Unit == UnitTokens {
		least = c.MinTokenBurst
	}
	return max(l.Rate*c.BurstTime.Seconds(), float64(least))
}

// BorrowerConfig is the borrower's configuration.
type BorrowerConfig struct {
	// Self is this process; the incarnation must be higher than that of every
	// earlier process of the VM.
	Self ident.Instance `json:"self"`
	// Addr is where the lender's answers reach this process; empty where the
	// transport answers by itself.
	Addr string `json:"addr"`
	// Slots is the number of slots of the roster. Default 64.
	Slots int `json:"slots"`
	// LoanTerm is how long a loan can be spent, counted from its ask. Default
	// 2 s. It must equal the lender's.
	LoanTerm time.Duration `json:"loan_term_ns"`
	// PromptTerm is how long the part of a loan that waiting requests take on
	// arrival can be spent. Default 500 ms. It must equal the lender's.
	ImmediateTerm time.Duration `json:"prompt_term_ns"`
	// AskEvery is the time between two asks to one holder in steady demand.
	// Default 200 ms.
	AskEvery time.Duration `json:"ask_every_ns"`
	// UrgentAfter is the least time between two asks to one holder when a
	// request found nothing left. Default 20 ms.
	UrgentAfter time.Duration `json:"urgent_after_ns"`
	// Ahead is how much of the expected demand is held, as a multiple of
	// AskEvery. Default 1.25.
	Lookahead float64 `json:"ahead"`
	// IdleAfter is the time without demand after which all is handed back.
	// Default 600 ms.
	IdleAfter time.Duration `json:"idle_after_ns"`
	// ForgetAfter is the time without demand after which a limit's account is
	// dropped. Default 1 min.
	ForgetAfter time.Duration `json:"forget_after_ns"`
	// MaxAccounts bounds the limits in use at once. Default 50,000.
	MaxAccounts int `json:"max_accounts"`
	// MaxRetryAfter bounds RetryAfter. Default 30 s.
	MaxRetryAfter time.Duration `json:"max_retry_after_ns"`
	// Seed fixes every random choice.
	Seed uint64 `json:"seed"`
}

// DefaultBorrowerConfig returns the defaults; Self must still be set.
func DefaultBorrowerConfig() BorrowerConfig {
	return BorrowerConfig{
		Slots:         64,
		LoanTerm:      2 * time.Second,
		ImmediateTerm: 500 * time.Millisecond,
		AskEvery:      200 * time.Millisecond,
		UrgentAfter:   20 * time.Millisecond,
		Lookahead:     1.25,
		IdleAfter:     600 * time.Millisecond,
		ForgetAfter:   time.Minute,
		MaxAccounts:   50_000,
		MaxRetryAfter: 30 * time.Second,
	}
}

// Validate returns one error that names every faulty field.
func (c BorrowerConfig) Validate() error {
	var f faults
	f.check(c.Self.VM != "", "self.vm is empty: set the VM's name")
	f.check(c.Slots > 0, "slots must be above zero")
	f.check(c.AskEvery > 0 && 4*c.AskEvery <= c.LoanTerm, "ask_every must be above zero and at most a quarter of loan_term")
	f.check(c.ImmediateTerm >= c.AskEvery && c.ImmediateTerm <= c.LoanTerm, "prompt_term must be from ask_every to loan_term")
	f.check(c.UrgentAfter > 0 && c.UrgentAfter <= c.AskEvery, "urgent_after must be above zero and at most ask_every")
	f.check(c.Lookahead >= 1, "ahead must be at least 1")
	f.check(c.IdleAfter > 0, "idle_after must be above zero")
	f.check(c.ForgetAfter > c.LoanTerm, "forget_after must be above loan_term")
	f.check(c.MaxAccounts > 0, "max_accounts must be above zero")
	f.check(c.MaxRetryAfter > 0, "max_retry_after must be above zero")
	return f.err
}

// faults gathers the faults of a configuration.
type faults struct{ err error }

func (f *faults) check(ok bool, text string) {
	if !ok {
		f.err = errors.Join(f.err, errors.New("limits: "+text))
	}
}
