package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// The peer set is taken from hash rings, one per peer wanted. On each ring this
// VM's peer is the next VM; on every other ring it is the next VM of another
// failure domain. Each VM is thus observed by about as many as it observes, from
// its own failure domain and from others, and a change of the fleet changes few
// pairs.

// refreshPeers recomputes the peer set after the fleet changed.
func (m *Membership) refreshPeers() {
	if !m.peersStale {
		return
	}
	m.peersStale = false
	m.peers = m.peers[:0]
	for r := range m.cfg.Peers {
		if vm, ok := m.successor(uint64(r), r%2 == 0); ok {
			m.peers = append(m.peers, vm)
		}
	}
	m.ring = slices.DeleteFunc(m.ring, func(vm ident.VM) bool { return !slices.Contains(m.peers, vm) })
}

// successor finds the next VM on a ring that is not a peer yet. outside wants
// one of another failure domain, where there is one.
func (m *Membership) successor(ring uint64, outside bool) (ident.VM, bool) {
	own := ringPosition(ring, m.self.Instance.VM)
	var best ident.VM
	var bestDistance uint64
	bestOutside := false
	for _, vm := range m.order {
		e := m.members[vm]
		if e.State == Gone || slices.Contains(m.peers, vm) {
			continue
		}
		distance := ringPosition(ring, vm) - own
		preferred := outside && e.Place.FailureDomain != m.self.Place.FailureDomain
		better := distance < bestDistance && preferred == bestOutside
		if best == "" || preferred && !bestOutside || better {
			best, bestDistance, bestOutside = vm, distance, preferred
		}
	}
	return best, best != ""
}

func ringPosition(ring uint64, vm ident.VM) uint64 {
	var h xxhash.Digest
	h.Reset()
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], ring)
	_, _ = h.Write(prefix[:])
	_, _ = h.WriteString(string(vm))
	return h.Sum64()
}

// isPeer reports whether this VM observes vm.
func (m *Membership) isPeer(vm ident.VM) bool {
	m.refreshPeers()
	return slices.Contains(m.peers, vm)
}

// reachablePeers lists the peers that are alive or suspect.
func (m *Membership) reachablePeers() []*entry {
	m.refreshPeers()
	list := make([]*entry, 0, len(m.peers))
	for _, vm := range m.peers {
		if e := m.members[vm]; e.State == Alive || e.State == Suspect {
			list = append(list, e)
		}
	}
	return list
}

// nextPeer takes the peers in rounds, each round in a new order.
func (m *Membership) nextPeer() *entry {
	for range 2 {
		for len(m.ring) > 0 {
			vm := m.ring[len(m.ring)-1]
			m.ring = m.ring[:len(m.ring)-1]
			if e := m.members[vm]; e != nil && e.State == Alive {
				return e
			}
		}
		m.refreshPeers()
		m.ring = append(m.ring, m.peers...)
		m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	return nil
}

// sample draws up to n members that want accepts.
func (m *Membership) sample(n int, want func(*entry) bool) []*entry {
	var list []*entry
	for _, vm := range m.order {
		if e := m.members[vm]; want(e) {
			list = append(list, e)
		}
	}
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
