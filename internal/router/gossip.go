package router

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinstair/catkinstair/internal/loads"
)

// maxDatagram bounds a message: what UDP carries.
const maxDatagram = 64 << 10

// listenPeers opens the socket for messages between the VMs.
func (r *Router) listenPeers() error {
	addr, err := net.ResolveUDPAddr("udp4", r.set.Listen.Datagrams)
	if err != nil {
		return err
	}
	r.peers, err = net.ListenUDP("udp4", addr)
	return err
}

// hearLoads takes in other VMs' messages until the socket is closed.
func (r *Router) hearLoads(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = r.peers.Close() })
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.peers.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				r.log.Warn().Err(err).Msg("loads: socket")
				pause(ctx, time.Second)
				continue
			}
			return
		}
		var m loads.Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			r.log.Warn().Err(err).Stringer("from", from).Msg("loads: message not read")
			continue
		}
		r.mu.Lock()
		r.core.Loads.Take(r.clock.now(), m)
		r.mu.Unlock()
	}
}

// tellLoads sends this VM's work, or its failure domain's sum.
func (r *Router) tellLoads(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		wait := r.core.Loads.Interval()
		r.mu.Unlock()
		pause(ctx, wait*4/5)
		r.mu.Lock()
		sends := r.core.Loads.Tick(r.clock.now(), r.core.OwnLoads())
		r.mu.Unlock()
		for _, s := range sends {
			r.tell(s)
		}
	}
}

func (r *Router) tell(s loads.Send) {
	body, err := cbor.Marshal(s.Message)
	if err == nil && len(body) > maxDatagram {
		r.log.Warn().Int("bytes", len(body)).Msg("loads: message too long")
		return
	}
	var to *net.UDPAddr
	if err == nil {
		to, err = net.ResolveUDPAddr("udp4", s.Addr)
	}
	if err == nil {
		_, err = r.peers.WriteToUDP(body, to)
	}
	if err != nil {
		r.met.gossipErrors.Inc() // the next message makes up for it
	}
}
