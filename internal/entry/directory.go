package entry

import (
	"sync"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
)

// directory gives the addresses of backend servers and of other VMs, as the last
// snapshot has them.
type directory struct {
	mu      sync.RWMutex
	servers map[ident.BackendServer]peer.BackendServer
	members map[ident.VM]peer.EntryMember
}

func (d *directory) take(reply peer.SnapshotReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply.Backends != nil {
		d.servers = make(map[ident.BackendServer]peer.BackendServer, len(reply.Backends.Servers))
		for _, s := range reply.Backends.Servers {
			d.servers[s.ID] = s
		}
	}
	if reply.Members != nil {
		d.takeMembers(reply.Members.Members)
	}
}

// takeMembers remembers where an entry process was last known to run, also when
// its VM is missing: only its control process may have ended.
func (d *directory) takeMembers(members []peer.EntryMember) {
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

// peerAddr is where the entry process of an instance is reached; empty where
// that life is not known.
func (d *directory) peerAddr(in ident.Instance) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m := d.members[in.VM]
	if m.Instance != in {
		return ""
	}
	return m.EntryPeerAddr
}
