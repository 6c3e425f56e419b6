package membership

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

const (
	// seedsPerJoin is the number of seeds contacted at once while no member is alive.
	seedsPerJoin = 3
	// eagerJoinPeriod is the time after the start of the process during which unknown
	// seeds are contacted every one to two ProbePeriods; later it is every SyncPeriod.
	eagerJoinPeriod = time.Minute
)

// join requests the state from several random seeds while no member is alive, and later
// from one seed at a time that is not an alive member. This merges groups that formed
// separately because of a network partition or of the order of starts.
func (m *Membership) join() {
	if m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.cfg.ProbePeriod + m.jitter(m.cfg.ProbePeriod)
	n := seedsPerJoin
	if m.hasAliveMember() {
		n = 1
		if m.now > eagerJoinPeriod {
			m.nextJoin = m.now + m.cfg.SyncPeriod/2 + m.jitter(m.cfg.SyncPeriod)
		}
	}
	seeds := m.unknownSeeds()
	m.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, addr := range seeds[:min(n, len(seeds))] {
		m.askAddr(addr, Message{Kind: Sync}, askOptions{timeout: 2 * m.probeTimeout()})
	}
}

// unknownSeeds lists the seeds that are not the address of an alive member or this VM.
func (m *Membership) unknownSeeds() []string {
	return slices.DeleteFunc(slices.Clone(m.seeds), func(addr string) bool {
		if addr == m.self.ControlAddr {
			return true
		}
		return slices.ContainsFunc(m.order, func(vm ident.VM) bool {
			e := m.members[vm]
			return e.State == Alive && e.ControlAddr == addr
		})
	})
}

// hasAliveMember reports whether any other VM is alive.
func (m *Membership) hasAliveMember() bool {
	return m.stateCounts[Alive] > 0
}

// startDueSync compares the state with a random peer every SyncPeriod, and at once with
// the peer in urgentSyncPeer.
func (m *Membership) startDueSync() {
	if e, ok := m.members[m.urgentSyncPeer]; ok && m.urgentSyncPeer != "" {
		m.urgentSyncPeer = ""
		m.syncWith(e)
		return
	}
	if m.now < m.nextSync {
		return
	}
	m.nextSync = m.now + m.cfg.SyncPeriod/2 + m.jitter(m.cfg.SyncPeriod)
	if peers := m.reachablePeers(); len(peers) > 0 {
		m.syncWith(peers[m.rng.IntN(len(peers))])
	}
}

func (m *Membership) syncWith(e *memberEntry) {
	m.ask(e, Message{Kind: Sync, Digest: m.digest()}, askOptions{timeout: 2 * m.probeTimeout()})
}

// answerSync answers a peer's Sync, with the full state if the digests differ.
func (m *Membership) answerSync(msg Message) Message {
	digest := m.digest()
	answer := Message{Kind: Sync, Digest: digest}
	if msg.Full || msg.Digest == digest {
		return answer
	}
	answer.Full = true
	answer.Statuses = m.statuses
	for _, vm := range m.order {
		answer.Updates = append(answer.Updates, m.members[vm].toUpdate(true))
	}
	return answer
}

// handleSyncAnswer sends back the records that are newer here than in the peer's full
// state. If that state added members, more may be missing, so the next sync is soon.
func (m *Membership) handleSyncAnswer(msg Message, newMembers bool) {
	if !msg.Full {
		return
	}
	if newMembers {
		m.nextSync = min(m.nextSync, m.now+m.cfg.ProbePeriod+m.jitter(m.cfg.ProbePeriod))
	}
	theirs := make(map[ident.VM]Update, len(msg.Updates))
	for _, u := range msg.Updates {
		theirs[u.VM] = u
	}
	var newer []Update
	for _, vm := range m.order {
		e := m.members[vm]
		if u, ok := theirs[vm]; (!ok || e.compare(u) < 0) && vm != msg.From.VM && e.State != Gone {
			newer = append(newer, e.toUpdate(true))
		}
	}
	peer, ok := m.members[msg.From.VM]
	if !ok || len(newer) == 0 && len(m.statuses) == 0 {
		return
	}
	m.ask(peer, Message{Kind: Sync, Full: true, Updates: newer, Statuses: m.statuses}, askOptions{timeout: 2 * m.probeTimeout()})
}
