package router

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/detector"
)

// serverViewInterval is the interval at which the detector gets the servers and VMs in force.
// Watch connections to servers that drain end within it.
const serverViewInterval = 250 * time.Millisecond

// watchServers gives the detector the servers and VMs in force and keeps the watch connections,
// until ctx ends.
func (r *Router) watchServers(ctx context.Context) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for ctx.Err() == nil {
		r.runGuarded("detector", "servers", func() { r.updateWatches(ctx, &conns) })
		pause(ctx, serverViewInterval)
	}
}

// updateWatches opens and closes watch connections as the servers and VMs in force require.
func (r *Router) updateWatches(ctx context.Context, conns *sync.WaitGroup) {
	services, servers, vms := r.checkedServers()
	now := r.clock.now()
	d := r.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services = services
	if !slices.Equal(vms, d.vms) {
		d.vms = vms
		d.core.SetVMs(vms)
	}
	d.core.SetServers(now, servers)
	wanted := map[backend.Instance]bool{}
	for _, s := range d.core.Watched() {
		wanted[s.Instance] = true
		if d.watches[s.Instance] == nil {
			watchCtx, cancel := context.WithCancel(ctx)
			w := &watchConn{server: s, cancel: cancel, conns: make(chan net.Conn)}
			d.watches[s.Instance] = w
			conns.Go(func() { r.keepWatch(watchCtx, w) })
		}
	}
	for in, w := range d.watches {
		if !wanted[in] {
			w.cancel()
			delete(d.watches, in)
		}
	}
}

// checkedServers returns the services whose streams the detector moves, their servers that
// want connections, and the names of all VMs, sorted.
func (r *Router) checkedServers() (services map[string]bool, servers []detector.Server, vms []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services = map[string]bool{}
	table := r.core.Table()
	if table == nil {
		return services, nil, nil
	}
	cfg := table.Config()
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		for _, share := range route.Split {
			if detects(route) && cfg.Services[share.Service].Engine != nil {
				services[share.Service] = true
			}
		}
	}
	now := r.clock.now()
	for _, id := range r.core.Backends.IDs() {
		s := r.core.Backends.Get(id)
		if services[s.Service] && s.State == backend.Ready && s.Held.Len() > 0 && !r.core.Paused(now, s.Instance()) {
			servers = append(servers, checkedServer(s))
		}
	}
	for name := range r.members {
		vms = append(vms, name)
	}
	slices.Sort(vms)
	return services, servers, vms
}

const (
	// minWatchPause is the pause before a watch connection is opened again. It doubles with
	// each connection that ends within minWatchLife, up to maxWatchPause.
	minWatchPause = 100 * time.Millisecond
	maxWatchPause = 10 * time.Second
	minWatchLife  = time.Second
)

// watchConn is the watch connection to a server, while it is wanted.
type watchConn struct {
	server detector.Server
	cancel context.CancelFunc
	conns  chan net.Conn // open ones of checks
	open   atomic.Bool
}

// offer hands over an open connection, and reports false if it is not wanted.
func (w *watchConn) offer(conn net.Conn) bool {
	select {
	case w.conns <- conn:
		return true
	default:
		return false
	}
}

// keepWatch keeps a watch connection until ctx ends. Its end is evidence, which starts a check;
// the connection of the check becomes the next watch connection.
func (r *Router) keepWatch(ctx context.Context, w *watchConn) {
	wait := minWatchPause
	pause(ctx, minWatchPause)
	for ctx.Err() == nil {
		conn, err := r.detector.dial(ctx, w.server.Addr, r.cfg.DialTimeout)
		if outcomeOf(err) == detector.Refused {
			r.suspectServer(w.server.ID, detector.Reset)
		}
		for err == nil && conn != nil {
			openedAt := time.Now()
			w.open.Store(true)
			awaitEnd(ctx, conn)
			w.open.Store(false)
			if ctx.Err() != nil {
				return
			}
			conn = nil
			lived := time.Since(openedAt) >= minWatchLife
			if lived {
				wait = minWatchPause
			}
			offered := make(chan net.Conn, 1)
			go func() { offered <- w.accept(ctx, lived) }()
			r.suspectServer(w.server.ID, detector.WatchClosed)
			conn = <-offered
		}
		pause(ctx, wait)
		wait = min(2*wait, maxWatchPause)
	}
}

// accept waits for a connection of a check, nil if there is none in time. A server that has
// closed its last one soon gets a pause instead.
func (w *watchConn) accept(ctx context.Context, wanted bool) net.Conn {
	if !wanted {
		return nil
	}
	t := time.NewTimer(minWatchPause)
	defer t.Stop()
	select {
	case conn := <-w.conns:
		return conn
	case <-ctx.Done():
	case <-t.C:
	}
	return nil
}

// awaitEnd waits until the server or ctx ends a connection, and closes it. The server sends
// nothing, since it was asked nothing.
func awaitEnd(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var b [1]byte
	_, _ = conn.Read(b[:]) // any result ends the watch
}
