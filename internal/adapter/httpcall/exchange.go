package httpcall

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is one request whose answer is read as it arrives. Its connection is
// its own until Close.
type Exchange struct {
	// Header is the answer without its body.
	Response *http.Response
	client   *Client
	pool     *pool
	conn     *conn
	stop     func() bool
	whole    bool
	reused   bool
	keep     int
}

// Open sends head and body as they are to addr on one connection and reads the
// answer's header. The connection is closed when ctx ends. method is that of the
// request in head. The error is always an *Error.
func (c *Client) Open(ctx context.Context, addr, method string, head, body []byte, opt Options) (*Exchange, error) {
	deadline := opt.deadline(time.Now())
	p := c.pool(addr)
	cn, reused, err := c.connectClean(p, addr, opt, deadline)
	if err != nil {
		err.Addr, err.Op = addr, method
		return nil, err
	}
	x := &Exchange{client: c, pool: p, conn: cn, reused: reused, keep: c.cfg.MaxIdlePerAddr}
	x.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := x.send(method, head, body, deadline); err != nil {
		x.Close()
		err.Addr, err.Op = addr, method
		return nil, err
	}
	return x, nil
}

// connectClean hands out a kept connection only if nothing has arrived on it
// since its last answer: such bytes belong to no request.
func (c *Client) connectClean(p *pool, addr string, opt Options, deadline time.Time) (*conn, bool, *Error) {
	for {
		cn, err := c.connect(p, addr, opt, deadline)
		if err != nil {
			return nil, false, err
		}
		if !cn.used {
			return cn, false, nil
		}
		if cn.r.Buffered() == 0 && quiet(cn) {
			return cn, true, nil
		}
		_ = cn.Close()
		p.release()
	}
}

// quiet reports whether a kept connection is open and has nothing to read.
func quiet(cn *conn) bool {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && clean
}

func (x *Exchange) send(method string, head, body []byte, deadline time.Time) *Error {
	cn := x.conn
	cn.deadline = deadline
	if err := cn.SetDeadline(deadline); err != nil {
		return &Error{Kind: KindClosed, Sent: NotSent, Err: err}
	}
	if _, err := cn.Write(append(head, body...)); err != nil {
		return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
	}
	for {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: method})
		if err != nil {
			return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
		}
		if resp.StatusCode >= 200 {
			x.Response = resp
			return nil
		}
	}
}

// Reused reports whether the connection had carried an earlier request.
func (x *Exchange) Reused() bool { return x.reused }

// SetReadDeadline bounds the next reads of the body.
func (x *Exchange) SetReadDeadline(t time.Time) error { return x.conn.SetReadDeadline(t) }

// Read reads the body. io.EOF says that it is whole: it had a length or an
// explicit end, or its sender ended the connection in order.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		x.whole = true
	}
	return n, err
}

// ReadAll reads the whole body, at most limit bytes.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	var buf bytes.Buffer
	if n := x.Response.ContentLength; n > 0 && n <= limit {
		buf.Grow(int(n) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(x, limit+1))
	if err == nil && n > limit {
		err = errors.Newf("answer longer than %d bytes", limit)
	}
	return buf.Bytes(), err
}

// Close ends the exchange. The connection is kept only after a whole answer with
// a known end.
func (x *Exchange) Close() {
	live := x.stop()
	if x.whole && live && x.keep > 0 && !x.Response.Close && x.Response.Body != nil && x.conn.r.Buffered() == 0 {
		x.conn.used = true
		x.pool.put(x.conn, time.Now(), x.client.cfg.IdleTimeout, x.keep)
		return
	}
	_ = x.conn.Close()
	x.pool.release()
}

// KeepAtMost bounds the idle connections to the address that Close leaves.
func (x *Exchange) SetMaxIdleConns(n int) { x.keep = min(n, x.keep) }

// Retire makes Close end the connection also after a whole answer.
func (x *Exchange) DisableReuse() { x.keep = 0 }
