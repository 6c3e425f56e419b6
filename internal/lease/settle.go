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

// slotActiveFrom returns the time from which the holder of a slot may act, by rule 2 of
// the package comment, or 0 if the slot didn't move in this version.
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

// majorityExpiry returns when a majority of the former members have the current version
// and their promises selected by pick have expired, or never.
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

// memberExpiry returns when the selected promises of one former member have expired, or
// never if it neither reported them nor ended.
func (c *Core) memberExpiry(instance ident.Instance, pick func([]time.Duration) time.Duration) time.Duration {
	expiry := never
	if p := c.peers[instance]; p != nil && p.acked {
		expiry = pick(p.expiries)
	}
	if at, ok := c.endedAt[instance]; ok {
		expiry = min(expiry, at+c.cfg.grantorTerm())
	}
	return expiry
}

// recordEnded records instances that ended permanently, and recomputes the times
// that depend on them.
func (c *Core) recordEnded(now time.Duration, instances []ident.Instance) {
	for _, instance := range instances {
		if _, known := c.endedAt[instance]; !known && instance != c.cfg.Self {
			c.endedAt[instance] = now
		}
	}
	if c.roster != nil {
		c.settle(now)
	}
}

// updateCandidates stores the instances that membership considers alive. A later
// incarnation that is alive proves that the earlier one has ended.
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
	for _, instance := range c.knownInstances() {
		if latest[instance.VM] > instance.Incarnation {
			ended = append(ended, instance)
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
