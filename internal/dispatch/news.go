package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// LoadKey is the key of a server's life in messages of loads.
func LoadKey(in backend.Instance) loads.Key {
	return loads.Key(xxhash.Sum64String(string(in.ID) + "/" + strconv.FormatInt(in.StartedMs, 36)))
}

// Lost records that a server was found dead, and reports whether other VMs should
// hear of it.
func (c *Core) RecordLost(now time.Duration, in backend.Instance) bool {
	c.Backends.RecordFailure(now, in, c.cfg.LostSuspicion)
	return c.Loads.RecordLost(now, LoadKey(in))
}

// News are backend servers that another VM found dead, failing or slow.
type Findings struct{ Lost, Failing, Slow []*backend.Server }

// Heard takes in a message of another VM and returns what it newly says.
func (c *Core) Receive(now time.Duration, m loads.Message) Findings {
	said := c.Loads.Receive(now, m)
	var out Findings
	if len(said.Lost)+len(said.Failing)+len(said.Slow) == 0 {
		return out
	}
	dead, failing := setOf(said.Lost), setOf(said.Failing)
	for _, id := range c.Backends.IDs() {
		s := c.Backends.Get(id)
		key := LoadKey(s.Instance())
		if x, ok := said.Slow[key]; ok && c.Backends.SetSlowdown(now, s.Instance(), x) {
			out.Slow = append(out.Slow, s)
		}
		if failing[key] {
			c.Backends.RecordFailure(now, s.Instance(), c.cfg.FailingSuspicion)
			out.Failing = append(out.Failing, s)
		}
		if dead[key] {
			c.Backends.RecordFailure(now, s.Instance(), c.cfg.LostSuspicion)
			out.Lost = append(out.Lost, s)
		}
	}
	return out
}

func setOf(keys []loads.Key) map[loads.Key]bool {
	out := make(map[loads.Key]bool, len(keys))
	for _, k := range keys {
		out[k] = true
	}
	return out
}

// Failing records that a request failed at a replica of a plain service, for reasons
// of the replica's or of its link; the other VMs hear of it. Each of many VMs sends a
// replica less than a request a second: alone it would learn too late.
func (c *Core) RecordFailing(now time.Duration, in backend.Instance) {
	c.Backends.RecordFailure(now, in, c.cfg.FailingSuspicion)
	c.Loads.RecordFailing(now, LoadKey(in))
}

// Paced takes in a server's own word of its pace, and reports whether that is news;
// the other VMs are told.
func (c *Core) RecordSlowdown(now time.Duration, in backend.Instance, slowX float64) bool {
	if !c.Backends.SetSlowdown(now, in, slowX) {
		return false
	}
	c.Loads.RecordSlowdown(now, LoadKey(in), slowX)
	return true
}
