package httpcall

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	bufferBytes = 16 << 10
	// maxErrorBytes bounds the part of an answer's body in an error's text.
	maxErrorBytes = 512
)

// Client makes calls to any number of addresses. It is safe for concurrent
// use.
type Client struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a Client, or the faults of cfg.
func New(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Wrap(err, "httpcall settings")
	}
	return &Client{cfg: cfg, pools: map[string]*pool{}}, nil
}

// Default returns a Client with the default settings.
func NewDefault() *Client {
	return &Client{cfg: DefaultConfig(), pools: map[string]*pool{}}
}

// Close closes every idle connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.dropBefore(time.Now().Add(time.Hour))
	}
}

// Forget closes the idle connections to addr and forgets the address. Calls
// that are under way are not touched.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	p := c.pools[addr]
	delete(c.pools, addr)
	c.mu.Unlock()
	if p != nil {
		p.dropBefore(time.Now().Add(time.Hour))
	}
}

// Do sends req to addr once and reads the whole answer into resp. Any status
// is a success here. The error is always an *Error.
func (c *Client) Do(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt Options) error {
	return c.exchange(addr, req, resp, opt, nil)
}

// BodyReader reads a streamed body up to its end.
type BodyReader func(resp *fasthttp.Response, body io.Reader) error

// DoStream is Do for an answer that comes in parts: read is called once the
// header is there, and each part has to come within idle. An error of read ends
// the connection and is returned inside an *Error with KindClosed or
// KindTimeout.
func (c *Client) DoStream(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt Options, idle time.Duration, read BodyReader) error {
	resp.StreamBody = true
	return c.exchange(addr, req, resp, opt, func(cn *conn) error {
		cn.idleRead = idle
		defer func() { cn.idleRead = 0 }()
		if err := read(resp, resp.BodyStream()); err != nil {
			return err
		}
		return resp.CloseBodyStream()
	})
}

// exchange makes one call; finish, if not nil, reads a streamed body.
func (c *Client) exchange(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt Options, finish func(*conn) error) error {
	started := time.Now()
	deadline := opt.deadline(started)
	p := c.pool(addr)
	cn, err := c.connect(p, addr, opt, deadline)
	if err != nil {
		return withPlace(err, addr, req)
	}
	err = roundTrip(cn, req, resp, deadline, c.cfg.MaxBodyBytes)
	if err == nil && finish != nil {
		if cause := finish(cn); cause != nil {
			err = &Error{Kind: kindOf(cause), Sent: MayHaveArrived, Err: cause}
		}
	}
	if err != nil {
		_ = cn.Close()
		p.release()
		if err.Kind == KindTimeout {
			// The other idle connections may have gone silent as well.
			p.dropBefore(started)
		}
		return withPlace(err, addr, req)
	}
	if req.ConnectionClose() || resp.ConnectionClose() {
		_ = cn.Close()
		p.release()
		return nil
	}
	p.put(cn, time.Now(), c.cfg.IdleTimeout, c.cfg.MaxIdlePerAddr)
	return nil
}

func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[addr]
	if !ok {
		p = &pool{}
		c.pools[addr] = p
	}
	return p
}

// connect returns a connection that meets opt. Nothing is written on it.
func (c *Client) connect(p *pool, addr string, opt Options, deadline time.Time) (*conn, *Error) {
	now := time.Now()
	if !opt.NewConnection {
		maxIdle := c.cfg.IdleTimeout
		if opt.MaxIdleTime > 0 {
			maxIdle = min(maxIdle, opt.MaxIdleTime)
		}
		if cn := p.take(now.Add(-maxIdle)); cn != nil {
			return cn, nil
		}
	}
	if err := p.reserve(c.cfg.MaxConnsPerAddr); err != nil {
		return nil, &Error{Kind: KindNoConnection, Sent: NotSent, Err: err}
	}
	timeout := min(c.cfg.DialTimeout, deadline.Sub(now))
	if timeout <= 0 {
		p.release()
		return nil, &Error{Kind: KindDial, Sent: NotSent, Err: errors.New("deadline passed before dialing")}
	}
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: c.cfg.KeepAlive}
	raw, err := dialer.Dial("tcp", addr)
	if err != nil {
		p.release()
		return nil, &Error{Kind: KindDial, Sent: NotSent, Err: err}
	}
	cn := &conn{
		Conn:     raw,
		w:        bufio.NewWriterSize(raw, bufferBytes),
		answered: time.Now(),
	}
	cn.r = bufio.NewReaderSize(cn, bufferBytes)
	return cn, nil
}

// roundTrip writes req and reads resp. From its first line on the request may
// have arrived.
func roundTrip(cn *conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, maxBody int) *Error {
	cn.deadline = deadline
	if err := cn.SetDeadline(deadline); err != nil {
		return &Error{Kind: KindClosed, Sent: NotSent, Err: err}
	}
	err := req.Write(cn.w)
	if err == nil {
		err = cn.w.Flush()
	}
	if err != nil {
		return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
	}
	resp.SkipBody = req.Header.IsHead()
	err = resp.ReadLimitBody(cn.r, maxBody)
	if err != nil {
		return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
	}
	return nil
}

func kindOf(err error) Kind {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return KindTimeout
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return KindTimeout
	}
	return KindClosed
}

func withPlace(e *Error, addr string, req *fasthttp.Request) *Error {
	e.Addr = addr
	e.Op = string(req.Header.Method()) + " " + string(req.URI().Path())
	return e
}

// StatusError describes an answer whose status is no success. Callers say with
// sent whether the status means that the request did not run.
func NewStatusError(addr string, req *fasthttp.Request, resp *fasthttp.Response, sent Sent) *Error {
	e := &Error{
		Kind:       KindStatus,
		Sent:       sent,
		Status:     resp.StatusCode(),
		RetryAfter: RetryAfter(&resp.Header),
		Body:       string(resp.Body()),
	}
	return withPlace(e, addr, req)
}

// RetryAfter reads the Retry-After header, whole or fractional seconds; zero
// when there is none or it is malformed.
func RetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64)
	if err != nil || seconds < 0 || seconds > 86400 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
