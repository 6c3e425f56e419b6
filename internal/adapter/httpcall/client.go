package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	bufferBytes = 16 << 10
	// maxErrorBytes limits how much of a response body an error's text contains.
	maxErrorBytes = 512
)

// Client makes calls to any number of addresses. It is safe for concurrent use.
type Client struct {
	cfg    Config
	memory *memoryBudget

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a Client, or an error if cfg is invalid.
func New(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Wrap(err, "invalid httpcall config")
	}
	return &Client{cfg: cfg, memory: &memoryBudget{limit: cfg.MaxBufferedBytes}, pools: map[string]*pool{}}, nil
}

// NewDefault returns a Client with DefaultConfig.
func NewDefault() *Client {
	c, err := New(DefaultConfig())
	if err != nil {
		panic(err) // DefaultConfig is valid; client_test.go checks it
	}
	return c
}

// Close closes every idle connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdleBefore(time.Now().Add(time.Hour))
	}
}

// Forget closes the idle connections to addr and removes its pool. Calls in progress
// are not affected.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	p := c.pools[addr]
	delete(c.pools, addr)
	c.mu.Unlock()
	if p != nil {
		p.closeIdleBefore(time.Now().Add(time.Hour))
	}
}

// Do sends req to addr once and reads the complete response into resp. It returns nil
// for any status. The error is always an *Error.
func (c *Client) Do(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt Options) error {
	return c.do(addr, req, resp, opt, nil)
}

// BodyReader reads a streamed body up to its end.
type BodyReader func(resp *fasthttp.Response, body io.Reader) error

// DoStream is Do for a streamed response. It calls read after the header has arrived;
// each read of the body must complete within idleTimeout. An error of read closes the
// connection and is returned inside an *Error with KindClosed or KindTimeout.
func (c *Client) DoStream(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt Options, idleTimeout time.Duration, read BodyReader) error {
	resp.StreamBody = true
	return c.do(addr, req, resp, opt, func(cn *conn) error {
		cn.readTimeout = idleTimeout
		defer func() { cn.readTimeout = 0 }()
		if err := read(resp, resp.BodyStream()); err != nil {
			return err
		}
		return resp.CloseBodyStream()
	})
}

// do makes one call. readBody, if not nil, reads a streamed body.
func (c *Client) do(addr string, req *fasthttp.Request, resp *fasthttp.Response, opt Options, readBody func(*conn) error) error {
	started := time.Now()
	deadline := opt.deadline(started)
	p := c.pool(addr)
	cn, _, err := c.connectWithoutPendingData(context.Background(), p, addr, opt, deadline)
	if err != nil {
		return setTarget(err, addr, req)
	}
	if opt.BeforeSend != nil {
		if cause := opt.BeforeSend(); cause != nil {
			_ = cn.Close()
			p.release()
			return setTarget(&Error{Kind: KindWithdrawn, Sent: NotSent, Err: cause}, addr, req)
		}
	}
	held := reservation{budget: c.memory}
	defer held.release()
	cn.readTimeout = opt.IdleTimeout
	err = roundTrip(cn, req, resp, deadline, c.cfg, &held)
	cn.readTimeout = 0
	if err == nil && readBody != nil {
		if bodyErr := readBody(cn); bodyErr != nil {
			err = &Error{Kind: kindOf(bodyErr), Sent: MayHaveArrived, Err: bodyErr}
		}
	}
	if err != nil {
		_ = cn.Close()
		p.release()
		if err.Kind == KindTimeout {
			// The other idle connections may have stopped delivering data as well.
			p.closeIdleBefore(started)
		}
		return setTarget(err, addr, req)
	}
	if req.ConnectionClose() || resp.ConnectionClose() {
		_ = cn.Close()
		p.release()
		return nil
	}
	cn.used = true
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

// connect returns an idle or a new connection that satisfies opt, without writing to it.
func (c *Client) connect(ctx context.Context, p *pool, addr string, opt Options, deadline time.Time) (*conn, *Error) {
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
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: c.cfg.KeepAlive, Control: limitReceiveBuffer}
	if c.cfg.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.cfg.LocalIP}
	}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release()
		return nil, &Error{Kind: KindDial, Sent: NotSent, Err: err}
	}
	cn := &conn{
		Conn:         raw,
		w:            bufio.NewWriterSize(raw, bufferBytes),
		lastAnswered: time.Now(),
	}
	cn.r = bufio.NewReaderSize(cn, bufferBytes)
	return cn, nil
}

// receiveBuffer is the kernel's buffer for bytes of a connection that were not read, in bytes. The kernel
// would let it grow to megabytes, and a server can fill it with a response that is not read as fast as
// it arrives.
const receiveBuffer = 64 << 10

// limitReceiveBuffer sets the size of a socket's receive buffer before it connects.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// roundTrip writes req and reads resp. Once writing has begun, every failure is
// MayHaveArrived.
func roundTrip(cn *conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, cfg Config, held *reservation) *Error {
	cn.deadline = deadline
	cn.held = held
	defer func() { cn.held = nil }()
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
	cn.limitHead, cn.headBytesLeft = true, cfg.MaxHeadBytes
	err = skipInterim(cn.r)
	cn.limitHead = false
	if err != nil {
		return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
	}
	resp.SkipBody = req.Header.IsHead()
	if resp.StreamBody {
		cn.held = nil // the body is passed on as it arrives
	}
	err = resp.ReadLimitBody(cn.r, cfg.MaxBodyBytes)
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
	switch {
	case errors.Is(err, errInvalidStatus), errors.Is(err, errFramedInterim), errors.Is(err, errInvalidVersion):
		return KindMalformed
	case errors.Is(err, fasthttp.ErrTimeout):
		return KindTimeout
	case errors.Is(err, errHeadTooLong), errors.Is(err, errMemoryBudget), errors.Is(err, errBodyTooLong), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return KindOversized
	}
	return KindClosed
}

func setTarget(e *Error, addr string, req *fasthttp.Request) *Error {
	e.Addr = addr
	e.Op = string(req.Header.Method()) + " " + string(req.URI().Path())
	return e
}

// NewStatusError returns the Error for a response with an unsuccessful status. The
// caller of NewStatusError sets sent to NotSent if the status means that the request
// did not run.
func NewStatusError(addr string, req *fasthttp.Request, resp *fasthttp.Response, sent Sent) *Error {
	e := &Error{
		Kind:       KindStatus,
		Sent:       sent,
		Status:     resp.StatusCode(),
		RetryAfter: RetryAfter(&resp.Header),
		Body:       string(resp.Body()),
	}
	return setTarget(e, addr, req)
}

// RetryAfter parses the Retry-After header, in whole or fractional seconds. It returns
// 0 if the header is missing, malformed or above one day.
func RetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek("Retry-After")), 64)
	if err != nil || seconds < 0 || seconds > 86400 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
