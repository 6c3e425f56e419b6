package lease

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// settle works out when the present version is settled, and when the holder of
// each slot that moved in it may act.
func (c *Core) settle(now time.Duration) {
	c.settledAt = c.majorityLapse(func(lapse []time.Duration) time.Duration {
		return slices.Max(lapse)
	})
	if len(c.roster.Prev) == 0 {
		c.settledAt = now
	}
	for i, s := range c.roster.Slots {
		c.openAt[i] = c.slotOpensAt(s)
	}
}

func (c *Core) slotOpensAt(s Slot) time.Duration {
	if s.Epoch < c.roster.Version || s.PrevHolder == noIndex {
		return 0
	}
	if p := c.peers[c.roster.Prev[s.PrevHolder].Instance]; p != nil && p.acked {
		return p.ackedAt
	}
	return c.majorityLapse(func(lapse []time.Duration) time.Duration {
		return lapse[s.PrevHolder]
	})
}

// majorityLapse is the moment at which a majority of the former members know
// the present version and the promises that of picks have lapsed.
func (c *Core) majorityLapse(of func(lapse []time.Duration) time.Duration) time.Duration {
	var ends []time.Duration
	for _, m := range c.roster.Prev {
		if end := c.formerLapse(m.Instance, of); end != never {
			ends = append(ends, end)
		}
	}
	need := majority(len(c.roster.Prev))
	if len(ends) < need {
		return never
	}
	slices.Sort(ends)
	return ends[need-1]
}

func (c *Core) formerLapse(in ident.Instance, of func([]time.Duration) time.Duration) time.Duration {
	end := never
	if p := c.peers[in]; p != nil && p.acked {
		end = of(p.lapse)
	}
	if at, ok := c.ended[in]; ok {
		end = min(end, at+c.cfg.giverTerm())
	}
	return end
}

// learnEnded notes instances that ended for good.
func (c *Core) learnEnded(now time.Duration, instances []ident.Instance) {
	for _, in := range instances {
		if _, known := c.ended[in]; !known && in != c.cfg.Self {
			c.ended[in] = now
		}
	}
	if c.roster != nil {
		c.settle(now)
	}
}

// learnCandidates takes the membership's view in. A later incarnation that is
// alive shows that the earlier one has ended.
func (c *Core) learnCandidates(now time.Duration, alive []Member) {
	c.candidates = slices.Clone(alive)
	slices.SortFunc(c.candidates, compareMembers)
	if c.roster != nil {
		c.learnEnded(now, c.superseded())
	}
}

// superseded names the instances of the roster of whose VM a later incarnation
// is alive.
func (c *Core) superseded() []ident.Instance {
	latest := map[ident.VM]ident.Incarnation{}
	for _, m := range c.candidates {
		latest[m.Instance.VM] = max(latest[m.Instance.VM], m.Instance.Incarnation)
	}
	var ended []ident.Instance
	for _, in := range c.knownInstances() {
		if latest[in.VM] > in.Incarnation {
			ended = append(ended, in)
		}
	}
	return ended
}

func (c *Core) knownInstances() []ident.Instance {
	var out []ident.Instance
	for _, m := range c.roster.Prev {
		out = append(out, m.Instance)
	}
	for _, m := range c.roster.Members {
		out = append(out, m.Instance)
	}
	return out
}
