// Package loads tells each VM how much work all VMs have on each backend server,
// and which servers one of them has found dead.
//
// Engines report their load late, and asking them is priced, so the VMs tell each
// other. In each failure domain the VM with the least name is the head: members
// send it their own work, and it sends the domain's sum to the other heads and the
// sum of all domains to its members. A member so sends and receives a few messages an interval at any
// size of the fleet; a head receives one from each member of its domain. A lost or
// late message only makes the estimate older. Where nothing is heard, the others of
// one's domain are taken to work as much as this VM does, and between two messages
// to change their work as it does.
//
// Core is a plain state machine; messages are unreliable and may be lost, doubled
// or out of order.
package loads

import (
	"sort"
	"time"
)

// Key is a short name of a backend server: a hash of its id. Two servers that
// share one are only estimated too high.
type Key uint32

// Member is a VM that takes part.
type Member struct {
	VM     string
	Domain string
	// Addr receives messages.
	Addr string
}

// Config holds the settings of a Core.
type Config struct {
	// Least is the shortest interval of messages. Default 200 ms.
	MinInterval time.Duration
	// PerVM is added to the interval for each VM, so that a head's work does not
	// grow faster than the fleet. Default 4 ms.
	IntervalPerVM time.Duration
	// Stale is the age from which a message no longer counts. Default 3 s: a head
	// that died is replaced when its record in the store has lapsed.
	MaxAge time.Duration
	// Passed is how long a finding of a dead server is passed on. Default 1 s.
	FindingTTL time.Duration
	// Drift is how far the other VMs of the failure domain are taken to have done
	// what this one did since the sum was made, as a part of its change. They see the
	// same loads and choose alike. Default 1.
	PeerGain float64
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{MinInterval: 100 * time.Millisecond, IntervalPerVM: 2 * time.Millisecond, MaxAge: 3 * time.Second, FindingTTL: time.Second, PeerGain: 1}
}

type heard struct {
	seq   uint64
	at    time.Duration
	loads map[Key]Load
}

// Core is the state of one VM.
type Core struct {
	cfg     Config
	self    Member
	members []Member
	seq     uint64
	owns    map[string]heard // by VM: members of this domain
	sums    map[string]heard // by domain; the head's
	total   heard            // of all VMs
	totalBy string           // the head that made it
	told    map[Key]Load     // own work, as told last
	inTotal map[Key]Load     // own work, as the total holds it
	lost    findings
	failing findings
	slow    map[Key]slowAt
}

// New returns the Core of the VM self; start makes the numbers of its messages
// rise over restarts.
func New(cfg Config, self Member, start uint64) *Core {
	return &Core{cfg: cfg, self: self, seq: start, owns: map[string]heard{}, sums: map[string]heard{}, lost: findings{}, failing: findings{}, slow: map[Key]slowAt{}}
}

// SetMembers replaces the list of VMs.
func (c *Core) SetMembers(members []Member) {
	c.members = append([]Member(nil), members...)
	sort.Slice(c.members, func(a, b int) bool { return c.members[a].VM < c.members[b].VM })
}

// Interval is the time between two calls of Tick.
func (c *Core) Interval() time.Duration {
	return c.cfg.MinInterval + time.Duration(len(c.members))*c.cfg.IntervalPerVM
}

// Alike is the number of VMs that this VM's change of its own work stands for.
func (c *Core) ChangeMultiplier() float64 { return 1 + c.cfg.PeerGain*float64(c.neighbours()-1) }

// head returns the member that sums up a failure domain, or nil.
func (c *Core) head(domain string) *Member {
	for i := range c.members {
		if c.members[i].Domain == domain {
			return &c.members[i]
		}
	}
	return nil
}

// neighbours is the number of VMs in this failure domain.
func (c *Core) neighbours() int {
	n := 0
	for i := range c.members {
		if c.members[i].Domain == c.self.Domain {
			n++
		}
	}
	return max(1, n)
}

// Send is a message to an address.
type Send struct {
	Addr    string
	Message Message
}

// Tick returns the messages to send now, with own the work of this VM.
func (c *Core) Tick(now time.Duration, own map[Key]Load) []Send {
	head := c.head(c.self.Domain)
	if head == nil {
		return nil
	}
	c.seq++
	c.told = own
	if head.VM != c.self.VM {
		m := Message{From: c.self.VM, Domain: c.self.Domain, Scope: ScopeVM, Seq: c.seq, Loads: pack(own), Lost: c.lost.young(now, c.cfg.FindingTTL), Failing: c.failing.young(now, c.cfg.FindingTTL), Slow: c.slowNow(now)}
		return []Send{{Addr: head.Addr, Message: m}}
	}
	sum := c.sum(now, own)
	c.sums[c.self.Domain] = heard{seq: c.seq, at: now, loads: sum}
	c.setTotal(c.self.VM, heard{seq: c.seq, at: now, loads: c.sumOfAll(now)})
	return c.spread(now, sum)
}

func (c *Core) setTotal(by string, h heard) { c.totalBy, c.total, c.inTotal = by, h, c.told }

// sumOfAll adds the domains' sums.
func (c *Core) sumOfAll(now time.Duration) map[Key]Load {
	out := map[Key]Load{}
	for domain, h := range c.sums {
		if now-h.at > c.cfg.MaxAge {
			delete(c.sums, domain)
			continue
		}
		add(out, h.loads)
	}
	return out
}

// Found notes that a server was found dead just now, and reports whether that is
// news to pass on.
func (c *Core) RecordLost(now time.Duration, k Key) bool {
	return c.lost.found(now, c.cfg.FindingTTL, k)
}

// FoundFailing notes that a request failed at a server just now.
func (c *Core) RecordFailing(now time.Duration, k Key) { c.failing.found(now, c.cfg.FindingTTL, k) }

// FoundSlow notes a server's word of its pace, to pass it on.
func (c *Core) RecordSlowdown(now time.Duration, k Key, slowX float64) {
	c.slow[k] = slowAt{percent: uint16(min(100*slowX, 1<<16-1)), at: now}
}

func (c *Core) slowNow(now time.Duration) map[Key]Slow {
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

func (c *Core) sum(now time.Duration, own map[Key]Load) map[Key]Load {
	sum := make(map[Key]Load, len(own))
	add(sum, own)
	for vm, h := range c.owns {
		if now-h.at > c.cfg.MaxAge {
			delete(c.owns, vm)
			continue
		}
		add(sum, h.loads)
	}
	return sum
}

func add(sum, more map[Key]Load) {
	for k, l := range more {
		sum[k] = sum[k].plus(l, 1)
	}
}

// spread sends the domain's sum to the other heads, and that of all to the members.
func (c *Core) spread(now time.Duration, sum map[Key]Load) []Send {
	message := func(of Scope, loads map[Key]Load) Message {
		return Message{From: c.self.VM, Domain: c.self.Domain, Scope: of, Seq: c.seq, Loads: pack(loads), Lost: c.lost.young(now, c.cfg.FindingTTL), Failing: c.failing.young(now, c.cfg.FindingTTL), Slow: c.slowNow(now)}
	}
	toHeads, toMembers := message(ScopeDomain, sum), message(ScopeAll, c.total.loads)
	var out []Send
	for i := range c.members {
		m := &c.members[i]
		switch {
		case m.VM == c.self.VM:
		case m.Domain == c.self.Domain:
			out = append(out, Send{Addr: m.Addr, Message: toMembers})
		case c.head(m.Domain) == m:
			out = append(out, Send{Addr: m.Addr, Message: toHeads})
		}
	}
	return out
}

// Take takes in a message and returns what it newly says of servers. Loads that are
// older than what is known change nothing.
func (c *Core) Receive(now time.Duration, m Message) Findings {
	var news Findings
	news.Lost = c.lost.take(now, c.cfg.FindingTTL, m.Lost)
	news.Failing = c.failing.take(now, c.cfg.FindingTTL, m.Failing)
	for k, s := range m.Slow {
		old, known := c.slow[k]
		if s.Age < 0 || s.Age > c.cfg.FindingTTL || (known && old.at >= now-s.Age) || (known && old.percent == s.Percent) {
			continue
		}
		c.slow[k] = slowAt{percent: s.Percent, at: now - s.Age}
		if news.Slow == nil {
			news.Slow = map[Key]float64{}
		}
		news.Slow[k] = float64(s.Percent) / 100
	}
	c.takeLoads(now, m)
	return news
}

func (c *Core) takeLoads(now time.Duration, m Message) {
	h := heard{seq: m.Seq, at: now, loads: unpack(m.Loads)}
	switch m.Scope {
	case ScopeVM:
		if !c.older(c.owns[m.From], h) {
			c.owns[m.From] = h
		}
	case ScopeDomain:
		if !c.older(c.sums[m.Domain], h) {
			c.sums[m.Domain] = h
		}
	case ScopeAll:
		if c.totalBy != m.From || !c.older(c.total, h) {
			c.setTotal(m.From, h)
		}
	}
}

// older reports whether h changes nothing beside what is known.
func (c *Core) older(known, h heard) bool {
	return known.loads != nil && known.seq >= h.seq && h.at-known.at <= c.cfg.MaxAge
}

// Known reports whether the work of all VMs was heard of lately.
func (c *Core) HasFreshTotal(now time.Duration) bool {
	return c.total.loads != nil && now-c.total.at <= c.cfg.MaxAge
}

// Others estimates the work of all other VMs on a server, with own this VM's.
func (c *Core) EstimateOthers(now time.Duration, k Key, own Load) Load {
	others := float64(c.neighbours() - 1)
	if !c.HasFreshTotal(now) {
		return Load{}.plus(own, others)
	}
	told := c.inTotal[k]
	drift := c.cfg.PeerGain * others
	return c.total.loads[k].plus(told, -1).plus(own, drift).plus(told, -drift).atLeastZero()
}
