package httpcall

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is one request whose response is read as it arrives. It uses its connection
// exclusively until Close.
type Exchange struct {
	// Response holds the status and the header. Read the body with Read or ReadAll.
	Response          *http.Response
	client            *Client
	pool              *pool
	conn              *conn
	stopCloseOnCancel func() bool
	complete          bool
	readErr           error // of an earlier Read, io.EOF included
	reused            bool
	maxIdleConns      int
	held              reservation
}

// errBodyTooLong is the cause of a call whose response body exceeds the limit of ReadAll.
var errBodyTooLong = errors.New("response body is too long")

// Open sends head and body unchanged to addr on one connection and reads the response
// header. method is the method of the request in head. The connection is closed when
// ctx ends. The error is always an *Error.
func (c *Client) Open(ctx context.Context, addr, method string, head, body []byte, opt Options) (*Exchange, error) {
	deadline := opt.deadline(time.Now())
	p := c.pool(addr)
	cn, reused, err := c.connectWithoutPendingData(ctx, p, addr, opt, deadline)
	if err != nil {
		err.Addr, err.Op = addr, method
		return nil, err
	}
	x := &Exchange{client: c, pool: p, conn: cn, reused: reused, maxIdleConns: c.cfg.MaxIdlePerAddr, held: reservation{budget: c.memory}}
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if opt.BeforeSend != nil {
		if cause := opt.BeforeSend(); cause != nil {
			x.Close()
			return nil, &Error{Kind: KindWithdrawn, Sent: NotSent, Addr: addr, Op: method, Err: cause}
		}
	}
	if err := x.send(method, head, body, deadline); err != nil {
		x.Close()
		err.Addr, err.Op, err.Reused = addr, method, reused
		return nil, err
	}
	return x, nil
}

// connectWithoutPendingData returns a pooled connection only if no bytes have arrived on
// it since its last response, because such bytes belong to no request. Otherwise it
// closes that connection and tries the next one.
func (c *Client) connectWithoutPendingData(ctx context.Context, p *pool, addr string, opt Options, deadline time.Time) (*conn, bool, *Error) {
	for {
		cn, err := c.connect(ctx, p, addr, opt, deadline)
		if err != nil {
			return nil, false, err
		}
		if !cn.used {
			return cn, false, nil
		}
		if cn.r.Buffered() == 0 && hasNoPendingData(cn) {
			return cn, true, nil
		}
		_ = cn.Close()
		p.release()
	}
}

// hasNoPendingData reports whether a pooled connection is open and has nothing to
// read.
func hasNoPendingData(cn *conn) bool {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && noData
}

func (x *Exchange) send(method string, head, body []byte, deadline time.Time) *Error {
	cn := x.conn
	cn.deadline = deadline
	if err := cn.SetDeadline(deadline); err != nil {
		return &Error{Kind: KindClosed, Sent: NotSent, Err: err}
	}
	if err := writeRequest(cn, head, body); err != nil {
		return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
	}
	cn.limitHead, cn.headBytesLeft = true, x.client.cfg.MaxHeadBytes
	defer func() { cn.limitHead = false }()
	for {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: method})
		if err != nil {
			return &Error{Kind: kindOf(err), Sent: MayHaveArrived, Err: err}
		}
		if err := checkFraming(method, resp); err != nil {
			return &Error{Kind: KindMalformed, Sent: MayHaveArrived, Err: err}
		}
		final, err := isFinal(resp.StatusCode)
		if err == nil && !final {
			err = checkInterim(resp)
		}
		if err != nil {
			return &Error{Kind: KindMalformed, Sent: MayHaveArrived, Err: err}
		}
		if final {
			x.Response = resp
			return nil
		}
	}
}

// writeRequest writes a request, a short one at once and a longer one without a copy of its body.
func writeRequest(w io.Writer, head, body []byte) error {
	if len(body) <= bufferBytes {
		head, body = append(head, body...), nil
	}
	if _, err := w.Write(head); err != nil || len(body) == 0 {
		return err
	}
	_, err := w.Write(body)
	return err
}

// The causes of calls whose response does not say reliably where its body ends.
var (
	errInvalidHeaderName = errors.New("invalid name of a header in the response")
	errUnknownLength     = errors.New("HTTP/1.0 response without a length")
)

// checkFraming returns an error for a response whose framing net/http may have ignored, so that the
// end of the connection would pass for the end of the body: it keeps a name with a blank before the
// colon as an unknown header, and drops the Transfer-Encoding of an HTTP/1.0 response.
func checkFraming(method string, resp *http.Response) error {
	for name := range resp.Header {
		if strings.ContainsAny(name, " \t") {
			return errors.Wrapf(errInvalidHeaderName, "%q", name)
		}
	}
	if !resp.ProtoAtLeast(1, 1) && resp.ContentLength < 0 && method != http.MethodHead {
		return errUnknownLength
	}
	return nil
}

// Reused reports whether the connection has carried an earlier request.
func (x *Exchange) Reused() bool { return x.reused }

// SetReadDeadline sets the deadline of later reads of the body.
func (x *Exchange) SetReadDeadline(t time.Time) error { return x.conn.SetReadDeadline(t) }

// Read reads the body. io.EOF means that the body is complete: its length or chunked
// encoding marked the end, or the server closed the connection without an error. Any error is
// final: a body that was cut has no end later.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.readErr != nil {
		return 0, x.readErr
	}
	n, err := x.Response.Body.Read(b)
	x.readErr = err
	if errors.Is(err, io.EOF) {
		x.complete = true
	}
	return n, err
}

// Hold tells how many bytes of what was read the caller keeps, in place of what it kept before. It returns
// an error if that is too large a share of Config.MaxBufferedBytes. The share is held until Close.
func (x *Exchange) Hold(n int) error { return x.held.set(n) }

// ReadAll reads the body to its end. It returns an error if the body exceeds limit bytes,
// or if it holds too large a share of Config.MaxBufferedBytes. The share is held until
// Close.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	if n := x.Response.ContentLength; n > 0 && n <= limit && x.Response.Body != http.NoBody {
		return x.readLength(int(n))
	}
	var buf bytes.Buffer
	n, err := buf.ReadFrom(countingReader{io.LimitReader(x, limit+1), &x.held})
	if err == nil && n > limit {
		err = errors.Wrapf(errBodyTooLong, "limit %d bytes", limit)
	}
	return buf.Bytes(), err
}

// readLength reads a body of a known length. Without a growing buffer it holds no more than that.
func (x *Exchange) readLength(n int) ([]byte, error) {
	if err := x.held.grow(n); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	read, err := io.ReadFull(x, body)
	if err != nil {
		return body[:read], err
	}
	if _, err := x.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return body, errors.Wrap(err, "end of the body")
	}
	return body, nil
}

// countingReader reserves the memory for what it reads.
type countingReader struct {
	io.Reader
	held *reservation
}

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if budgetErr := r.held.grow(n); budgetErr != nil {
		return n, budgetErr
	}
	return n, err
}

// Close ends the exchange. The connection is returned to the pool only after a complete
// response, and only if the server keeps it open.
func (x *Exchange) Close() {
	x.held.release()
	notCancelled := x.stopCloseOnCancel()
	if x.complete && notCancelled && x.maxIdleConns > 0 && !x.Response.Close && x.Response.Body != nil && x.conn.r.Buffered() == 0 {
		x.conn.used = true
		x.pool.put(x.conn, time.Now(), x.client.cfg.IdleTimeout, x.maxIdleConns)
		return
	}
	_ = x.conn.Close()
	x.pool.release()
}

// SetMaxIdleConns lowers the number of idle connections to the address that Close may
// leave. Default Config.MaxIdlePerAddr.
func (x *Exchange) SetMaxIdleConns(n int) { x.maxIdleConns = min(n, x.maxIdleConns) }

// DisableReuse makes Close close the connection even after a complete response.
func (x *Exchange) DisableReuse() { x.maxIdleConns = 0 }
