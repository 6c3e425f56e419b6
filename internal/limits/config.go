package limits

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/cockroachdb/errors"
)

// LenderConfig configures a Lender.
type LenderConfig struct {
	// Slots is the number of slots in the roster. Default 64.
	Slots int `json:"slots"`
	// LoanTerm is the lifetime of a loan, from its ask, on the borrower's clock.
	// It must equal the borrowers' LoanTerm. Default 2 s.
	LoanTerm time.Duration `json:"loan_term_ns"`
	// ImmediateTerm is the lifetime of the part of a loan that waiting requests
	// spend on arrival. It must equal the borrowers' ImmediateTerm. Default 500 ms.
	ImmediateTerm time.Duration `json:"prompt_term_ns"`
	// ClockMargin is the fraction by which the lender lengthens loan lifetimes on
	// its own clock. Default 0.03.
	ClockMargin float64 `json:"clock_margin"`
	// BurstTime is how long a full bucket lasts when spent at the limit's rate. Default 1 s.
	BurstTime time.Duration `json:"burst_time_ns"`
	// MinBurst is the smallest burst of a limit on requests. Default 2.
	MinBurst int64 `json:"min_burst"`
	// MinTokenBurst is the smallest burst of a limit on tokens. It bounds the size of
	// a request: one can take at most half of the burst. Default 8192.
	MinTokenBurst int64 `json:"min_token_burst"`
	// DivideEvery is how long asks are collected before the supply is divided
	// among them. Default 20 ms.
	DivideEvery time.Duration `json:"divide_every_ns"`
	// AskEvery is the borrowers' interval between asks. Default 200 ms.
	AskEvery time.Duration `json:"ask_every_ns"`
}

// DefaultLenderConfig returns the default lender configuration.
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

// Validate returns one error that names every invalid field, or nil.
func (c LenderConfig) Validate() error {
	var f configErrors
	f.check(c.Slots > 0, "slots must be positive")
	f.check(c.LoanTerm > 0, "loan_term must be positive")
	f.check(c.ImmediateTerm > 0 && c.ImmediateTerm <= c.LoanTerm, "prompt_term must be positive and at most loan_term")
	f.check(c.ClockMargin >= 0 && c.ClockMargin < 1, "clock_margin must be at least 0 and below 1")
	f.check(c.BurstTime > 0, "burst_time must be positive")
	f.check(c.MinBurst >= 2, "min_burst must be at least 2")
	f.check(c.MinTokenBurst >= 2, "min_token_burst must be at least 2")
	f.check(c.DivideEvery >= 0, "divide_every must not be negative")
	f.check(c.AskEvery > 0, "ask_every must be positive")
	return f.joined
}

// loanLifetime is the lifetime of a loan on the lender's clock.
func (c LenderConfig) loanLifetime() time.Duration { return c.withClockMargin(c.LoanTerm) }

// immediateLifetime is loanLifetime for the part that waiting requests spend on arrival.
func (c LenderConfig) immediateLifetime() time.Duration { return c.withClockMargin(c.ImmediateTerm) }

func (c LenderConfig) withClockMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockMargin)
}

// burst is the capacity of a limit's bucket.
func (c LenderConfig) burst(l Limit) float64 {
	minBurst := c.MinBurst
	if l.Key.Unit == UnitTokens {
		minBurst = c.MinTokenBurst
	}
	return max(l.Rate*c.BurstTime.Seconds(), float64(minBurst))
}

// BorrowerConfig configures a Borrower.
type BorrowerConfig struct {
	// Self identifies this process. Its incarnation must be higher than that of
	// every earlier process of the VM.
	Self ident.Instance `json:"self"`
	// Addr is the address to which lenders send loans; empty if the transport
	// returns them as responses.
	Addr string `json:"addr"`
	// Slots is the number of slots in the roster. Default 64.
	Slots int `json:"slots"`
	// LoanTerm is the lifetime of a loan, from its ask. It must equal the lender's
	// LoanTerm. Default 2 s.
	LoanTerm time.Duration `json:"loan_term_ns"`
	// ImmediateTerm is the lifetime of the part of a loan that waiting requests
	// spend on arrival. It must equal the lender's ImmediateTerm. Default 500 ms.
	ImmediateTerm time.Duration `json:"prompt_term_ns"`
	// AskEvery is the interval between two asks to one holder under steady demand.
	// Default 200 ms.
	AskEvery time.Duration `json:"ask_every_ns"`
	// UrgentAfter is the minimum interval between two asks to one holder when a
	// request could not be granted. Default 20 ms.
	UrgentAfter time.Duration `json:"urgent_after_ns"`
	// Lookahead is how much expected demand to borrow in advance while supply is
	// scarce, as a multiple of AskEvery. Default 1.25.
	Lookahead float64 `json:"ahead"`
	// IdleAfter is how long a limit must be without demand before its demand
	// estimate is reset and, while supply is scarce, its balance returned.
	// Default 600 ms.
	IdleAfter time.Duration `json:"idle_after_ns"`
	// ForgetAfter is how long a limit must be without demand before its account is
	// deleted. Default 1 min.
	ForgetAfter time.Duration `json:"forget_after_ns"`
	// MaxAccounts is the maximum number of limits in use at once. Default 50,000.
	MaxAccounts int `json:"max_accounts"`
	// MaxRetryAfter is the upper bound of RetryAfter. Default 30 s.
	MaxRetryAfter time.Duration `json:"max_retry_after_ns"`
	// Seed seeds the random number generator.
	Seed uint64 `json:"seed"`
}

// DefaultBorrowerConfig returns the default borrower configuration; Self must
// still be set.
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

// Validate returns one error that names every invalid field, or nil.
func (c BorrowerConfig) Validate() error {
	var f configErrors
	f.check(c.Self.VM != "", "self.vm must not be empty: set it to the VM's name")
	f.check(c.Slots > 0, "slots must be positive")
	f.check(c.AskEvery > 0 && 4*c.AskEvery <= c.LoanTerm, "ask_every must be positive and at most a quarter of loan_term")
	f.check(c.ImmediateTerm >= c.AskEvery && c.ImmediateTerm <= c.LoanTerm, "prompt_term must be from ask_every to loan_term")
	f.check(c.UrgentAfter > 0 && c.UrgentAfter <= c.AskEvery, "urgent_after must be positive and at most ask_every")
	f.check(c.Lookahead >= 1, "ahead must be at least 1")
	f.check(c.IdleAfter > 0, "idle_after must be positive")
	f.check(c.ForgetAfter > c.LoanTerm, "forget_after must be above loan_term")
	f.check(c.MaxAccounts > 0, "max_accounts must be positive")
	f.check(c.MaxRetryAfter > 0, "max_retry_after must be positive")
	return f.joined
}

// configErrors joins the errors of a configuration.
type configErrors struct{ joined error }

func (f *configErrors) check(ok bool, message string) {
	if !ok {
		f.joined = errors.Join(f.joined, errors.New("limits: "+message))
	}
}
