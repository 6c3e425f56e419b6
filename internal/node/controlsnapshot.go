package node

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/membership"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// versions returns the current versions of the snapshot sections.
func (c *Control) versions() peer.SnapshotVersions {
	return peer.SnapshotVersions{
		Control:  c.cfg.Self.Incarnation,
		Config:   c.configVersion,
		Members:  c.membersVersion,
		Backends: c.backendsVersion,
		Roster:   c.rosterVersion(),
	}
}

// answerSnapshotWaiters answers the pending snapshot requests for which a section has
// changed or the wait has ended.
func (c *Control) answerSnapshotWaiters(now time.Duration) {
	c.snapshotWaiters = slices.DeleteFunc(c.snapshotWaiters, func(w SnapshotAsked) bool {
		if w.Held == c.versions() && now < w.Until {
			return false
		}
		c.emit(SnapshotAnswered{ID: w.ID, Reply: c.snapshotSince(w.Held)})
		return true
	})
}

// snapshotSince returns the sections whose versions differ from held, or all of them if
// the versions come from another incarnation of the control process.
func (c *Control) snapshotSince(held peer.SnapshotVersions) peer.SnapshotReply {
	current := c.versions()
	reply := peer.SnapshotReply{Versions: current}
	all := held.Control != current.Control
	if all || held.Config != current.Config {
		reply.Config = c.configSection()
	}
	if all || held.Members != current.Members {
		reply.Members = c.membersSection()
	}
	if all || held.Backends != current.Backends {
		reply.Backends = &peer.BackendsSection{Servers: c.Servers()}
	}
	if roster := c.lease.Roster(); roster != nil && (all || held.Roster != current.Roster) {
		reply.Roster = &peer.RosterSection{Version: roster.Version, Holders: slotHolders(roster)}
	}
	return reply
}

func (c *Control) configSection() *peer.AcceptedConfig {
	snapshot := c.spread.Snapshot()
	section := &peer.AcceptedConfig{Known: c.spread.Ready(), Version: snapshot.Head.Version}
	for _, key := range snapshot.State.Keys() {
		limit, _ := snapshot.State.Get(key)
		section.Limits = append(section.Limits, peer.AcceptedLimit{Team: key.Team, Service: key.Service,
			Unit: string(key.Unit), PerSecond: float64(limit.Value)})
	}
	return section
}

func (c *Control) membersSection() *peer.MembersSection {
	section := &peer.MembersSection{Self: c.cfg.Self}
	for _, m := range c.knownMembers() {
		if m.State == membership.Gone {
			continue
		}
		section.Members = append(section.Members, peer.EntryMember{
			Instance: ident.Instance{VM: m.Instance.VM, Incarnation: m.EntryIncarnation}, Place: m.Place,
			EntryAddr: m.EntryAddr, EntryPeerAddr: m.EntryPeerAddr, ControlAddr: m.ControlAddr,
			Serving: !m.Leaving && m.EntryIncarnation != 0 && !m.EntryDown, Reachable: m.State == membership.Alive,
			Leaving: m.Leaving, ConfigVersion: m.ConfigVersion,
		})
	}
	return section
}
