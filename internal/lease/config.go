package lease

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/cockroachdb/errors"
)

// OrdersSlot is the slot whose holder gives orders to engines.
const OrdersSlot = 0

// firstMembers is the least number of members that survives the loss of one.
const firstMembers = 3

// Config is the lease's configuration.
type Config struct {
	// Self is this process. Its incarnation must be higher than that of every
	// earlier process of the same VM.
	Self ident.Instance `json:"self"`
	// Addr is the address at which peers reach this process.
	Addr string `json:"addr"`
	// Place says where this process stands.
	Place ident.Place `json:"place"`
	// PromiseTerm is how long a promise lasts on the asker's clock, counted
	// from the moment of asking. Default 2 s.
	PromiseTerm time.Duration `json:"promise_term_ns"`
	// ClockMargin is the share by which a promise lasts longer on the giver's
	// clock. It covers clocks that differ in rate by less than half of it.
	// Default 0.03.
	ClockMargin float64 `json:"clock_margin"`
	// AskEvery is the time between two rounds of asking. Default 400 ms.
	AskEvery time.Duration `json:"ask_every_ns"`
	// SuspectAfter is how long a member may leave asks unanswered before it is
	// reported as silent. Default 1.2 s.
	SuspectAfter time.Duration `json:"suspect_after_ns"`
	// ReadEvery is the time between two reads of the roster from the service by
	// a member. Default 2 s.
	ReadEvery time.Duration `json:"read_every_ns"`
	// PullEvery is the time between two asks for the roster by an instance that
	// is no member. Default 1 s.
	PullEvery time.Duration `json:"pull_every_ns"`
	// ServiceTimeout is how long an unanswered read or write of the service is
	// waited for. Default 1 s.
	ServiceTimeout time.Duration `json:"service_timeout_ns"`
	// ReaddAfter is how long an instance that was removed stays out. Default 5 s.
	ReaddAfter time.Duration `json:"readd_after_ns"`
	// FirstWait is how long the first roster waits for three instances to
	// be known. A roster of one member can't outlive it. Default 2 s.
	BootstrapWait time.Duration `json:"first_wait_ns"`
	// MaxMembers bounds the roster's members. Default 9.
	MaxMembers int `json:"max_members"`
	// Slots is the number of slots. It is fixed by the first roster. Default 64.
	Slots int `json:"slots"`
	// Seed fixes every random choice.
	Seed uint64 `json:"seed"`
}

// DefaultConfig returns the defaults; Self and Addr must still be set.
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

// Validate returns one error that names every faulty field.
func (c Config) Validate() error {
	var err error
	check := func(ok bool, text string) {
		if !ok {
			err = errors.Join(err, errors.New("lease: "+text))
		}
	}
	check(c.Self.VM != "", "self.vm is empty: set the VM's name")
	check(c.Addr != "", "addr is empty: set the address at which peers reach this process")
	check(c.PromiseTerm > 0, "promise_term must be above zero")
	check(c.ClockMargin >= 0 && c.ClockMargin < 1, "clock_margin must be from 0 up to 1")
	check(c.AskEvery > 0 && c.AskEvery*3 <= c.PromiseTerm, "ask_every must be above zero and at most a third of promise_term")
	check(c.SuspectAfter > c.AskEvery, "suspect_after must be above ask_every")
	check(c.ReadEvery > 0, "read_every must be above zero")
	check(c.PullEvery > 0, "pull_every must be above zero")
	check(c.ServiceTimeout > 0, "service_timeout must be above zero")
	check(c.ReaddAfter >= 0, "readd_after must not be negative")
	check(c.BootstrapWait >= 0, "first_wait must not be negative")
	check(c.MaxMembers > 0, "max_members must be above zero")
	check(c.Slots > 0, "slots must be above zero")
	return err
}

// giverTerm is how long a promise lasts on the giver's clock.
func (c Config) giverTerm() time.Duration {
	return c.PromiseTerm + time.Duration(float64(c.PromiseTerm)*c.ClockMargin)
}

// majority is the smallest number of members that is more than half of n.
func majority(n int) int { return n/2 + 1 }
