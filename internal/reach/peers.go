package reach

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cutTTL is how long another VM counts as cut off after it said so last. Messages take up
	// to a second to pass through a large fleet.
	cutTTL = 2500 * time.Millisecond
	// shareTTL is how long that is passed on. It is shorter, so that no VM hears it after it
	// has forgotten it.
	shareTTL = 1500 * time.Millisecond
	// maxSharedCuts bounds the VMs in a message, and maxCutServices the services of one.
	maxSharedCuts  = 128
	maxCutServices = 32
)

// Cut is a VM's cut in a message.
type Cut struct {
	// Services holds the hashes of the services whose servers it does not reach.
	Services []uint32      `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
}

// Peers holds which other VMs are cut off from which services. It is not safe for concurrent
// use.
type Peers struct{ cuts map[string]peerCut }

type peerCut struct {
	services []uint32
	at       time.Duration
}

// NewPeers returns Peers without any cut.
func NewPeers() *Peers { return &Peers{cuts: map[string]peerCut{}} }

// CutOff reports whether another VM counts as cut off from a service.
func (p *Peers) CutOff(now time.Duration, vm, service string) bool {
	cut, known := p.cuts[vm]
	return known && now-cut.at <= cutTTL && slices.Contains(cut.services, serviceHash(service))
}

// Share returns the cuts to send to the other VMs: those received, and that of the VM self.
func (p *Peers) Share(now time.Duration, self string, c *Core) map[string]Cut {
	if own := c.cutServices(); len(own) > 0 || len(p.cuts[self].services) > 0 {
		p.cuts[self] = peerCut{own, now} // without services: the end of the cut
	}
	var out map[string]Cut
	for vm, cut := range p.cuts {
		if now-cut.at > cutTTL {
			delete(p.cuts, vm)
			continue
		}
		if now-cut.at > shareTTL {
			continue
		}
		if out == nil {
			out = make(map[string]Cut, len(p.cuts))
		}
		out[vm] = Cut{Services: cut.services, Age: now - cut.at}
	}
	return out
}

// Receive applies the cuts in a message to the VM self and reports whether it changed a known
// cut. Entries out of bounds are ignored.
func (p *Peers) Receive(now time.Duration, self string, cuts map[string]Cut) (isNew bool) {
	for vm, cut := range cuts {
		known, exists := p.cuts[vm]
		invalid := vm == self || cut.Age < 0 || cut.Age > shareTTL || len(cut.Services) > maxCutServices
		if invalid || (exists && known.at >= now-cut.Age) || (!exists && len(p.cuts) >= maxSharedCuts) {
			continue
		}
		isNew = isNew || !slices.Equal(known.services, cut.Services)
		p.cuts[vm] = peerCut{cut.Services, now - cut.Age}
	}
	return isNew
}

// cutServices returns the hashes of the services whose servers this VM does not reach, sorted.
func (c *Core) cutServices() []uint32 {
	var out []uint32
	for name, s := range c.services {
		if s.cutOff && len(out) < maxCutServices {
			out = append(out, serviceHash(name))
		}
	}
	slices.Sort(out)
	return out
}

func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
