package standin

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// discardLogger discards the HTTP library's log lines about broken connections,
// which the stand-ins break on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// shutdownTimeout bounds the wait for open requests when a server shuts down.
const shutdownTimeout = time.Second

// endpoint is the HTTP server of one stand-in, with its faults.
type endpoint struct {
	// name is the fault target, for example a server ID.
	name    string
	faults  *faultSet
	conns   *connSet
	handler func(*fasthttp.RequestCtx)
	// onFault is called after each applied fault; may be nil.
	onFault func(Fault)
	// serveFaults serves /fault; by default for this endpoint's own faults.
	serveFaults func(*fasthttp.RequestCtx)

	mu     sync.Mutex
	addr   string
	server *fasthttp.Server
	// listener is closed separately because server may not serve it yet.
	listener net.Listener
	stopped  chan struct{}
}

func newEndpoint(name string, handler func(*fasthttp.RequestCtx)) *endpoint {
	e := &endpoint{
		name:    name,
		faults:  newFaultSet(uint64(len(name))),
		conns:   &connSet{conns: map[*trackedConn]struct{}{}},
		handler: handler,
		stopped: make(chan struct{}),
	}
	e.serveFaults = e.serveOwnFaults
	return e
}

// start listens on addr. Port 0 selects a free port, which Addr returns.
func (e *endpoint) start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "stand-in %s", e.name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = l.Addr().String()
	e.server = &fasthttp.Server{
		Handler:               e.dispatch,
		Logger:                discardLogger{},
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
		Concurrency:           1 << 16,
	}
	e.listener = l
	server := e.server
	go func() { _ = server.Serve(&trackedListener{Listener: l, conns: e.conns}) }()
	return nil
}

// Addr returns the listen address as "ip:port".
func (e *endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

func (e *endpoint) alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server != nil
}

// die closes the listener and resets every connection.
func (e *endpoint) die() {
	e.mu.Lock()
	server, listener := e.server, e.listener
	e.mu.Unlock()
	if server == nil {
		return
	}
	_ = listener.Close()
	e.conns.forEach((*trackedConn).reset)
	e.mu.Lock()
	e.server = nil // only now does a call find nobody
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.ShutdownWithContext(ctx)
	e.conns.forEach((*trackedConn).reset)
}

// restart listens again on the previous address.
func (e *endpoint) restart() error {
	if e.alive() {
		return nil
	}
	return e.start(e.Addr())
}

func (e *endpoint) stop() {
	e.mu.Lock()
	select {
	case <-e.stopped:
	default:
		close(e.stopped)
	}
	e.mu.Unlock()
	e.die()
}

// apply switches a fault on or off.
func (e *endpoint) apply(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	switch f.Kind {
	case Silent:
		e.conns.forEach(func(c *trackedConn) { c.silent.Store(true) })
	case Reset:
		e.conns.forEach((*trackedConn).reset)
	default:
		e.faults.set(f)
	}
	if f.Kind == Die {
		if err := e.applyDie(f); err != nil {
			return err
		}
	}
	if e.onFault != nil {
		e.onFault(f)
	}
	if f.DurationMillis > 0 && !f.Off {
		e.scheduleSwitchOff(f)
	}
	return nil
}

func (e *endpoint) applyDie(f Fault) error {
	if f.Off {
		return e.restart()
	}
	// In its own goroutine: die waits for open requests, and the caller may be
	// serving one.
	go e.die()
	return nil
}

func (e *endpoint) scheduleSwitchOff(f Fault) {
	off := Fault{Kind: f.Kind, Off: true}
	time.AfterFunc(time.Duration(f.DurationMillis)*time.Millisecond, func() {
		select {
		case <-e.stopped:
		default:
			_ = e.apply(off)
		}
	})
}

// dispatch handles one request subject to the active faults.
func (e *endpoint) dispatch(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/fault":
		e.serveFaults(ctx)
		return
	case "/metrics":
		metrics.WritePrometheus(ctx, true)
		return
	}
	if f, ok := e.faults.match(Slow, path); ok {
		e.sleep(f.delay())
	}
	if f, ok := e.faults.match(Down, path); ok {
		e.serveDown(ctx, f)
		return
	}
	if path == "/healthz" {
		ctx.SetBodyString("ok\n")
		return
	}
	e.handler(ctx)
	if ctx.IsGet() {
		return
	}
	if f, ok := e.faults.match(LoseReply, path); ok {
		dropConn(ctx, f.Hang)
	}
}

func (e *endpoint) serveDown(ctx *fasthttp.RequestCtx, f Fault) {
	if f.Hard {
		dropConn(ctx, false)
		return
	}
	writeError(ctx, fasthttp.StatusServiceUnavailable, "down")
}

func (e *endpoint) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.stopped:
	}
}

func (e *endpoint) serveOwnFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		writeJSON(ctx, FaultList{Faults: e.faults.list()})
		return
	}
	applyPostedFault(ctx, e.apply)
}

// applyPostedFault decodes a fault from the request body and applies it.
func applyPostedFault(ctx *fasthttp.RequestCtx, apply func(Fault) error) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if err := apply(f); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
	}
}

// dropConn resets the request's connection without a reply; with hang it makes
// the connection silent instead.
func dropConn(ctx *fasthttp.RequestCtx, hang bool) {
	c, ok := ctx.Conn().(*trackedConn)
	if !ok {
		return
	}
	if hang {
		c.silent.Store(true)
		return
	}
	c.reset()
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

type errorBody struct {
	Error string `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, text string) {
	writeJSON(ctx, errorBody{Error: text})
	ctx.SetStatusCode(status)
}
