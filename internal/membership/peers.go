package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// The peer set is taken from hash rings, one per wanted peer. The peer on a ring is the
// next VM; on every second ring it is the next VM of another failure domain. So each VM
// is probed by about as many VMs as it probes, inside and outside its failure domain, and
// a change of the fleet changes few pairs.

// refreshPeers recomputes the peer set if the fleet has changed.
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
	m.probeRound = slices.DeleteFunc(m.probeRound, func(vm ident.VM) bool { return !slices.Contains(m.peers, vm) })
}

// successor returns the next VM on a ring that is not a peer yet. With preferOutside, a
// VM of another failure domain is preferred if there is one.
func (m *Membership) successor(ring uint64, preferOutside bool) (ident.VM, bool) {
	own := ringPosition(ring, m.self.Instance.VM)
	var best ident.VM
	var bestDistance uint64
	bestPreferred := false
	for _, vm := range m.order {
		e := m.members[vm]
		if e.State == Gone || slices.Contains(m.peers, vm) {
			continue
		}
		distance := ringPosition(ring, vm) - own
		preferred := preferOutside && e.Place.FailureDomain != m.self.Place.FailureDomain
		better := distance < bestDistance && preferred == bestPreferred
		if best == "" || preferred && !bestPreferred || better {
			best, bestDistance, bestPreferred = vm, distance, preferred
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

// isPeer reports whether vm is in the peer set of this VM.
func (m *Membership) isPeer(vm ident.VM) bool {
	m.refreshPeers()
	return slices.Contains(m.peers, vm)
}

// reachablePeers lists the peers that are alive or suspect.
func (m *Membership) reachablePeers() []*memberEntry {
	m.refreshPeers()
	list := make([]*memberEntry, 0, len(m.peers))
	for _, vm := range m.peers {
		if e := m.members[vm]; e.State == Alive || e.State == Suspect {
			list = append(list, e)
		}
	}
	return list
}

// nextProbeTarget returns the next alive peer. Peers are visited in rounds, each in a new
// random order; nil means that no peer is alive.
func (m *Membership) nextProbeTarget() *memberEntry {
	for range 2 {
		for len(m.probeRound) > 0 {
			vm := m.probeRound[len(m.probeRound)-1]
			m.probeRound = m.probeRound[:len(m.probeRound)-1]
			if e := m.members[vm]; e != nil && e.State == Alive {
				return e
			}
		}
		m.refreshPeers()
		m.probeRound = append(m.probeRound, m.peers...)
		m.rng.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
	return nil
}

// sample returns up to n random members for which accept returns true.
func (m *Membership) sample(n int, accept func(*memberEntry) bool) []*memberEntry {
	var list []*memberEntry
	for _, vm := range m.order {
		if e := m.members[vm]; accept(e) {
			list = append(list, e)
		}
	}
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
