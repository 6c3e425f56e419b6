package membership

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

const (
	// joinSeeds is how many seeds are asked at once while nobody is known.
	joinSeeds = 3
	// joinEagerly is how long after its start a process looks for seeds that
	// it does not know yet every few seconds; later it does so every SyncPeriod.
	joinEagerly = time.Minute
)

// join asks seeds for the state: several while no member answers, else now and
// then one that is not among the members. Groups that formed apart, because of
// a cut or of the order of starts, thus find each other.
func (m *Membership) join() {
	if m.now < m.nextJoin {
		return
	}
	m.nextJoin = m.now + m.cfg.ProbePeriod + m.jitter(m.cfg.ProbePeriod)
	n := joinSeeds
	if m.inTouch() {
		n = 1
		if m.now > joinEagerly {
			m.nextJoin = m.now + m.cfg.SyncPeriod/2 + m.jitter(m.cfg.SyncPeriod)
		}
	}
	seeds := m.strangers()
	m.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, addr := range seeds[:min(n, len(seeds))] {
		m.askAddr(addr, Message{Kind: Sync}, askOptions{timeout: 2 * m.probeTimeout()})
	}
}

// strangers lists the seeds that are no address of a present member.
func (m *Membership) strangers() []string {
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

// inTouch reports whether any member is alive here.
func (m *Membership) inTouch() bool {
	return m.count[Alive] > 0
}

// syncNext compares the state with a peer now and then, and at once with one
// that spoke of members not known here.
func (m *Membership) syncNext() {
	if e, ok := m.members[m.lacking]; ok && m.lacking != "" {
		m.lacking = ""
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

func (m *Membership) syncWith(e *entry) {
	m.ask(e, Message{Kind: Sync, Digest: m.digest()}, askOptions{timeout: 2 * m.probeTimeout()})
}

// syncAnswer answers a peer's Sync: with the whole state where digests differ.
func (m *Membership) syncAnswer(msg Message) Message {
	digest := m.digest()
	answer := Message{Kind: Sync, Digest: digest}
	if msg.Full || msg.Digest == digest {
		return answer
	}
	answer.Full = true
	answer.Statuses = m.notes
	for _, vm := range m.order {
		answer.Updates = append(answer.Updates, m.members[vm].update(true))
	}
	return answer
}

// synced takes a peer's state and sends back what is newer here. If it brought
// members not known before, there may be more, and the next comparison is soon.
func (m *Membership) synced(msg Message, learned bool) {
	if !msg.Full {
		return
	}
	if learned {
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
			newer = append(newer, e.update(true))
		}
	}
	peer, ok := m.members[msg.From.VM]
	if !ok || len(newer) == 0 && len(m.notes) == 0 {
		return
	}
	m.ask(peer, Message{Kind: Sync, Full: true, Updates: newer, Statuses: m.notes}, askOptions{timeout: 2 * m.probeTimeout()})
}
