package router

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
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
		r.hear(m)
	}
}

func (r *Router) hear(m loads.Message) {
	r.mu.Lock()
	now := r.clock.now()
	news := r.core.Receive(now, m)
	var lost, slow []string
	for _, s := range news.Lost {
		lost = append(lost, s.Addr)
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Str("from", m.From).Msg("backend server lost, another VM says")
	}
	for _, s := range news.Failing {
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Str("from", m.From).Msg("backend server fails, another VM says")
	}
	for _, s := range news.Slow {
		if s.SlowdownFactor(now) >= r.cfg.LeaveSlow {
			slow = append(slow, s.Addr)
		}
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Float64("slowX", s.SlowdownFactor(now)).Str("from", m.From).Msg("backend server's pace, another VM says")
	}
	r.mu.Unlock()
	r.leave(lost)
	r.leaveSlow(slow)
}

// lost notes that an engine waits in vain for the server at addr, and tells the
// other VMs.
func (r *Router) lost(addr string) {
	r.mu.Lock()
	news := false
	if s := r.core.Backends.ByAddr(addr); s != nil {
		news = r.core.RecordLost(r.clock.now(), s.Instance())
	}
	r.mu.Unlock()
	if news {
		r.leave([]string{addr})
	}
}

// leave takes all streams off lost servers and sends the news on at once.
func (r *Router) leave(lost []string) {
	if len(lost) == 0 {
		return
	}
	select {
	case r.news <- struct{}{}:
	default: // a message is about to be sent anyway
	}
	for _, addr := range lost {
		for _, st := range r.streams.over(addr) {
			if err := r.pool.Submit(func() { st.leave(addr) }); err != nil {
				r.log.Warn().Err(err).Str("request", st.x.req.ID).Msg("stream not moved at once: all workers are busy; its own watch does it")
			}
		}
	}
}

// leaveSlow gives the parts of slow servers to others, for streams that wait for
// their first event: those that have begun are slower, but don't wait for prompts.
func (r *Router) leaveSlow(slow []string) {
	for _, addr := range slow {
		for _, st := range r.streams.over(addr) {
			if st.begun() {
				continue
			}
			if err := r.pool.Submit(func() { st.leaveSlow(addr) }); err != nil {
				r.log.Warn().Err(err).Str("request", st.x.req.ID).Msg("stream not moved off a slow server: all workers are busy")
			}
		}
	}
}

// leaveGivenUp takes streams off the layers that a server gives up: it waits for
// them, at times for many seconds, before it loads what it was ordered to hold.
func (r *Router) leaveGivenUp(addr string, held backend.Layers) {
	for _, st := range r.streams.over(addr) {
		if !st.givenUp(addr, held) {
			continue
		}
		if err := r.pool.Submit(func() { st.move(addr) }); err != nil {
			r.log.Warn().Err(err).Str("request", st.x.req.ID).Msg("stream not moved off layers that are given up: all workers are busy")
		}
	}
}

// tellLoads sends this VM's work, or its failure domain's sum.
func (r *Router) tellLoads(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		wait := r.core.Loads.Interval()
		r.mu.Unlock()
		r.awaitNews(ctx, wait)
		r.mu.Lock()
		sends := r.core.Loads.Tick(r.clock.now(), r.core.OwnLoads(r.clock.now()))
		r.mu.Unlock()
		for _, s := range sends {
			r.tell(s)
		}
	}
}

// awaitNews waits for the next message's time, or for news that go at once.
func (r *Router) awaitNews(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.news:
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
