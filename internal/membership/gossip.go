package membership

import (
	"math"
	"slices"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// queue holds what is to be spread. Each item is sent a bounded number of
// times; those sent least often go first, newer before older.
type queue struct {
	items  []queued
	serial uint64
}

type queued struct {
	vm     ident.VM            // for a record
	server ident.BackendServer // for a note
	note   ServerStatus
	static bool
	sent   int
	serial uint64
}

// put adds a record, replacing an earlier one of the same VM.
func (q *queue) put(item queued) {
	q.items = slices.DeleteFunc(q.items, func(o queued) bool {
		if o.vm != item.vm || o.server != item.server {
			return false
		}
		item.static = item.static || o.static
		return true
	})
	q.serial++
	item.serial = q.serial
	item.sent = 0
	q.items = append(q.items, item)
}

// take returns up to n items and counts them as sent; an item sent limit times
// is dropped.
func (q *queue) take(n, limit int) []queued {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queued) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return int(int64(b.serial) - int64(a.serial))
	})
	n = min(n, len(q.items))
	for i := range q.items[:n] {
		q.items[i].sent++
	}
	taken := slices.Clone(q.items[:n])
	q.items = slices.DeleteFunc(q.items, func(o queued) bool { return o.sent >= limit })
	return taken
}

// spread queues a member's record, unless it came with a peer's whole state:
// that is news to this VM only.
func (m *Membership) spread(e *entry, static bool) {
	if m.catchingUp && e != &m.self {
		return
	}
	m.queue.put(queued{vm: e.Instance.VM, static: static})
}

// retransmits is how often this VM sends one update.
func (m *Membership) retransmits() int {
	n := float64(m.present())
	return max(2, int(math.Ceil(m.cfg.RetransmitFactor*math.Log2(n+1))))
}

// ride puts queued updates onto a message.
func (m *Membership) ride(msg *Message) {
	for _, item := range m.queue.take(m.cfg.MaxUpdates, m.retransmits()) {
		if item.server != "" {
			msg.Statuses = append(msg.Statuses, item.note)
			continue
		}
		if e, ok := m.members[item.vm]; ok && item.vm != m.self.Instance.VM {
			msg.Updates = append(msg.Updates, e.update(item.static))
		} else if item.vm == m.self.Instance.VM {
			msg.From = m.self.update(true)
		}
	}
}

// gossip sends what is queued to one peer.
func (m *Membership) gossip() {
	if len(m.queue.items) == 0 || m.now < m.nextGossip {
		return
	}
	m.nextGossip = m.now + m.cfg.GossipPeriod
	peers := m.reachablePeers()
	if len(peers) == 0 {
		return
	}
	m.gossipTurn++
	m.ask(peers[m.gossipTurn%len(peers)], Message{Kind: Gossip}, askOptions{})
}
