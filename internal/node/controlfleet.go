package node

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/store"
)

// entryProcess is the last reported state of this VM's own entry process.
type entryProcess struct {
	incarnation ident.Incarnation
	lastReport  time.Duration // process time
	lastTick    time.Duration // process time of the last checkEntry
}

// pauseThreshold is the time between two ticks above which this process assumes that it
// was paused itself.
const pauseThreshold = 500 * time.Millisecond

// recordEntryReport records a report of the entry process.
func (c *Control) recordEntryReport(now time.Duration, incarnation ident.Incarnation) {
	c.entry.incarnation, c.entry.lastReport = incarnation, now
	c.stepMembership(now, membership.EntryProcess{Incarnation: incarnation})
}

// checkEntry marks the entry process as down after EntryTimeout without a report. Time in
// which this process was paused does not count.
func (c *Control) checkEntry(now time.Duration) {
	if gap := now - c.entry.lastTick; gap > pauseThreshold {
		c.entry.lastReport += gap
	}
	c.entry.lastTick = now
	if c.entry.incarnation != 0 && now-c.entry.lastReport > c.cfg.EntryTimeout {
		c.stepMembership(now, membership.EntryProcess{Incarnation: c.entry.incarnation, Down: true})
	}
}

// updateKVShare updates this VM's share of the fleet's calls to the key-value service.
func (c *Control) updateKVShare(now time.Duration) {
	roster := c.lease.Roster()
	perDomain := map[ident.FailureDomain]int{}
	kvShare := store.Fleet{Applying: c.apply != nil}
	for _, m := range c.liveMembers() {
		kvShare.Processes++
		if perDomain[m.Place.FailureDomain] < c.cfg.Spread.WatchersPerDomain {
			perDomain[m.Place.FailureDomain]++
			kvShare.RegularUsers++
		}
	}
	if roster != nil {
		kvShare.RegularUsers += len(roster.Members)
	}
	kvShare.RegularUser = c.spread.Watching() || roster.Index(c.cfg.Self) >= 0
	if kvShare == c.kvShare {
		return
	}
	c.kvShare = kvShare
	c.handleKVActions(now, c.kv.Step(now, kvShare))
}

// seeds returns the configured seeds and the addresses of the roster's members, without
// duplicates.
func (c *Control) seeds(roster lease.Roster) []string {
	list := slices.Clone(c.cfg.Seeds)
	for _, m := range roster.Members {
		if !slices.Contains(list, m.Addr) && m.Instance.VM != c.cfg.Self.VM {
			list = append(list, m.Addr)
		}
	}
	return list
}

// candidates lists the VMs that may become members of the roster: its members and the
// first candidatesPerDomain VMs of each failure domain. The order is by name, so that all
// VMs choose the same ones.
func (c *Control) candidates() []lease.Member {
	roster := c.lease.Roster()
	perDomain := map[ident.FailureDomain]int{}
	var list []lease.Member
	for _, m := range c.liveMembers() {
		if m.Leaving {
			continue
		}
		if perDomain[m.Place.FailureDomain] >= candidatesPerDomain && roster.Index(m.Instance) < 0 {
			continue
		}
		perDomain[m.Place.FailureDomain]++
		list = append(list, lease.Member{Instance: m.Instance, Addr: m.ControlAddr, Place: m.Place})
	}
	return list
}
