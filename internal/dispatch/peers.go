package dispatch

import (
	"maps"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Peer is another VM, to which this one may pass requests on.
type Peer struct {
	VM, Domain string
	// Addr is where it takes requests of other VMs.
	Addr string
}

const (
	// maxPeerSends bounds the VMs that a request is passed on to.
	maxPeerSends = 3
	// peerPrefix begins the IDs of VMs where those of backend servers are expected.
	peerPrefix = "vm:"
	// peerRefusalTTL is how long no request of a service is passed on to a VM that has just
	// refused one, or could not be reached.
	peerRefusalTTL = 500 * time.Millisecond
	// olderPeerTTL is how long no request is passed on to a VM that has refused one because its
	// configuration is older, unless it says before that it has caught up.
	olderPeerTTL = 2 * time.Second
)

// peerRefusal identifies the refusals of one VM for one service.
type peerRefusal struct{ vm, service string }

// peerState is what another VM has said of its configuration.
type peerState struct {
	olderUntil time.Duration // it gets no requests until then, because its configuration is older
	caughtUpAt time.Duration // when it said last that it is not
}

// SetPeers sets the other VMs that take requests.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = peers
	states := make(map[string]peerState, len(peers))
	for _, p := range peers {
		states[p.VM] = c.peerStates[p.VM]
	}
	c.peerStates = states
}

// PeerID returns the ID under which a VM stands in Choice.Stages and Request.Avoid.
func PeerID(vm string) backend.ID { return backend.ID(peerPrefix + vm) }

// IsPeer reports whether a choice passes the request on to another VM.
func (ch *Choice) IsPeer() bool {
	return strings.HasPrefix(string(ch.Target().Instance.ID), peerPrefix)
}

// PeerVM returns the VM that a choice passes the request on to, "" for none.
func (ch *Choice) PeerVM() string {
	if !ch.IsPeer() {
		return ""
	}
	return strings.TrimPrefix(string(ch.Target().Instance.ID), peerPrefix)
}

// choosePeer returns a VM to pass a request on to, or the refusal if the retry budget does
// not allow it; nil for both if no VM is left. Requests spread over the VMs of this failure
// domain first. A request is passed on once: none that came from another VM goes to a third.
func (c *Core) choosePeer(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	p := c.bestPeer(now, r)
	if p == nil {
		return nil, nil
	}
	if refusal := c.spendRetry(now, r); refusal != nil {
		return nil, refusal
	}
	return p.choice(), nil
}

// choice returns the choice that passes a request on to the VM.
func (p *Peer) choice() *Choice {
	return &Choice{Stages: []paths.Stage{{Instance: backend.Instance{ID: PeerID(p.VM)}, Addr: p.Addr}}}
}

func (c *Core) bestPeer(now time.Duration, r *Request) *Peer {
	if r.FromPeer || r.PeerSends >= maxPeerSends {
		return nil
	}
	var best *Peer
	bestRank := 0.0
	for i := range c.peers {
		p := &c.peers[i]
		if r.Avoid[PeerID(p.VM)] || c.PeerOlder(now, p.VM) || c.peerLinks.CutOff(now, p.VM, r.Service.Name) || now < c.peerRefusals[peerRefusal{p.VM, r.Service.Name}] {
			continue
		}
		rank := pairFraction(r.ID, p.VM)
		if p.Domain != c.cfg.Domain {
			rank++
		}
		if best == nil || rank < bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// RecordPeerRefused records that another VM did not serve a request that was passed on to it.
// If it is unable to serve others of the service as well, it gets none for peerRefusalTTL.
func (c *Core) RecordPeerRefused(now time.Duration, r *Request, ch *Choice, unable bool) {
	id := ch.Target().Instance.ID
	r.Avoid[id] = true
	r.PeerSends++
	if !unable {
		return
	}
	for k, until := range c.peerRefusals {
		if now >= until {
			delete(c.peerRefusals, k)
		}
	}
	c.peerRefusals[peerRefusal{ch.PeerVM(), r.Service.Name}] = now + peerRefusalTTL
}

// ReadmitPeers lets a request be passed on again to the VMs that have not served it: they may have room
// by now, or reach the servers.
func (r *Request) ReadmitPeers() {
	r.PeerSends = 0
	maps.DeleteFunc(r.Avoid, func(id backend.ID, _ bool) bool { return strings.HasPrefix(string(id), peerPrefix) })
}

// RecordPeerOlder records that another VM has refused a request, sent at a time, because its
// configuration is older. It gets none until PeerCaughtUp, or for olderPeerTTL, unless it has caught
// up since the request was sent: the refusal may be read later than that.
func (c *Core) RecordPeerOlder(now, sentAt time.Duration, vm string) {
	if s, known := c.peerStates[vm]; known && s.caughtUpAt < sentAt {
		s.olderUntil = now + olderPeerTTL
		c.peerStates[vm] = s
	}
}

// PeerCutOff reports whether another VM says that it is cut off from the servers of a service.
func (c *Core) PeerCutOff(now time.Duration, vm, service string) bool {
	return c.peerLinks.CutOff(now, vm, service)
}

// PeerOlder reports whether another VM gets no requests because its configuration is older.
func (c *Core) PeerOlder(now time.Duration, vm string) bool {
	return now < c.peerStates[vm].olderUntil
}

// PeerCaughtUp records that another VM says that its configuration is not older.
func (c *Core) PeerCaughtUp(now time.Duration, vm string) {
	if _, known := c.peerStates[vm]; known {
		c.peerStates[vm] = peerState{caughtUpAt: now}
	}
}

// chooseReachable returns a VM to pass a request on to while this VM is cut off from the
// servers of its service, or has tried enough of them. It returns the refusal if no other VM
// takes the request and no server can be reached, and nil for both if this VM is to send it.
func (c *Core) chooseReachable(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	if !r.PeersOnly && !c.Reach.CutOff(r.Service.Name) {
		return nil, nil
	}
	if ch, refusal := c.choosePeer(now, r); ch != nil || refusal != nil {
		return ch, refusal
	}
	if !r.PeersOnly && !c.Reach.Unreachable(r.Service.Name) {
		return nil, nil
	}
	detail := "no server of " + r.Service.Name + " can be reached from " + c.cfg.VM
	if !r.FromPeer && len(c.peers) > 0 {
		detail += ", and no other VM takes the request"
	}
	return nil, c.notRun(verdict.CauseUnreachable, detail)
}

// otherVMMayServe reports whether the cause of a refusal may hold for this VM alone.
func otherVMMayServe(cause verdict.Cause) bool {
	return cause == verdict.CauseLayersMissing || cause == verdict.CauseNoBackend
}
