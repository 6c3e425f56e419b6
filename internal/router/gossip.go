package router

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/featurelevel"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/poison"
)

// maxDatagram bounds a message to what a UDP datagram can carry.
const maxDatagram = 64 << 10

// openPeerSocket opens the UDP socket for load messages between the VMs.
func (r *Router) openPeerSocket() error {
	addr, err := net.ResolveUDPAddr("udp4", r.settings.Listen.Datagrams)
	if err != nil {
		return err
	}
	r.peerConn, err = net.ListenUDP("udp4", addr)
	return err
}

// receiveLoads handles other VMs' load messages until ctx ends, which closes the socket.
func (r *Router) receiveLoads(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = r.peerConn.Close() })
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.peerConn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				r.log.Warn().Err(err).Msg("loads: reading from the socket failed")
				pause(ctx, time.Second)
				continue
			}
			return
		}
		if r.checkPause(); int64(r.clock.now()) < r.dropMessagesUntil.Load() {
			continue
		}
		m, invalid, err := loads.Decode(buf[:n])
		if err != nil || len(invalid) > 0 {
			r.metrics.invalidMessages.Inc()
			r.log.Warn().Err(err).Stringer("from", from).Ints("keys", invalid).Msg("loads: invalid message")
		}
		if err != nil {
			r.metrics.messagesDropped["malformed"].Inc()
			continue
		}
		r.runGuarded("loads", m.From, func() { r.handleLoads(m) })
	}
}

func (r *Router) handleLoads(m loads.Message) {
	var lostAddrs, slowAddrs []string
	var found poison.Result
	r.locked(func() { lostAddrs, slowAddrs, found = r.receiveFindings(m) })
	r.applyBlocks(found, m.From)
	r.moveOffLost(r.checkNeighborsFindings(m, lostAddrs))
	r.moveOffSlow(slowAddrs)
}

// receiveFindings applies a load message and returns the addresses of the servers that it
// newly reports as lost and as slow, and the changes of the blocked parts. The caller holds
// mu.
func (r *Router) receiveFindings(m loads.Message) (lostAddrs, slowAddrs []string, found poison.Result) {
	now := r.clock.now()
	r.noteBuild(m)
	if _, known := r.members[m.From]; !known {
		// The sender is starting or stopping, so it receives no messages, and builds before
		// Guard.SetReached may convict a request that makes progress at other VMs.
		m.Poison = m.Poison.WithoutBlocks()
	}
	findings := r.core.Receive(now, m)
	r.countDropped(m, findings.UnknownLost)
	for _, s := range findings.Lost {
		lostAddrs = append(lostAddrs, s.Addr)
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Str("from", m.From).Msg("backend server lost, another VM says")
	}
	for _, s := range findings.Failing {
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Str("from", m.From).Msg("backend server fails, another VM says")
	}
	for _, s := range findings.Leaving {
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Str("from", m.From).Msg("backend server leaves, another VM says")
		r.sendFindingsNow()
	}
	for _, s := range findings.Slow {
		if s.SlowdownFactor(now) >= r.cfg.SlowdownThreshold {
			slowAddrs = append(slowAddrs, s.Addr)
		}
		r.log.Info().Str("server", string(s.ID)).Str("addr", s.Addr).Float64("slowX", s.SlowdownFactor(now)).Str("from", m.From).Msg("backend server's pace, another VM says")
	}
	if findings.CutsChanged {
		r.log.Info().Str("from", m.From).Int("vms", len(m.CutOff)).Msg("VMs cut off from backend servers, or no longer")
		r.sendFindingsNow()
	}
	if findings.LimitsChanged {
		r.log.Info().Str("from", m.From).Msg("limits of backend servers, another VM says")
		r.sendFindingsNow()
	}
	return lostAddrs, slowAddrs, findings.Poison
}

// recordLost records that the server at addr is lost, because an engine is stalled waiting
// for it, and passes the finding on to the other VMs.
func (r *Router) recordLost(addr string) {
	r.mu.Lock()
	isNew := false
	var server detector.Server
	if s := r.core.Backends.ByAddr(addr); s != nil {
		isNew = r.core.RecordLost(r.clock.now(), s.Instance())
		server = checkedServer(s)
	}
	r.mu.Unlock()
	if r.recordReportedLost(server) || isNew {
		r.moveOffLost([]string{addr})
	}
}

// moveOffLost moves all streams off the lost servers at addrs, those with the least slack
// first, and sends the findings without delay.
func (r *Router) moveOffLost(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	r.sendFindingsNow()
	for _, m := range r.streams.leastSlackFirst(time.Now(), addrs) {
		if err := r.workers.Submit(func() { m.stream.moveOffLost(m.addr) }); err != nil {
			r.log.Warn().Err(err).Str("request", m.stream.x.req.ID).Msg("stream not moved off a lost server: all workers are busy; its stall timer will do it")
		}
	}
}

// sendFindingsNow makes sendLoads send without waiting for the end of its interval.
func (r *Router) sendFindingsNow() {
	select {
	case r.sendLoadsNow <- struct{}{}:
	default: // a send is already pending
	}
}

// moveOffSlow moves streams that wait for their first event off the slow servers at addrs.
// Streams that have begun stay: they run slower, but have no prompt left to process.
func (r *Router) moveOffSlow(addrs []string) {
	for _, addr := range addrs {
		for _, st := range r.streams.through(addr) {
			if st.begun() {
				continue
			}
			if err := r.workers.Submit(func() { st.moveOffSlow(addr) }); err != nil {
				r.log.Warn().Err(err).Str("request", st.x.req.ID).Msg("stream not moved off a slow server: all workers are busy")
			}
		}
	}
}

// moveOffReleased moves streams off the layers that a server releases.
func (r *Router) moveOffReleased(addr string, held backend.Layers) {
	for _, st := range r.streams.through(addr) {
		if !st.layersReleased(addr, held) {
			continue
		}
		if err := r.workers.Submit(func() { st.moveOffReleased(addr) }); err != nil {
			r.log.Warn().Err(err).Str("request", st.x.req.ID).Msg("stream not moved off released layers: all workers are busy")
		}
	}
}

// sendLoads sends this VM's loads or, as the aggregator, the sum of its failure domain, at
// regular intervals, and findings in between.
func (r *Router) sendLoads(ctx context.Context) {
	regularAt := r.clock.now()
	for ctx.Err() == nil {
		isRegular := r.waitToSendLoads(ctx, regularAt)
		if ctx.Err() != nil {
			return
		}
		r.runGuarded("loads", "send", func() { r.sendToPeers(isRegular) })
		if isRegular {
			r.locked(func() { regularAt = r.clock.now() + r.core.Loads.Interval() })
		}
	}
}

// waitToSendLoads waits until the next messages are due and reports whether they are the
// regular ones. Findings are sent before, as far as their budget allows.
func (r *Router) waitToSendLoads(ctx context.Context, regularAt time.Duration) (isRegular bool) {
	regular := time.NewTimer(regularAt - r.clock.now())
	defer regular.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-regular.C:
		return true
	case <-r.sendLoadsNow:
	}
	var delay time.Duration
	allowed := false
	r.locked(func() { delay, allowed = r.core.Loads.FindingsDelay(r.clock.now()) })
	if !allowed {
		r.metrics.findingsDelayed.Inc()
		delay = regularAt - r.clock.now() // the regular messages carry them too
	}
	spacing := time.NewTimer(delay)
	defer spacing.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-regular.C:
		return true
	case <-spacing.C:
		return !allowed
	}
}

// sendToPeers sends the regular messages, or those that carry findings only.
func (r *Router) sendToPeers(isRegular bool) {
	var sends []loads.Send
	var found poison.Result
	r.locked(func() {
		now := r.clock.now()
		found = r.core.ConfirmCrashes(now)
		if isRegular {
			sends = r.core.Tick(now)
		} else {
			sends = r.core.TickFindings(now)
		}
	})
	found.New = found.New || len(found.Blocked) > 0
	r.applyBlocks(found, r.settings.VM)
	bytes := 0
	for _, s := range sends {
		bytes += r.sendMessage(s)
	}
	if !isRegular {
		r.locked(func() { r.core.Loads.FindingsSent(r.clock.now(), bytes) })
	}
}

// encodeMessage encodes a message to other VMs. It names the sender's feature level, and its build
// if it holds the work of one VM: those of aggregators go to dozens of VMs.
func encodeMessage(m loads.Message) ([]byte, error) {
	m.FeatureLevel = featurelevel.Current
	if m.Scope == loads.ScopeVM {
		m.Build = obs.Version()
	}
	return cbor.Marshal(m)
}

// sendMessage sends a message and returns its size in bytes.
func (r *Router) sendMessage(s loads.Send) int {
	body, err := encodeMessage(s.Message)
	if err == nil && len(body) > maxDatagram {
		r.log.Warn().Int("bytes", len(body)).Msg("loads: message exceeds the size of a datagram")
		return 0
	}
	var to *net.UDPAddr
	if err == nil {
		to, err = net.ResolveUDPAddr("udp4", s.Addr)
	}
	if err == nil {
		_, err = r.peerConn.WriteToUDP(body, to)
	}
	if err != nil {
		r.metrics.loadSendErrors.Inc() // the next message carries the same loads
	}
	r.metrics.peerBytes.Add(len(body))
	return len(body)
}
