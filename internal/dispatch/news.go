package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/fleet"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// LoadKey is the key of a server's life in messages of loads.
func LoadKey(in fleet.Instance) loads.Key {
	return loads.Key(xxhash.Sum64String(string(in.ID) + "/" + strconv.FormatInt(in.Born, 36)))
}

// Lost records that a server was found dead, and reports whether other VMs should
// hear of it.
func (c *Core) Lost(now time.Duration, in fleet.Instance) bool {
	c.Fleet.Failed(now, in, c.cfg.LostFor)
	return c.Loads.Found(now, LoadKey(in))
}

// News are backend servers that another VM found dead, failing or slow.
type News struct{ Lost, Failing, Slow []*fleet.Server }

// Heard takes in a message of another VM and returns what it newly says.
func (c *Core) Heard(now time.Duration, m loads.Message) News {
	said := c.Loads.Take(now, m)
	var out News
	if len(said.Lost)+len(said.Failing)+len(said.Slow) == 0 {
		return out
	}
	dead, failing := setOf(said.Lost), setOf(said.Failing)
	for _, id := range c.Fleet.IDs() {
		s := c.Fleet.Get(id)
		key := LoadKey(s.Instance())
		if x, ok := said.Slow[key]; ok && c.Fleet.Paced(now, s.Instance(), x) {
			out.Slow = append(out.Slow, s)
		}
		if failing[key] {
			c.Fleet.Failed(now, s.Instance(), c.cfg.FailingFor)
			out.Failing = append(out.Failing, s)
		}
		if dead[key] {
			c.Fleet.Failed(now, s.Instance(), c.cfg.LostFor)
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
func (c *Core) Failing(now time.Duration, in fleet.Instance) {
	c.Fleet.Failed(now, in, c.cfg.FailingFor)
	c.Loads.FoundFailing(now, LoadKey(in))
}

// Paced takes in a server's own word of its pace, and reports whether that is news;
// the other VMs are told.
func (c *Core) Paced(now time.Duration, in fleet.Instance, slowX float64) bool {
	if !c.Fleet.Paced(now, in, slowX) {
		return false
	}
	c.Loads.FoundSlow(now, LoadKey(in), slowX)
	return true
}
