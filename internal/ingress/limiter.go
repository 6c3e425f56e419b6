package ingress

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/bodybudget"
	"github.com/catkinstair/catkinstair/internal/connbudget"
)

// Limits bounds what the clients of one server can take from its process.
type Limits struct {
	// Conns is the largest number of open connections.
	Conns int
	// BodyBytes is the size of the largest request body, in bytes.
	BodyBytes int
	// MemoryBytes is what the bodies of all requests and responses may hold together, in bytes;
	// a single request of BodyBytes fits always.
	MemoryBytes int64
	// IdleTimeout is how long a connection may be idle, ReceiveTimeout how long a request may
	// take from its first byte until it has been read whole.
	IdleTimeout, ReceiveTimeout time.Duration
}

// Refuse responds to a request that Limits refuse, for one of the errors of Bodies.Receive. The
// request may have run if ran is set: then it is the response that finds no memory.
type Refuse func(ctx *fasthttp.RequestCtx, err error, ran bool)

// Limiter applies Limits to a server.
type Limiter struct {
	limits Limits
	table  *Table
	bodies *Bodies
}

// NewLimiter returns a Limiter of a server with a duty. Times are on the clock now.
func NewLimiter(limits Limits, duty connbudget.Duty, now func() time.Duration) *Limiter {
	memory := max(limits.MemoryBytes, bodybudget.LimitForOne(int64(limits.BodyBytes)))
	bodies := NewBodies(bodybudget.DefaultConfig(memory), now)
	return &Limiter{limits: limits, bodies: bodies, table: NewTable(duty, limits.Conns, now, bodies)}
}

// Apply makes a server keep to the limits. It is called before the server serves a Listener.
func (l *Limiter) Apply(s *fasthttp.Server, refuse Refuse) {
	s.StreamRequestBody, s.MaxRequestBodySize, s.DisablePreParseMultipartForm = true, StreamedPrefetch, true
	s.ErrorHandler, s.ConnState = RefuseUnread, RecordState
	handler := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if err := l.bodies.Receive(ctx, l.limits.BodyBytes, time.Now().Add(l.limits.ReceiveTimeout)); err != nil {
			refuse(ctx, err, false)
			CloseUnread(ctx)
			return
		}
		handler(ctx)
		if !ctx.Response.IsBodyStream() && !l.bodies.Hold(ctx, len(ctx.Response.Body())) {
			ctx.Response.Reset()
			refuse(ctx, ErrNoMemory, true)
			ctx.SetConnectionClose()
		}
	}
}

// Listener returns a listener for the server.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return Listener{Listener: inner, Table: l.table}
}

// Run closes connections that are due until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	tick := time.NewTicker(CheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.table.CloseDue(l.limits.IdleTimeout, l.limits.ReceiveTimeout)
		}
	}
}
