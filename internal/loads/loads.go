package loads

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Key is a hash that identifies an incarnation of a backend server. A collision only makes
// the estimates of both servers too high.
type Key uint32

// Member is a VM that takes part in the exchange.
type Member struct {
	VM     string
	Domain string
	// Addr is the address that receives messages.
	Addr string
}

// Config holds the settings of a Core.
type Config struct {
	// MinInterval is the fixed part of the interval between messages. Default 100 ms.
	MinInterval time.Duration
	// IntervalPerVM is added to the interval for each VM of the fleet, so that an
	// aggregator's work does not grow faster than the fleet. Default 2 ms.
	IntervalPerVM time.Duration
	// MaxAge is the age above which received loads are ignored. It has to cover the time
	// until a dead aggregator's record in the store expires and another VM replaces it.
	// Default 3 s.
	MaxAge time.Duration
	// FindingTTL is how long a finding is passed on. Default 1 s.
	FindingTTL time.Duration
	// LeavingShareFor is how long regular messages carry the finding that a server leaves,
	// LeavingKeepFor how long it counts. Defaults 20 and 30 s.
	LeavingShareFor, LeavingKeepFor time.Duration
	// FindingSpacing is the least time between two messages that carry findings only. A plain
	// request that may have crashed a server waits 40 ms for the findings of the others, which
	// pass two VMs. Default 15 ms.
	FindingSpacing time.Duration
	// FindingBytesPerSecond bounds the bytes of these messages; beyond it findings wait for the
	// next regular message. Default 100,000.
	FindingBytesPerSecond float64
	// PeerGain is the change assumed for each other VM of the failure domain since the
	// last total, as a fraction of this VM's own change. The VMs see the same loads and
	// make similar choices. Default 1.
	PeerGain float64
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MinInterval: 100 * time.Millisecond, IntervalPerVM: 2 * time.Millisecond, MaxAge: 3 * time.Second, FindingTTL: time.Second, LeavingShareFor: 20 * time.Second, LeavingKeepFor: 30 * time.Second, FindingSpacing: 15 * time.Millisecond, FindingBytesPerSecond: 100_000, PeerGain: 1}
}

// receivedLoads holds the loads of the last message from one sender, or a sum that this VM
// computed.
type receivedLoads struct {
	seq   uint64
	at    time.Duration
	loads map[Key]Load
}

// Core holds the load exchange state of one VM.
type Core struct {
	cfg        Config
	self       Member
	members    []Member
	seq        uint64
	vmLoads    map[string]receivedLoads // by VM: members of this domain
	domainSums map[string]receivedLoads // by domain; only an aggregator has them
	total      receivedLoads            // of all VMs
	totalFrom  string                   // aggregator that computed it
	lastSent   map[Key]Load             // own work at the last Tick
	ownInTotal map[Key]Load             // own work contained in total
	lost       findingTimes
	failing    findingTimes
	leaving    standingFindings
	slow       map[Key]slowFinding
	findings   findingBudget
}

// New returns the Core of the VM self. firstSeq must increase with each restart, so that a
// new incarnation's messages are not ignored as older.
func New(cfg Config, self Member, firstSeq uint64) *Core {
	return &Core{cfg: cfg, self: self, seq: firstSeq, vmLoads: map[string]receivedLoads{}, domainSums: map[string]receivedLoads{}, lost: findingTimes{}, failing: findingTimes{}, leaving: newStandingFindings(cfg), slow: map[Key]slowFinding{}, findings: newFindingBudget(cfg)}
}

// SetMembers replaces the list of VMs.
func (c *Core) SetMembers(members []Member) {
	c.members = append([]Member(nil), members...)
	sort.Slice(c.members, func(a, b int) bool { return c.members[a].VM < c.members[b].VM })
}

// Interval returns the time between two calls of Tick.
func (c *Core) Interval() time.Duration {
	return c.cfg.MinInterval + time.Duration(len(c.members))*c.cfg.IntervalPerVM
}

// ChangeMultiplier returns the factor from a change of this VM's own work to the estimated
// change of the whole failure domain.
func (c *Core) ChangeMultiplier() float64 { return 1 + c.cfg.PeerGain*float64(c.domainSize()-1) }

// aggregator returns the member that aggregates a failure domain, or nil.
func (c *Core) aggregator(domain string) *Member {
	for i := range c.members {
		if c.members[i].Domain == domain {
			return &c.members[i]
		}
	}
	return nil
}

// domainSize returns the number of VMs in this failure domain, at least 1.
func (c *Core) domainSize() int {
	n := 0
	for i := range c.members {
		if c.members[i].Domain == c.self.Domain {
			n++
		}
	}
	return max(1, n)
}

// Send is a message with its destination address.
type Send struct {
	Addr    string
	Message Message
}

// Tick returns the messages to send now, to be called once per Interval. own is this VM's
// work; the Core keeps the map.
func (c *Core) Tick(now time.Duration, own map[Key]Load) []Send {
	aggregator := c.aggregator(c.self.Domain)
	if aggregator == nil {
		return nil
	}
	c.seq++
	c.lastSent = own
	if aggregator.VM != c.self.VM {
		return []Send{{Addr: aggregator.Addr, Message: c.message(now, ScopeVM, own)}}
	}
	sum := c.sumDomain(now, own)
	c.domainSums[c.self.Domain] = receivedLoads{seq: c.seq, at: now, loads: sum}
	c.setTotal(c.self.VM, receivedLoads{seq: c.seq, at: now, loads: c.sumAllDomains(now)})
	return c.aggregatorMessages(now, sum)
}

func (c *Core) setTotal(from string, total receivedLoads) {
	c.totalFrom, c.total, c.ownInTotal = from, total, c.lastSent
}

// sumAllDomains adds the sums of all domains and drops those older than MaxAge.
func (c *Core) sumAllDomains(now time.Duration) map[Key]Load {
	out := map[Key]Load{}
	for _, domain := range slices.Sorted(maps.Keys(c.domainSums)) { // the order of a sum changes its last digits
		received := c.domainSums[domain]
		if now-received.at > c.cfg.MaxAge {
			delete(c.domainSums, domain)
			continue
		}
		add(out, received.loads)
	}
	return out
}

// RecordLost records that a server was found dead now, and reports whether that is a new
// finding.
func (c *Core) RecordLost(now time.Duration, k Key) bool {
	return c.lost.record(now, c.cfg.FindingTTL, k)
}

// RecordFailing records that a request failed at a server now.
func (c *Core) RecordFailing(now time.Duration, k Key) { c.failing.record(now, c.cfg.FindingTTL, k) }

// RecordLeaving records that a server said that it leaves.
func (c *Core) RecordLeaving(now time.Duration, k Key) { c.leaving.record(now, 0, k) }

// LeavingAge returns the age of the finding that a server leaves, false if there is none that
// counts.
func (c *Core) LeavingAge(now time.Duration, k Key) (time.Duration, bool) {
	at, known := c.leaving.at[k]
	return now - at, known && now-at <= c.cfg.LeavingKeepFor
}

// RecordSlowdown records the slowdown factor that a server reported, to pass it on.
func (c *Core) RecordSlowdown(now time.Duration, k Key, factor float64) {
	c.slow[k] = slowFinding{percent: uint16(min(100*factor, 1<<16-1)), at: now}
}

func (c *Core) freshSlow(now time.Duration) map[Key]Slow {
	out := map[Key]Slow{}
	for k, s := range c.slow {
		if now-s.at > c.cfg.FindingTTL {
			delete(c.slow, k)
			continue
		}
		out[k] = Slow{Percent: s.percent, Age: now - s.at}
	}
	return out
}

func (c *Core) sumDomain(now time.Duration, own map[Key]Load) map[Key]Load {
	sum := make(map[Key]Load, len(own))
	add(sum, own)
	for _, vm := range slices.Sorted(maps.Keys(c.vmLoads)) {
		received := c.vmLoads[vm]
		if now-received.at > c.cfg.MaxAge {
			delete(c.vmLoads, vm)
			continue
		}
		add(sum, received.loads)
	}
	return sum
}

func add(sum, more map[Key]Load) {
	for k, l := range more {
		sum[k] = sum[k].addScaled(l, 1)
	}
}

// aggregatorMessages returns messages with the domain's sum for the other aggregators and
// the total for the members of this domain.
func (c *Core) aggregatorMessages(now time.Duration, sum map[Key]Load) []Send {
	return c.fromAggregator(c.message(now, ScopeDomain, sum), c.message(now, ScopeAll, c.total.loads))
}

// TickFindings returns the messages that carry findings only, to the VMs that Tick would send
// to.
func (c *Core) TickFindings(now time.Duration) []Send {
	aggregator := c.aggregator(c.self.Domain)
	if aggregator == nil {
		return nil
	}
	m := c.message(now, ScopeFindings, nil)
	m.Leaving = c.leaving.ages(now, c.cfg.FindingTTL) // the others are in the regular messages
	if aggregator.VM != c.self.VM {
		return []Send{{Addr: aggregator.Addr, Message: m}}
	}
	return c.fromAggregator(m, m)
}

// AllFindings returns a message with all findings, for a VM that asks for them.
func (c *Core) AllFindings(now time.Duration) Message {
	c.seq++
	return c.message(now, ScopeFindings, nil)
}

// message returns a message with the given loads and the findings.
func (c *Core) message(now time.Duration, scope Scope, loads map[Key]Load) Message {
	return Message{From: c.self.VM, Domain: c.self.Domain, Scope: scope, Seq: c.seq, Loads: pack(loads), Lost: c.lost.fresh(now, c.cfg.FindingTTL),
		Failing: c.failing.fresh(now, c.cfg.FindingTTL), Leaving: c.leaving.ages(now, c.cfg.LeavingShareFor), Slow: c.freshSlow(now)}
}

// fromAggregator addresses a message to the other aggregators and one to the members of this
// domain.
func (c *Core) fromAggregator(toAggregators, toMembers Message) []Send {
	var out []Send
	for i := range c.members {
		m := &c.members[i]
		switch {
		case m.VM == c.self.VM:
		case m.Domain == c.self.Domain:
			out = append(out, Send{Addr: m.Addr, Message: toMembers})
		case c.aggregator(m.Domain) == m:
			out = append(out, Send{Addr: m.Addr, Message: toAggregators})
		}
	}
	return out
}

// LostMessage returns a message for all other VMs that says that servers were found lost now.
func (c *Core) LostMessage(keys []Key) Message {
	c.seq++
	m := Message{From: c.self.VM, Domain: c.self.Domain, Scope: ScopeFindings, Seq: c.seq, Lost: make(map[Key]time.Duration, len(keys))}
	for _, k := range keys {
		m.Lost[k] = 0
	}
	return m
}

// Others returns the other VMs.
func (c *Core) Others() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		if m.VM != c.self.VM {
			out = append(out, m)
		}
	}
	return out
}

// Receive applies a message and returns its new findings. Loads older than the known ones
// are ignored.
func (c *Core) Receive(now time.Duration, m Message) Findings {
	var findings Findings
	findings.Lost = c.lost.receive(now, c.cfg.FindingTTL, m.Lost)
	findings.Failing = c.failing.receive(now, c.cfg.FindingTTL, m.Failing)
	findings.Leaving = c.leaving.receive(now, m.Leaving)
	for k, s := range m.Slow {
		old, known := c.slow[k]
		if s.Age < 0 || s.Age > c.cfg.FindingTTL || (known && old.at >= now-s.Age) || (known && old.percent == s.Percent) {
			continue
		}
		c.slow[k] = slowFinding{percent: s.Percent, at: now - s.Age}
		if findings.Slow == nil {
			findings.Slow = map[Key]float64{}
		}
		findings.Slow[k] = float64(s.Percent) / 100
	}
	c.receiveLoads(now, m)
	return findings
}

func (c *Core) receiveLoads(now time.Duration, m Message) {
	received := receivedLoads{seq: m.Seq, at: now, loads: unpack(m.Loads)}
	switch m.Scope {
	case ScopeVM:
		if !c.isStale(c.vmLoads[m.From], received) {
			c.vmLoads[m.From] = received
		}
	case ScopeDomain:
		if !c.isStale(c.domainSums[m.Domain], received) {
			c.domainSums[m.Domain] = received
		}
	case ScopeAll:
		if c.totalFrom != m.From || !c.isStale(c.total, received) {
			c.setTotal(m.From, received)
		}
	}
}

// isStale reports whether received is not newer than known. After MaxAge any message is
// accepted.
func (c *Core) isStale(known, received receivedLoads) bool {
	return known.loads != nil && known.seq >= received.seq && received.at-known.at <= c.cfg.MaxAge
}

// HasFreshTotal reports whether the total of all VMs is at most MaxAge old.
func (c *Core) HasFreshTotal(now time.Duration) bool {
	return c.total.loads != nil && now-c.total.at <= c.cfg.MaxAge
}

// LastTotal returns the work of all VMs on the server k by the last total, which is the same for
// all VMs of the failure domain. It returns false without a recent total.
func (c *Core) LastTotal(now time.Duration, k Key) (Load, bool) {
	if !c.HasFreshTotal(now) {
		return Load{}, false
	}
	return c.total.loads[k], true
}

// EstimateOthers estimates the work of all other VMs on the server k. own is this VM's work
// on it.
func (c *Core) EstimateOthers(now time.Duration, k Key, own Load) Load {
	others := float64(c.domainSize() - 1)
	if !c.HasFreshTotal(now) {
		return Load{}.addScaled(own, others)
	}
	ownInTotal := c.ownInTotal[k]
	gain := c.cfg.PeerGain * others
	return c.total.loads[k].addScaled(ownInTotal, -1).addScaled(own, gain).addScaled(ownInTotal, -gain).clampNegative()
}

// minShareWeight is the weight of a VM without streams at a server in FirstStageShare, in
// streams, so that it can begin to use the server.
const minShareWeight = 0.5

// FirstStageShare returns this VM's share, above 0 and at most 1, of the streams of all VMs
// whose first stage is the server k. The shares of VMs that know the same total add up to 1.
func (c *Core) FirstStageShare(now time.Duration, k Key) float64 {
	vms := float64(max(1, len(c.members)))
	if !c.HasFreshTotal(now) {
		return 1 / vms
	}
	own, all := c.ownInTotal[k].FirstStage, c.total.loads[k].FirstStage
	return (own + minShareWeight) / (max(own, all) + minShareWeight*vms)
}
