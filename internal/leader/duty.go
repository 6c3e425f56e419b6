// Package duty decides how a VM shows its presence in the platform's store and
// who of all VMs gives the orders. Both hang on one lease of the VM: its record
// vanishes with the lease, and so does the claim on the duty, a single key that is
// written only where it is absent. A VM that gives orders stops by its own clock
// before the lease can have ended.
//
// Core is a plain state machine. Time is the time since the process started, by a
// clock that counts suspension too.
package leader

import "time"

// Config holds the settings of a Core.
type Config struct {
	// TTL is the lease's time to live. Default 2.5 s.
	TTL time.Duration
	// Keep is the interval of renewals. Default 800 ms.
	RenewInterval time.Duration
	// Margin is how long before the lease's end orders are no longer given: an
	// order on its way has to arrive before. Default 400 ms.
	SafetyMargin time.Duration
	// RankDelay is how much longer each VM in the order of names waits before it
	// claims a free duty, so that not all claim at once. Default 120 ms.
	RankDelay time.Duration
	// Retry is the pause after a call that failed; it doubles with each further one up
	// to RetryMost: calls that a store refuses are priced as well. Default 250 ms.
	RetryDelay time.Duration
	// RetryMost bounds it: when the store is back, the VM's record has to be there
	// before the directory's answers run out. Default 800 ms.
	MaxRetryDelay time.Duration
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{TTL: 2500 * time.Millisecond, RenewInterval: 800 * time.Millisecond, SafetyMargin: 400 * time.Millisecond,
		RankDelay: 120 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond}
}

// Call is a call to the store that the shell makes next.
type Call uint8

// The calls.
const (
	// None: nothing to do now.
	None Call = iota
	// NewLease asks for a lease of Config.TTL.
	NewLease
	// Announce writes the VM's record under the lease.
	WriteRecord
	// Keep renews the lease.
	Renew
	// Claim writes the claim on the duty under the lease, where the key is at
	// Core.ClaimRevision.
	Claim
)

// Core is the state of one VM. Its methods are not safe for concurrent use.
type Core struct {
	cfg  Config
	self string

	lease     uint64
	until     time.Duration // the lease's end at the earliest
	announced bool
	nextKeep  time.Duration
	notBefore time.Duration
	failures  int // in a row

	holder         string // VM that claims the duty, "" for none
	holderLease    uint64
	holderRevision uint64
	freeSince      time.Duration
	known          bool // the store was read once
	rank           int
}

// New returns the Core of the VM named self.
func New(cfg Config, self string) *Core { return &Core{cfg: cfg, self: self} }

// Lease returns the VM's lease, 0 for none.
func (c *Core) Lease() uint64 { return c.lease }

// ClaimRevision is the revision at which the duty's key is replaced; 0 where it
// is absent.
func (c *Core) ClaimRevision() uint64 { return c.holderRevision }

// Fence rises with each claim: it is the store's revision of the claim.
func (c *Core) FencingToken() uint64 { return c.holderRevision }

// Holder is the VM that holds the duty, as last seen.
func (c *Core) Leader() string { return c.holder }

// SetRank says at which place of all VMs this one stands.
func (c *Core) SetRank(rank int) { c.rank = rank }

// MayAct reports whether this VM may give orders now.
func (c *Core) IsLeader(now time.Duration) bool {
	return c.lease != 0 && c.holder == c.self && c.holderLease == c.lease && now < c.until-c.cfg.SafetyMargin
}

// Seen takes in the duty's key as the store has it; vm is "" where it is absent.
func (c *Core) ClaimObserved(now time.Duration, vm string, lease, revision uint64) {
	if vm == "" && (c.holder != "" || !c.known) {
		c.freeSince = now
	}
	c.known = true
	c.holder, c.holderLease, c.holderRevision = vm, lease, revision
}

// Next returns the call to make now. Each call is followed by one of the methods
// below before Next is asked again.
func (c *Core) Next(now time.Duration) Call {
	switch {
	case now < c.notBefore:
		return None
	case c.lease == 0 || now >= c.until:
		c.lease, c.announced = 0, false
		return NewLease
	case now >= c.nextKeep:
		return Renew
	case !c.announced:
		return WriteRecord
	case c.mayClaim(now):
		return Claim
	}
	return None
}

// mayClaim is true where nobody holds the duty, or an earlier life of this VM
// does: two lives of one VM never run together.
func (c *Core) mayClaim(now time.Duration) bool {
	if !c.known || now >= c.until-c.cfg.SafetyMargin {
		return false
	}
	if c.holder == c.self {
		return c.holderLease != c.lease
	}
	return c.holder == "" && now >= c.freeSince+time.Duration(c.rank)*c.cfg.RankDelay
}

// Leased takes in a granted lease; it runs from asked at the earliest.
func (c *Core) LeaseGranted(asked time.Duration, lease uint64, ttl time.Duration) {
	c.lease, c.until, c.announced, c.failures = lease, asked+ttl, false, 0
	c.nextKeep = asked + c.cfg.RenewInterval
}

// Kept takes in a renewal.
func (c *Core) LeaseRenewed(asked time.Duration, ttl time.Duration) {
	c.until, c.failures = asked+ttl, 0
	c.nextKeep = asked + c.cfg.RenewInterval
}

// Announced takes in that the VM's record is written.
func (c *Core) RecordWritten() { c.announced, c.failures = true, 0 }

// Claimed takes in a claim that was written at revision.
func (c *Core) Claimed(revision uint64) {
	c.holder, c.holderLease, c.holderRevision = c.self, c.lease, revision
}

// maxDoublings keeps the shift of a pause within its type.
const maxDoublings = 8

// Failed takes in that the last call failed; leaseGone where the store knows the
// lease no more.
func (c *Core) CallFailed(now time.Duration, leaseGone bool) {
	c.notBefore = now + min(c.cfg.RetryDelay<<min(c.failures, maxDoublings), c.cfg.MaxRetryDelay)
	c.failures++
	if leaseGone {
		c.lease, c.announced = 0, false
	}
}
