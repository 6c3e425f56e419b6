package lease

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// settle computes when the current version is settled, and when the holder of each
// slot that moved in it may act.
func (c *Core) settle(now time.Duration) {
	c.settledAt = c.majorityExpiry(func(expiries []time.Duration) time.Duration {
		return slices.Max(expiries)
	})
	if len(c.roster.Prev) == 0 {
		c.settledAt = now
	}
	for i, s := range c.roster.Slots {
		c.activeFrom[i] = c.slotActiveFrom(s)
	}
}

func (c *Core) slotActiveFrom(s Slot) time.Duration {
	if s.Epoch < c.roster.Version || s.PrevHolder == noIndex {
		return 0
	}
	if p := c.peers[c.roster.Prev[s.PrevHolder].Instance]; p != nil && p.acked {
		return p.ackedAt
	}
	return c.majorityExpiry(func(expiries []time.Duration) time.Duration {
		return expiries[s.PrevHolder]
	})
}

// majorityExpiry returns when a majority of the former members know the current
// version and the promises selected by pick have expired, or never.
func (c *Core) majorityExpiry(pick func(expiries []time.Duration) time.Duration) time.Duration {
	var found []time.Duration
	for _, m := range c.roster.Prev {
		if expiry := c.memberExpiry(m.Instance, pick); expiry != never {
			found = append(found, expiry)
		}
	}
	need := majority(len(c.roster.Prev))
	if len(found) < need {
		return never
	}
	slices.Sort(found)
	return found[need-1]
}

func (c *Core) memberExpiry(in ident.Instance, pick func([]time.Duration) time.Duration) time.Duration {
	expiry := never
	if p := c.peers[in]; p != nil && p.acked {
		expiry = pick(p.expiries)
	}
	if at, ok := c.endedAt[in]; ok {
		expiry = min(expiry, at+c.cfg.grantorTerm())
	}
	return expiry
}

// recordEnded records instances that ended permanently.
func (c *Core) recordEnded(now time.Duration, instances []ident.Instance) {
	for _, in := range instances {
		if _, known := c.endedAt[in]; !known && in != c.cfg.Self {
			c.endedAt[in] = now
		}
	}
	if c.roster != nil {
		c.settle(now)
	}
}

// updateCandidates adopts the view of membership. A later incarnation that is alive
// proves that the earlier one has ended.
func (c *Core) updateCandidates(now time.Duration, alive []Member) {
	c.candidates = slices.Clone(alive)
	slices.SortFunc(c.candidates, compareMembers)
	if c.roster != nil {
		c.recordEnded(now, c.superseded())
	}
}

// superseded lists the instances in the roster for which a later incarnation of the
// same VM is alive.
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
