package membership

import (
	"math"
	"slices"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// queue holds the updates to gossip. Each item is sent a bounded number of times; items
// sent least often go first, newer before older.
type queue struct {
	items  []queueItem
	serial uint64
}

type queueItem struct {
	vm         ident.VM            // set for a member record
	server     ident.BackendServer // set for a backend server status
	status     ServerStatus
	withStatic bool
	sent       int
	serial     uint64
}

// put adds an item, replacing an earlier one of the same VM or backend server.
func (q *queue) put(item queueItem) {
	q.items = slices.DeleteFunc(q.items, func(o queueItem) bool {
		if o.vm != item.vm || o.server != item.server {
			return false
		}
		item.withStatic = item.withStatic || o.withStatic
		return true
	})
	q.serial++
	item.serial = q.serial
	item.sent = 0
	q.items = append(q.items, item)
}

// nextBatch returns up to n items and counts them as sent. Items that were sent maxSends
// times are dropped.
func (q *queue) nextBatch(n, maxSends int) []queueItem {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortFunc(q.items, func(a, b queueItem) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return int(int64(b.serial) - int64(a.serial))
	})
	n = min(n, len(q.items))
	for i := range q.items[:n] {
		q.items[i].sent++
	}
	batch := slices.Clone(q.items[:n])
	q.items = slices.DeleteFunc(q.items, func(o queueItem) bool { return o.sent >= maxSends })
	return batch
}

// queueUpdate queues a member's record, unless it came with a peer's full state: the rest
// of the fleet has those records already.
func (m *Membership) queueUpdate(e *memberEntry, withStatic bool) {
	if m.mergingFullState && e != &m.self {
		return
	}
	m.queue.put(queueItem{vm: e.Instance.VM, withStatic: withStatic})
}

// retransmitLimit returns the number of times that this VM sends one update.
func (m *Membership) retransmitLimit() int {
	n := float64(m.fleetSize())
	return max(2, int(math.Ceil(m.cfg.RetransmitFactor*math.Log2(n+1))))
}

// piggyback adds queued updates to a message.
func (m *Membership) piggyback(msg *Message) {
	for _, item := range m.queue.nextBatch(m.cfg.MaxUpdates, m.retransmitLimit()) {
		if item.server != "" {
			msg.Statuses = append(msg.Statuses, item.status)
			continue
		}
		if e, ok := m.members[item.vm]; ok && item.vm != m.self.Instance.VM {
			msg.Updates = append(msg.Updates, e.toUpdate(item.withStatic))
		} else if item.vm == m.self.Instance.VM {
			msg.From = m.self.toUpdate(true)
		}
	}
}

// gossip sends queued updates to one peer, in rotation.
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
