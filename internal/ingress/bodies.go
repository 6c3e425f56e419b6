package ingress

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/bodybudget"
)

const (
	// StreamedPrefetch is MaxRequestBodySize of a server whose handler reads bodies with Receive:
	// fasthttp reads so many bytes of a body before it calls the handler.
	StreamedPrefetch = 1
	// firstBodyBytes is the first buffer of a body of unknown or larger size, in bytes.
	firstBodyBytes = 4 << 10
	// maxDiscardedBytes is how much of the body of a refused request is read, so that its
	// connection can be used again.
	maxDiscardedBytes = 64 << 10
	// discardTimeout bounds the time for that.
	discardTimeout = time.Second
)

// The reasons why a request was not read whole.
var (
	ErrBodyTooLarge  = errors.New("the body is larger than allowed")
	ErrNoMemory      = errors.New("other bodies hold the memory")
	ErrBodyTooSlow   = errors.New("the body did not arrive in time")
	ErrBodyMalformed = errors.New("the body was cut or is malformed")
)

// Bodies holds the bodies of all requests and responses of the process, on every listener.
type Bodies struct {
	now func() time.Duration

	mu     sync.Mutex
	budget *bodybudget.Budget[*Conn]
}

// NewBodies returns Bodies that hold nothing. Times are on the clock now.
func NewBodies(cfg bodybudget.Config, now func() time.Duration) *Bodies {
	return &Bodies{now: now, budget: bodybudget.New[*Conn](cfg)}
}

// Stats returns the counts.
func (t *Bodies) Stats() bodybudget.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Stats()
}

func (t *Bodies) open(b *bodybudget.Transfer[*Conn]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Open(t.now(), b)
}

// reserve reports whether b may hold n more bytes. Transfers that are given up for it end.
func (t *Bodies) reserve(b *bodybudget.Transfer[*Conn], n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	victims, ok := t.budget.Reserve(t.now(), b, int64(n))
	for _, v := range victims {
		v.Owner.giveUp()
	}
	return ok
}

func (t *Bodies) move(b *bodybudget.Transfer[*Conn], n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Move(t.now(), b, n)
}

func (t *Bodies) shrink(b *bodybudget.Transfer[*Conn], n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Shrink(b, int64(n))
}

func (t *Bodies) complete(b *bodybudget.Transfer[*Conn]) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Complete(b)
}

func (t *Bodies) release(transfers ...*bodybudget.Transfer[*Conn]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range transfers {
		t.budget.Release(b)
	}
}

// Receive reads the body of a request of at most limit bytes, until a time on the wall clock at
// the latest, into memory that is reserved until the response is written. After an error the
// request has not been read whole, and its connection is to be closed (CloseUnread).
func (t *Bodies) Receive(ctx *fasthttp.RequestCtx, limit int, by time.Time) error {
	c := connOf(ctx)
	if c == nil || !ctx.Request.IsBodyStream() {
		return receivedWhole(ctx)
	}
	announced := ctx.Request.Header.ContentLength() // negative for a chunked body
	if announced > limit {
		return ErrBodyTooLarge
	}
	if announced >= 0 {
		limit = announced
	}
	if err := c.SetReadDeadline(by); err != nil {
		return err
	}
	t.open(&c.request)
	body, err := t.readBody(ctx.RequestBodyStream(), &c.request, limit)
	switch {
	case err != nil:
	case len(body) < announced: // fasthttp ends the stream of a body that was cut like a whole one
		err = ErrBodyMalformed
	case !t.complete(&c.request):
		err = ErrNoMemory
	}
	if err != nil {
		t.release(&c.request)
		return err
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read notices
	ctx.Request.SetBodyRaw(body)
	ctx.Request.Header.SetContentLength(len(body))
	return receivedWhole(ctx)
}

func receivedWhole(ctx *fasthttp.RequestCtx) error {
	if !Received(ctx) {
		return ErrBodyTooSlow
	}
	return nil
}

// readBody reads a body to its end, in buffers that double as they fill up.
func (t *Bodies) readBody(stream io.Reader, b *bodybudget.Transfer[*Conn], limit int) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) && len(body) < limit || body == nil {
			grown := min(max(2*cap(body), firstBodyBytes), limit)
			if !t.reserve(b, grown) {
				return nil, ErrNoMemory
			}
			old := body
			body = make([]byte, len(old), grown)
			copy(body, old)
			t.shrink(b, cap(old))
		}
		free := body[len(body):cap(body)]
		if len(free) == 0 {
			free = make([]byte, 1) // for the end of the body, or a byte too many
		}
		n, err := stream.Read(free)
		if n > 0 && len(body)+n > limit {
			return nil, ErrBodyTooLarge
		}
		body = body[:len(body)+n]
		if n > 0 {
			t.move(b, n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case isTimeout(err) && b.Owner.givenUp.Load():
			return nil, ErrNoMemory
		case isTimeout(err):
			return nil, ErrBodyTooSlow
		case err != nil:
			return nil, errors.Mark(err, ErrBodyMalformed)
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Discard reads what is left of the body of a refused request, if it is short and arrives soon;
// otherwise the connection is closed after the response, which has to be set before.
func Discard(ctx *fasthttp.RequestCtx) {
	if !ctx.Request.IsBodyStream() {
		return
	}
	c := connOf(ctx)
	if c == nil || ctx.Request.Header.ContentLength() > maxDiscardedBytes || c.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		CloseUnread(ctx)
		return
	}
	if n, err := io.CopyN(io.Discard, ctx.RequestBodyStream(), maxDiscardedBytes+1); n > maxDiscardedBytes || !errors.Is(err, io.EOF) {
		CloseUnread(ctx)
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read notices
}

// Hold reserves memory for the response to a request until it is written, and reports false if
// there is none.
func (t *Bodies) Hold(ctx *fasthttp.RequestCtx, bytes int) bool {
	c := connOf(ctx)
	if c == nil || bytes == 0 {
		return true
	}
	t.open(&c.response)
	if t.reserve(&c.response, bytes) {
		return true
	}
	t.release(&c.response)
	return false
}
