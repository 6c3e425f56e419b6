package node

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/lease"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/store"
)

// entryWatch is what this VM knows of its own entry process.
type entryWatch struct {
	life     ident.Incarnation
	seen     time.Duration
	lastTick time.Duration
}

// ownPause is the time between two ticks above which this process takes itself
// to have been paused.
const ownPause = 500 * time.Millisecond

// entrySeen notes that the entry process reported.
func (c *Control) entrySeen(now time.Duration, life ident.Incarnation) {
	c.entry.life, c.entry.seen = life, now
	c.membershipEvent(now, membership.EntryProcess{Incarnation: life})
}

// watchEntry notes when the entry process went silent. A pause of this process
// itself is not its silence.
func (c *Control) watchEntry(now time.Duration) {
	if gap := now - c.entry.lastTick; gap > ownPause {
		c.entry.seen += gap
	}
	c.entry.lastTick = now
	if c.entry.life != 0 && now-c.entry.seen > c.cfg.EntryTimeout {
		c.membershipEvent(now, membership.EntryProcess{Incarnation: c.entry.life, Down: true})
	}
}

// shareBudget takes this VM's part of the fleet's calls to the key-value service.
func (c *Control) shareBudget(now time.Duration) {
	roster := c.lease.Roster()
	perDomain := map[ident.FailureDomain]int{}
	share := store.Fleet{Applying: c.apply != nil}
	for _, m := range c.present() {
		share.Processes++
		if perDomain[m.Place.FailureDomain] < c.cfg.Spread.WatchersPerDomain {
			perDomain[m.Place.FailureDomain]++
			share.RegularUsers++
		}
	}
	if roster != nil {
		share.RegularUsers += len(roster.Members)
	}
	share.RegularUser = c.spread.Watching() || roster.Index(c.cfg.Self) >= 0
	if share == c.share {
		return
	}
	c.share = share
	c.serviceDo(now, c.service.Step(now, share))
}

// seeds are the settings' seeds and the roster's members, without repeats.
func (c *Control) seeds(roster lease.Roster) []string {
	list := slices.Clone(c.cfg.Seeds)
	for _, m := range roster.Members {
		if !slices.Contains(list, m.Addr) && m.Instance.VM != c.cfg.Self.VM {
			list = append(list, m.Addr)
		}
	}
	return list
}

// candidates are the VMs that may become members of the roster: its members and
// a few of each failure domain, the same everywhere.
func (c *Control) candidates() []lease.Member {
	roster := c.lease.Roster()
	perDomain := map[ident.FailureDomain]int{}
	var list []lease.Member
	for _, m := range c.present() {
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
