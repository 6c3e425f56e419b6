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

// quiet drops the HTTP library's notes on cut connections: cutting them is the
// purpose here.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// dieWait bounds the wait for requests that are being served at the end.
const dieWait = time.Second

// endpoint is one stand-in on one listener, with its faults.
type endpoint struct {
	// name is the fault target, for example a server id.
	name   string
	faults *faultSet
	conns  *connSet
	handle func(*fasthttp.RequestCtx)
	// onFault is told of each fault after it was switched; may be nil.
	onFault func(Fault)
	// serveFaults answers /fault; by default the faults are the endpoint's own.
	serveFaults func(*fasthttp.RequestCtx)

	mu     sync.Mutex
	addr   string
	server *fasthttp.Server
	// listener is closed with the server, which may not have begun to serve it.
	listener net.Listener
	stopped  chan struct{}
}

func newEndpoint(name string, handle func(*fasthttp.RequestCtx)) *endpoint {
	e := &endpoint{
		name:    name,
		faults:  newFaultSet(uint64(len(name))),
		conns:   &connSet{conns: map[*trackedConn]struct{}{}},
		handle:  handle,
		stopped: make(chan struct{}),
	}
	e.serveFaults = e.serveOwnFaults
	return e
}

// start listens on addr; port 0 takes a free one, which Addr then names.
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
		Logger:                quiet{},
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
		Concurrency:           1 << 16,
	}
	e.listener = l
	server := e.server
	go func() { _ = server.Serve(&trackedListener{Listener: l, set: e.conns}) }()
	return nil
}

// Addr returns "ip:port".
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
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	_ = listener.Close()
	e.conns.each((*trackedConn).reset)
	ctx, cancel := context.WithTimeout(context.Background(), dieWait)
	defer cancel()
	_ = server.ShutdownWithContext(ctx)
	e.conns.each((*trackedConn).reset)
}

// revive listens again on the old address.
func (e *endpoint) revive() error {
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

// apply switches a fault.
func (e *endpoint) apply(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	switch f.Kind {
	case Silent:
		e.conns.each(func(c *trackedConn) { c.silent.Store(true) })
	case Reset:
		e.conns.each((*trackedConn).reset)
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
		e.switchOffLater(f)
	}
	return nil
}

func (e *endpoint) applyDie(f Fault) error {
	if f.Off {
		return e.revive()
	}
	// Not on the caller's goroutine: it may be serving a connection of this
	// very endpoint.
	go e.die()
	return nil
}

func (e *endpoint) switchOffLater(f Fault) {
	off := Fault{Kind: f.Kind, Off: true}
	time.AfterFunc(time.Duration(f.DurationMillis)*time.Millisecond, func() {
		select {
		case <-e.stopped:
		default:
			_ = e.apply(off)
		}
	})
}

// dispatch serves one request under the faults that are on.
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
	if f, ok := e.faults.meets(Slow, path); ok {
		e.pause(f.delay())
	}
	if f, ok := e.faults.meets(Down, path); ok {
		e.refuse(ctx, f)
		return
	}
	if path == "/healthz" {
		ctx.SetBodyString("ok\n")
		return
	}
	e.handle(ctx)
	if ctx.IsGet() {
		return
	}
	if f, ok := e.faults.meets(LoseReply, path); ok {
		cut(ctx, f.Hang)
	}
}

func (e *endpoint) refuse(ctx *fasthttp.RequestCtx, f Fault) {
	if f.Hard {
		cut(ctx, false)
		return
	}
	fail(ctx, fasthttp.StatusServiceUnavailable, "down")
}

func (e *endpoint) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.stopped:
	}
}

func (e *endpoint) serveOwnFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		reply(ctx, FaultList{Faults: e.faults.list()})
		return
	}
	takeFault(ctx, e.apply)
}

// takeFault reads a fault from a request and applies it.
func takeFault(ctx *fasthttp.RequestCtx, apply func(Fault) error) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if err := apply(f); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
	}
}

// cut ends the request's connection without a reply, or lets it go silent.
func cut(ctx *fasthttp.RequestCtx, hang bool) {
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

func reply(ctx *fasthttp.RequestCtx, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

type errorBody struct {
	Error string `json:"error"`
}

func fail(ctx *fasthttp.RequestCtx, status int, text string) {
	reply(ctx, errorBody{Error: text})
	ctx.SetStatusCode(status)
}
