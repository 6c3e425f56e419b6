// Package leader registers a VM in the platform's store and elects the leader, the one
// VM that gives placement orders. The VM's record and the leader's claim depend on the
// VM's lease: the store deletes both when the lease ends. The claim is a single key that
// is written only if it is absent or was written by an earlier incarnation of the same VM.
// By its own clock, the leader stops giving orders before its lease can have ended.
//
// Core is a pure state machine. Times are relative to the start of the process, on a
// clock that keeps running while the VM is suspended.
package leader

import "time"

// Config holds the settings of a Core.
type Config struct {
	// TTL is the lifetime of a lease. Default 2.5 s.
	TTL time.Duration
	// RenewInterval is the interval between lease renewals. Default 800 ms.
	RenewInterval time.Duration
	// SafetyMargin is the time before the end of its lease at which a leader stops giving
	// orders, so that an order in transit arrives before the end. Default 400 ms.
	SafetyMargin time.Duration
	// RankDelay is the wait per rank before a VM claims a vacant leadership, so that the
	// VMs do not all claim at once. VMs are ranked by name, from 0. Default 120 ms.
	RankDelay time.Duration
	// RetryDelay is the wait after a failed call. It doubles with each consecutive
	// failure up to MaxRetryDelay, because refused calls are charged too. Default 250 ms.
	RetryDelay time.Duration
	// MaxRetryDelay is the longest wait after a failed call. After a store outage, the
	// VM's record must be written again before the answers of the address directory
	// expire. Default 800 ms.
	MaxRetryDelay time.Duration
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{TTL: 2500 * time.Millisecond, RenewInterval: 800 * time.Millisecond, SafetyMargin: 400 * time.Millisecond,
		RankDelay: 120 * time.Millisecond, RetryDelay: 250 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond}
}

// Call is a call to the store that the shell has to make.
type Call uint8

// The calls.
const (
	// None means that no call is due.
	None Call = iota
	// NewLease requests a lease of Config.TTL.
	NewLease
	// WriteRecord writes the VM's record under the lease.
	WriteRecord
	// Renew renews the lease.
	Renew
	// Claim writes the claim to leadership under the lease, provided that the key is
	// still at Core.ClaimRevision.
	Claim
	// Resign removes the claim, under the same condition.
	Resign
)

// Core holds the lease and leadership state of one VM. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	self string

	lease         uint64
	leaseEnd      time.Duration // earliest time at which the lease can end
	recordWritten bool
	nextRenewal   time.Duration
	nextAttempt   time.Duration
	failures      int // consecutive failed calls

	leader        string // VM that holds the claim, "" for none
	leaderLease   uint64
	claimRevision uint64
	vacantSince   time.Duration
	claimKnown    bool // the claim has been read from the store
	rank          int
	unfit         bool
	resigning     bool          // a Resign may have been executed since the last Claim
	era           uint64        // of the store
	holdUntil     time.Duration // no claim before, since a leader of an earlier era may still act
}

// New returns the Core of the VM named self.
func New(cfg Config, self string) *Core { return &Core{cfg: cfg, self: self} }

// Lease returns the ID of the VM's lease, 0 for none.
func (c *Core) Lease() uint64 { return c.lease }

// ClaimRevision returns the revision of the claim that Claim replaces, 0 if there is none.
func (c *Core) ClaimRevision() uint64 { return c.claimRevision }

// eraShift is the number of bits of a revision in a fencing token.
const eraShift = 40

// FencingToken returns the fencing token of the leader's orders: the store's era and its
// revision of the claim, which increases with each claim in an era.
func (c *Core) FencingToken() uint64 { return c.era<<eraShift | c.claimRevision }

// EraChanged handles a store that came back from an older copy of its state: lease and claim
// may be gone. A leader that has not noticed stops at the end of its lease at the latest, so
// this VM claims nothing before.
func (c *Core) EraChanged(now time.Duration, era uint64) {
	c.era, c.holdUntil = era, now+c.cfg.TTL
	c.lease, c.recordWritten = 0, false
	c.leader, c.leaderLease, c.claimRevision, c.claimKnown = "", 0, 0, false
}

// SetEra sets the store's era when it is first known. If the store has ever come back from a
// copy, that may have been a moment ago, so this VM waits as after EraChanged.
func (c *Core) SetEra(now time.Duration, era uint64) {
	c.era = era
	if era > 0 {
		c.holdUntil = now + c.cfg.TTL
	}
}

// Leader returns the name of the leader as last observed, "" for none.
func (c *Core) Leader() string { return c.leader }

// SetRank sets the rank of this VM among all VMs, from 0.
func (c *Core) SetRank(rank int) { c.rank = rank }

// IsLeader reports whether this VM may give orders now.
func (c *Core) IsLeader(now time.Duration) bool {
	return !c.unfit && !c.resigning && c.lease != 0 && c.leader == c.self && c.leaderLease == c.lease && now < c.leaseEnd-c.cfg.SafetyMargin
}

// ClaimObserved handles the claim as read from the store; vm is "" if there is none.
func (c *Core) ClaimObserved(now time.Duration, vm string, lease, revision uint64) {
	if vm == "" && (c.leader != "" || !c.claimKnown) {
		c.vacantSince = now
	}
	c.claimKnown = true
	c.leader, c.leaderLease, c.claimRevision = vm, lease, revision
	c.resigning = c.resigning && vm == c.self
}

// Next returns the call to make now. The outcome of a call must be passed to one of the
// methods below before Next is called again.
func (c *Core) Next(now time.Duration) Call {
	switch {
	case now < c.nextAttempt:
		return None
	case c.lease == 0 || now >= c.leaseEnd:
		c.lease, c.recordWritten = 0, false
		return NewLease
	case now >= c.nextRenewal:
		return Renew
	case !c.recordWritten:
		return WriteRecord
	case c.unfit && c.leader == c.self:
		c.resigning = true
		return Resign
	case c.mayClaim(now):
		return Claim
	}
	return None
}

// mayClaim reports whether this VM may claim leadership now: there is no leader and the
// wait for the VM's rank has passed, or the claim is that of an earlier incarnation of this
// VM. Two incarnations of a VM never run at the same time.
func (c *Core) mayClaim(now time.Duration) bool {
	if c.unfit || !c.claimKnown || now < c.holdUntil || now >= c.leaseEnd-c.cfg.SafetyMargin {
		return false
	}
	if c.leader == c.self {
		return c.leaderLease != c.lease || c.resigning
	}
	return c.leader == "" && now >= c.vacantSince+time.Duration(c.rank)*c.cfg.RankDelay
}

// LeaseGranted handles a granted lease. Its term is counted from the time of the request,
// the earliest time at which it can have started.
func (c *Core) LeaseGranted(requestedAt time.Duration, lease uint64, ttl time.Duration) {
	c.lease, c.leaseEnd, c.recordWritten, c.failures = lease, requestedAt+ttl, false, 0
	c.nextRenewal = requestedAt + c.cfg.RenewInterval
}

// LeaseRenewed handles a renewed lease; its term is counted from the time of the request.
func (c *Core) LeaseRenewed(requestedAt time.Duration, ttl time.Duration) {
	c.leaseEnd, c.failures = requestedAt+ttl, 0
	c.nextRenewal = requestedAt + c.cfg.RenewInterval
}

// RecordWritten handles a successful WriteRecord.
func (c *Core) RecordWritten() { c.recordWritten, c.failures = true, 0 }

// Claimed handles a successful Claim, written at revision.
func (c *Core) Claimed(revision uint64) {
	c.leader, c.leaderLease, c.claimRevision, c.resigning = c.self, c.lease, revision, false
}

// SetFit records whether this VM reaches the servers that a leader orders. Otherwise it
// gives no orders from now on, and leaves the leadership to others.
func (c *Core) SetFit(fit bool) { c.unfit = !fit }

// Resigned handles a successful Resign.
func (c *Core) Resigned(now time.Duration) {
	c.leader, c.leaderLease, c.claimRevision, c.vacantSince, c.resigning = "", 0, 0, now, false
}

// maxDoublings prevents an overflow of the doubled delay.
const maxDoublings = 8

// CallFailed handles a failed call. leaseGone is set if the store answered that the lease
// no longer exists.
func (c *Core) CallFailed(now time.Duration, leaseGone bool) {
	c.nextAttempt = now + min(c.cfg.RetryDelay<<min(c.failures, maxDoublings), c.cfg.MaxRetryDelay)
	c.failures++
	if leaseGone {
		c.lease, c.recordWritten = 0, false
	}
}
