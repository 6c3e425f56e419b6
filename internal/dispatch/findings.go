package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/poison"
)

// LoadKey returns the key of a server's incarnation in load messages.
func LoadKey(in backend.Instance) loads.Key {
	return loads.Key(xxhash.Sum64String(string(in.ID) + "/" + strconv.FormatInt(in.StartedMs, 36)))
}

// RecordLost records that a server was found dead. It reports whether that is a new
// finding, of which the other VMs should be notified.
func (c *Core) RecordLost(now time.Duration, in backend.Instance) bool {
	c.Backends.RecordFailure(now, in, c.cfg.LostSuspicion)
	if s := c.Backends.Get(in.ID); s != nil && s.Instance() == in {
		c.beginMove(now, s)
	}
	return c.Loads.RecordLost(now, LoadKey(in))
}

// fullKVShare is the estimated share of a KV cache in use from which a server may have
// refused a request because it is full.
const fullKVShare = 0.7

// RecordUnavailable records that the first server of a path refused a request because of
// another server of the path, s. If s cannot be full by its estimated load, it is dead,
// leaving or releasing layers, which the other VMs need to know: with some hundred VMs,
// each would otherwise find it out by its own refused requests, again and again while the
// store is down and the record of s stays. Its streams may be well, so they stay.
func (c *Core) RecordUnavailable(now time.Duration, s *backend.Server) {
	spec := c.Spec(s.Service)
	if spec == nil || !c.hasFreeKV(now, spec, s) {
		c.Backends.RecordFailure(now, s.Instance(), 0)
		return
	}
	c.Backends.Avoid(now, s.Instance(), c.cfg.FailingSuspicion)
	c.Loads.RecordFailing(now, LoadKey(s.Instance()))
}

// hasFreeKV reports whether the estimated load of s leaves its KV cache free enough that it
// cannot have been full a moment ago.
func (c *Core) hasFreeKV(now time.Duration, spec *engine.Spec, s *backend.Server) bool {
	own := loadOf(s.OwnWork)
	used := own.TokenLayers + c.Loads.EstimateOthers(now, LoadKey(s.Instance()), own).TokenLayers
	return used < fullKVShare*spec.KVCapacity(spec.Accelerators[s.Accelerator], s.Held.Len())
}

// Tick returns the regular messages to send to other VMs now.
func (c *Core) Tick(now time.Duration) []loads.Send {
	c.confirmFailures(now)
	sends := c.Loads.Tick(now, c.OwnLoads(now))
	c.forgetLimits(now)
	return c.withFindings(now, sends, c.Poison.Update(now))
}

// TickFindings returns the messages with what was found since the last messages. They carry no
// loads, and of the evidence against requests only what is new.
func (c *Core) TickFindings(now time.Duration) []loads.Send {
	c.confirmFailures(now)
	return c.withFindings(now, c.Loads.TickFindings(now), c.Poison.UpdateSince(now, c.poisonSent))
}

func (c *Core) withFindings(now time.Duration, sends []loads.Send, update *poison.Update) []loads.Send {
	c.poisonSent = c.Poison.Mark(now)
	limits, cutOff := c.Backpressure.Update(now), c.peerLinks.Share(now, c.cfg.VM, c.Reach)
	for i := range sends {
		sends[i].Message.Poison, sends[i].Message.Limits, sends[i].Message.CutOff = update, limits, cutOff
	}
	return sends
}

// Findings lists the backend servers that another VM found dead, failing, leaving or with a
// changed slowdown factor, and the changes of the blocked parts of prompts.
type Findings struct {
	Lost, Failing, Slow, Leaving []*backend.Server
	Poison                       poison.Result
	LimitsChanged                bool // limits that servers named
	CutsChanged                  bool // which VMs are cut off from backend servers
	UnknownLost                  int  // new findings of lost servers that this VM does not know
}

// Receive applies a message from another VM and returns its new findings.
func (c *Core) Receive(now time.Duration, m loads.Message) Findings {
	received := c.Loads.Receive(now, m)
	findings := Findings{Poison: c.Poison.Receive(now, m.Poison), LimitsChanged: c.Backpressure.Receive(now, m.Limits), CutsChanged: c.peerLinks.Receive(now, c.cfg.VM, m.CutOff)}
	if len(received.Lost)+len(received.Failing)+len(received.Slow)+len(received.Leaving) == 0 {
		return findings
	}
	lost, failing := keySet(received.Lost), keySet(received.Failing)
	for _, id := range c.Backends.IDs() {
		s := c.Backends.Get(id)
		key := LoadKey(s.Instance())
		if factor, ok := received.Slow[key]; ok && c.Backends.SetSlowdown(now, s.Instance(), factor) {
			findings.Slow = append(findings.Slow, s)
		}
		if age, ok := received.Leaving[key]; ok && c.Backends.RecordLeaving(now, age, s.Instance(), backend.Finding) {
			findings.Leaving = append(findings.Leaving, s)
		}
		if failing[key] {
			if c.Spec(s.Service) != nil {
				c.Backends.Avoid(now, s.Instance(), c.cfg.FailingSuspicion)
			} else {
				c.Backends.RecordFailure(now, s.Instance(), c.cfg.FailingSuspicion)
			}
			findings.Failing = append(findings.Failing, s)
		}
		if lost[key] {
			c.Backends.RecordFailure(now, s.Instance(), c.cfg.LostSuspicion)
			c.beginMove(now, s)
			findings.Lost = append(findings.Lost, s)
		}
	}
	findings.UnknownLost = max(0, len(lost)-len(findings.Lost))
	return findings
}

func keySet(keys []loads.Key) map[loads.Key]bool {
	out := make(map[loads.Key]bool, len(keys))
	for _, k := range keys {
		out[k] = true
	}
	return out
}

// RecordFailing records that a request failed because of a plain service's replica or
// the network to it, and passes that on to the other VMs once it is confirmed. With many VMs, each sends a
// replica less than one request per second and would detect the failure too late by itself.
func (c *Core) RecordFailing(now time.Duration, in backend.Instance) {
	c.Backends.RecordFailure(now, in, c.cfg.FailingSuspicion)
	if s := c.Backends.Get(in.ID); s != nil {
		c.unconfirmed.add(unconfirmedFailure{key: LoadKey(in), service: s.Service, at: now})
	}
}

// RecordLeaving records that a server said in a response that it leaves. It reports whether
// that is new, so that the other VMs need to know.
func (c *Core) RecordLeaving(now time.Duration, in backend.Instance) bool {
	c.Loads.RecordLeaving(now, LoadKey(in))
	return c.Backends.RecordLeaving(now, 0, in, backend.Response)
}

// PutServer adds or updates a server's record and reports whether it starts a new incarnation. It
// may be one of which another VM said before that it leaves.
func (c *Core) PutServer(now time.Duration, r backend.Record) (newIncarnation bool) {
	newIncarnation = c.Backends.Put(now, r)
	if !newIncarnation {
		return false
	}
	if age, known := c.Loads.LeavingAge(now, LoadKey(r.Instance())); known {
		c.Backends.RecordLeaving(now, age, r.Instance(), backend.Finding)
	}
	return true
}

// KnownFindings returns a message with all findings of this VM and of others, for a VM that missed
// their messages.
func (c *Core) KnownFindings(now time.Duration) loads.Message {
	m := c.Loads.AllFindings(now)
	m.Poison, m.Limits, m.CutOff = c.Poison.Update(now), c.Backpressure.Update(now), c.peerLinks.Share(now, c.cfg.VM, c.Reach)
	return m
}

// RecordSlowdown records the slowdown factor that a server reports and returns whether
// it changed. Changes are passed on to the other VMs.
func (c *Core) RecordSlowdown(now time.Duration, in backend.Instance, factor float64) bool {
	if !c.Backends.SetSlowdown(now, in, factor) {
		return false
	}
	c.Loads.RecordSlowdown(now, LoadKey(in), factor)
	return true
}
