// Package loads tells each VM how much work all VMs have on each backend server,
// and which servers one of them has found dead.
//
// Engines report their load late, and asking them is priced, so the VMs tell each
// other. In each failure domain the VM with the least name is the head: members
// send it their own work, and it sends the domain's sum to its members and to the
// other heads. A member so sends and receives a few messages an interval at any
// size of the fleet; a head receives one from each member of its domain. A lost or
// late message only makes the estimate older. Where nothing is heard, the others of
// one's domain are taken to work as much as this VM does.
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

// Load is work in progress on a backend server.
type Load struct {
	Streams     float64 `cbor:"1,keyasint"`
	TokenLayers float64 `cbor:"2,keyasint"`
}

// Member is a VM that takes part.
type Member struct {
	VM     string
	Domain string
	// Addr receives messages.
	Addr string
}

// Message is a VM's own work, or the sum of a failure domain.
type Message struct {
	From   string       `cbor:"1,keyasint"`
	Domain string       `cbor:"2,keyasint"`
	Sum    bool         `cbor:"3,keyasint"`
	Seq    uint64       `cbor:"4,keyasint"`
	Loads  map[Key]Load `cbor:"5,keyasint"`
	// Lost holds servers that were found dead, with the age of the finding.
	Lost map[Key]time.Duration `cbor:"6,keyasint,omitempty"`
}

// Config holds the settings of a Core.
type Config struct {
	// Least is the shortest interval of messages. Default 200 ms.
	Least time.Duration
	// PerVM is added to the interval for each VM, so that a head's work does not
	// grow faster than the fleet. Default 4 ms.
	PerVM time.Duration
	// Stale is the age from which a message no longer counts. Default 3 s: a head
	// that died is replaced when its record in the store has lapsed.
	Stale time.Duration
	// Passed is how long a finding of a dead server is passed on. Default 1 s.
	Passed time.Duration
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{Least: 200 * time.Millisecond, PerVM: 4 * time.Millisecond, Stale: 3 * time.Second, Passed: time.Second}
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
	sums    map[string]heard // by domain
	told    map[Key]Load     // own work that the domain's sum holds at present
	lost    map[Key]time.Duration
}

// New returns the Core of the VM self; start makes the numbers of its messages
// rise over restarts.
func New(cfg Config, self Member, start uint64) *Core {
	return &Core{cfg: cfg, self: self, seq: start, owns: map[string]heard{}, sums: map[string]heard{}, lost: map[Key]time.Duration{}}
}

// SetMembers replaces the list of VMs.
func (c *Core) SetMembers(members []Member) {
	c.members = append([]Member(nil), members...)
	sort.Slice(c.members, func(a, b int) bool { return c.members[a].VM < c.members[b].VM })
}

// Interval is the time between two calls of Tick.
func (c *Core) Interval() time.Duration {
	return c.cfg.Least + time.Duration(len(c.members))*c.cfg.PerVM
}

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
	if head.VM != c.self.VM {
		m := Message{From: c.self.VM, Domain: c.self.Domain, Seq: c.seq, Loads: own, Lost: c.findings(now)}
		c.told = own
		return []Send{{Addr: head.Addr, Message: m}}
	}
	sum := c.sum(now, own)
	c.told = own
	c.sums[c.self.Domain] = heard{seq: c.seq, at: now, loads: sum}
	return c.spread(Message{From: c.self.VM, Domain: c.self.Domain, Sum: true, Seq: c.seq, Loads: sum, Lost: c.findings(now)})
}

// Found notes that a server was found dead just now, and reports whether that is
// news to pass on.
func (c *Core) Found(now time.Duration, k Key) bool {
	at, known := c.lost[k]
	c.lost[k] = now
	return !known || now-at > c.cfg.Passed
}

// findings are the servers found dead lately, with their ages.
func (c *Core) findings(now time.Duration) map[Key]time.Duration {
	out := map[Key]time.Duration{}
	for k, at := range c.lost {
		if now-at > c.cfg.Passed {
			delete(c.lost, k)
			continue
		}
		out[k] = now - at
	}
	return out
}

func (c *Core) sum(now time.Duration, own map[Key]Load) map[Key]Load {
	sum := make(map[Key]Load, len(own))
	add(sum, own)
	for vm, h := range c.owns {
		if now-h.at > c.cfg.Stale {
			delete(c.owns, vm)
			continue
		}
		add(sum, h.loads)
	}
	return sum
}

func add(sum, more map[Key]Load) {
	for k, l := range more {
		s := sum[k]
		s.Streams += l.Streams
		s.TokenLayers += l.TokenLayers
		sum[k] = s
	}
}

// spread sends a domain's sum to the domain's members and to the other heads.
// The other domains' sums go on to the members, who hear of them only here.
func (c *Core) spread(own Message) []Send {
	messages := []Message{own}
	for domain, h := range c.sums {
		if domain != c.self.Domain {
			messages = append(messages, Message{From: domain, Domain: domain, Sum: true, Seq: h.seq, Loads: h.loads})
		}
	}
	var out []Send
	for i := range c.members {
		m := &c.members[i]
		switch {
		case m.VM == c.self.VM:
		case m.Domain == c.self.Domain:
			for _, msg := range messages {
				out = append(out, Send{Addr: m.Addr, Message: msg})
			}
		case c.head(m.Domain) == m:
			out = append(out, Send{Addr: m.Addr, Message: own})
		}
	}
	return out
}

// Take takes in a message and returns the servers that it newly calls dead. Loads
// that are older than what is known change nothing.
func (c *Core) Take(now time.Duration, m Message) []Key {
	var news []Key
	for k, age := range m.Lost {
		at, known := c.lost[k]
		if age >= 0 && age <= c.cfg.Passed && (!known || now-at > c.cfg.Passed) {
			c.lost[k] = now - age
			news = append(news, k)
		}
	}
	c.takeLoads(now, m)
	return news
}

func (c *Core) takeLoads(now time.Duration, m Message) {
	at, key := c.owns, m.From
	if m.Sum {
		at, key = c.sums, m.Domain
	}
	if old, ok := at[key]; ok && old.seq >= m.Seq && now-old.at <= c.cfg.Stale {
		return
	}
	at[key] = heard{seq: m.Seq, at: now, loads: m.Loads}
}

// Others estimates the work of all other VMs on a server, with own this VM's.
func (c *Core) Others(now time.Duration, k Key, own Load) Load {
	var out Load
	for domain, h := range c.sums {
		if now-h.at > c.cfg.Stale {
			continue
		}
		l := h.loads[k]
		if domain == c.self.Domain {
			l.Streams -= c.told[k].Streams
			l.TokenLayers -= c.told[k].TokenLayers
		}
		out.Streams += max(0, l.Streams)
		out.TokenLayers += max(0, l.TokenLayers)
	}
	if h, ok := c.sums[c.self.Domain]; !ok || now-h.at > c.cfg.Stale {
		n := float64(c.neighbours() - 1)
		out.Streams += n * own.Streams
		out.TokenLayers += n * own.TokenLayers
	}
	return out
}
