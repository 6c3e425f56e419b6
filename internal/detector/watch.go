package detector

import (
	"github.com/cespare/xxhash/v2"
)

// watchRanks decides by rendezvous hashing which servers this VM watches. It remembers its
// choice for each server until the known VMs change.
type watchRanks struct {
	self    uint64
	vms     []uint64 // hashes of the other VMs' names
	watches map[string]bool
}

func newWatchRanks(self string) watchRanks {
	return watchRanks{self: xxhash.Sum64String(self), watches: map[string]bool{}}
}

func (w *watchRanks) setVMs(self string, vms []string) {
	w.vms = w.vms[:0]
	for _, vm := range vms {
		if vm != self {
			w.vms = append(w.vms, xxhash.Sum64String(vm))
		}
	}
	clear(w.watches)
}

// watched reports whether this VM is one of the given number of VMs that watch a server.
func (w *watchRanks) watched(id string, watchers int) bool {
	if chosen, known := w.watches[id]; known {
		return chosen
	}
	server := xxhash.Sum64String(id)
	own, higher := mix(w.self^server), 0
	for _, vm := range w.vms {
		if mix(vm^server) > own {
			higher++
		}
	}
	w.watches[id] = higher < watchers
	return higher < watchers
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
