package lease

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/cockroachdb/errors"
)

// OrdersSlot is the slot whose holder, the leader, sends orders to engines.
const OrdersSlot = 0

// bootstrapMembers is the smallest roster that keeps a majority when it loses one
// member.
const bootstrapMembers = 3

// Config configures a Core.
type Config struct {
	// Self is this process. Its incarnation must be higher than that of every
	// earlier process of the same VM.
	Self ident.Instance `json:"self"`
	// Addr is the address at which peers reach this process.
	Addr string `json:"addr"`
	// Place is the region and failure domain of this process.
	Place ident.Place `json:"place"`
	// PromiseTerm is how long a promise is valid on the requester's clock, counted
	// from the moment of the request. Default 2 s.
	PromiseTerm time.Duration `json:"promise_term_ns"`
	// ClockMargin is the fraction by which a promise lasts longer on the grantor's
	// clock. It covers clocks whose rates differ by less than half of it. Default
	// 0.03.
	ClockMargin float64 `json:"clock_margin"`
	// AskEvery is the interval between two rounds of promise requests. Default
	// 400 ms.
	AskEvery time.Duration `json:"ask_every_ns"`
	// SuspectAfter is how long a member may leave requests unanswered before it is
	// reported as unresponsive. Default 1.2 s.
	SuspectAfter time.Duration `json:"suspect_after_ns"`
	// ReadEvery is the interval at which a member reads the roster from the
	// service. Default 2 s.
	ReadEvery time.Duration `json:"read_every_ns"`
	// PullEvery is the interval at which an instance that is not a member requests
	// the roster from a member. Default 1 s.
	PullEvery time.Duration `json:"pull_every_ns"`
	// ServiceTimeout is the time after which an unanswered read or write of the
	// service counts as failed. Default 1 s.
	ServiceTimeout time.Duration `json:"service_timeout_ns"`
	// ReaddAfter is how long a removed instance is not added again. Default 5 s.
	ReaddAfter time.Duration `json:"readd_after_ns"`
	// BootstrapWait is how long the first roster waits for three instances to be
	// known, because a roster of one member does not survive that member's loss.
	// Default 2 s.
	BootstrapWait time.Duration `json:"first_wait_ns"`
	// MaxMembers is the maximum number of members. Default 9.
	MaxMembers int `json:"max_members"`
	// Slots is the number of slots. It is fixed by the first roster. Default 64.
	Slots int `json:"slots"`
	// Seed seeds the random number generator.
	Seed uint64 `json:"seed"`
}

// DefaultConfig returns the defaults. The caller must still set Self and Addr.
func DefaultConfig() Config {
	return Config{
		PromiseTerm:    2 * time.Second,
		ClockMargin:    0.03,
		AskEvery:       400 * time.Millisecond,
		SuspectAfter:   1200 * time.Millisecond,
		ReadEvery:      2 * time.Second,
		PullEvery:      time.Second,
		ServiceTimeout: time.Second,
		ReaddAfter:     5 * time.Second,
		BootstrapWait:  2 * time.Second,
		MaxMembers:     9,
		Slots:          64,
	}
}

// Validate returns one error that names every invalid field, or nil.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, text string) {
		if !ok {
			err = errors.Join(err, errors.New("lease: "+text))
		}
	}
	check(c.Self.VM != "", "self.vm must not be empty: set it to the VM's name")
	check(c.Addr != "", "addr must not be empty: set the address at which peers reach this process")
	check(c.PromiseTerm > 0, "promise_term must be positive")
	check(c.ClockMargin >= 0 && c.ClockMargin < 1, "clock_margin must be at least 0 and below 1")
	check(c.AskEvery > 0 && c.AskEvery*3 <= c.PromiseTerm, "ask_every must be positive and at most a third of promise_term")
	check(c.SuspectAfter > c.AskEvery, "suspect_after must be above ask_every")
	check(c.ReadEvery > 0, "read_every must be positive")
	check(c.PullEvery > 0, "pull_every must be positive")
	check(c.ServiceTimeout > 0, "service_timeout must be positive")
	check(c.ReaddAfter >= 0, "readd_after must not be negative")
	check(c.BootstrapWait >= 0, "first_wait must not be negative")
	check(c.MaxMembers > 0, "max_members must be positive")
	check(c.Slots > 0, "slots must be positive")
	return err
}

// grantorTerm is how long a promise lasts on the grantor's clock.
func (c Config) grantorTerm() time.Duration {
	return c.PromiseTerm + time.Duration(float64(c.PromiseTerm)*c.ClockMargin)
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
