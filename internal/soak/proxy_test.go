package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections on loopback to one address.
type proxy struct {
	addr, target string
	listener     net.Listener

	mu        sync.Mutex
	linkState linkState
	changed   chan struct{} // closed when linkState changes
	conns     map[*net.TCPConn]bool
	closed    bool
}

// linkState is the state of the link that a proxy simulates. Data that is held back is
// delivered when the link works again, as over a real network.
type linkState struct {
	delay                      time.Duration
	holdToTarget, holdToClient bool
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{addr: l.Addr().String(), target: target, listener: l, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(in *net.TCPConn) {
	if !p.awaitLink(func(l linkState) bool { return l.holdToTarget }) {
		in.Close()
		return
	}
	// The target sees the address of the VM, which has links of its own.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: in.RemoteAddr().(*net.TCPAddr).IP}}
	c, err := dialer.Dial("tcp4", p.target)
	if err != nil {
		_ = in.SetLinger(0) // resets, as a port without a listener does
		in.Close()
		return
	}
	out := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(out, in, func(l linkState) bool { return l.holdToTarget }) })
	copies.Go(func() { p.copy(in, out, func(l linkState) bool { return l.holdToClient }) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
	in.Close()
	out.Close()
}

func (p *proxy) copy(to, from *net.TCPConn, isHeld func(linkState) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !p.awaitLink(isHeld) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // the peer sees EOF, or is already closed
			return
		}
	}
}

// awaitLink blocks while isHeld reports true, then for the link's delay. It returns false
// if the proxy was closed.
func (p *proxy) awaitLink(isHeld func(linkState) bool) bool {
	for {
		p.mu.Lock()
		state, changed, closed := p.linkState, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !isHeld(state) {
			time.Sleep(state.delay)
			return true
		}
		<-changed
	}
}

func (p *proxy) setLink(l linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkState = l
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetConns closes all connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.setLink(linkState{})
	p.listener.Close()
	p.resetConns()
}
