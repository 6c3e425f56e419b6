package entry

import (
	"sync"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// directory holds the backend servers and the other VMs' entry processes of the last
// snapshot, with their addresses.
type directory struct {
	mu      sync.RWMutex
	servers map[ident.BackendServer]peer.BackendServer
	members map[ident.VM]peer.EntryMember
}

func (d *directory) apply(reply peer.SnapshotReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply.Backends != nil {
		d.servers = make(map[ident.BackendServer]peer.BackendServer, len(reply.Backends.Servers))
		for _, s := range reply.Backends.Servers {
			d.servers[s.ID] = s
		}
	}
	if reply.Members != nil {
		d.applyMembers(reply.Members.Members)
	}
}

// applyMembers updates the addresses of entry processes. It keeps those of VMs that
// the snapshot lacks, because perhaps only their control process has ended.
func (d *directory) applyMembers(members []peer.EntryMember) {
	if d.members == nil {
		d.members = map[ident.VM]peer.EntryMember{}
	}
	for _, m := range members {
		if m.Instance.Incarnation != 0 {
			d.members[m.Instance.VM] = m
		}
	}
}

func (d *directory) server(id ident.BackendServer) (peer.BackendServer, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.servers[id]
	return s, ok
}

// peerAddr returns the peer address of an entry process, or "" if that incarnation
// is unknown.
func (d *directory) peerAddr(in ident.Instance) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m := d.members[in.VM]
	if m.Instance != in {
		return ""
	}
	return m.EntryPeerAddr
}
