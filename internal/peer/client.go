package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// The errors of Call. Test for them with errors.Is.
var (
	// ErrUnreachable means that no response came. The message may have arrived.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused means that the peer responded with an error.
	ErrRefused = errors.New("peer refused")
	// ErrTooLarge means that the request or the response is larger than
	// MaxMessageBytes.
	ErrTooLarge = errors.New("message too large")
)

// Mode controls retries and the use of connections by a call.
type Mode uint8

// The modes of a call.
const (
	// Once sends the message at most once.
	Once Mode = iota
	// Retryable may send the message a second time over a new connection, if the
	// first connection has carried a response before.
	Retryable
	// NewConnection sends the message at most once, over a new connection that
	// replaces the pooled one.
	NewConnection
)

// Client calls peers over a bounded set of connections. It is safe for concurrent
// use.
type Client struct {
	pool       *pool
	tryTimeout time.Duration
}

// NewClient returns a client without connections. It reads the TLS files.
func NewClient(cfg Config) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	creds, err := cfg.TLS.credentials()
	if err != nil {
		return nil, err
	}
	return &Client{pool: newPool(cfg, creds), tryTimeout: cfg.TryTimeout}, nil
}

// Call sends req to method at addr ("ip:port") and decodes the response into resp, a
// pointer. The deadline of ctx bounds all tries together; without a deadline, each try
// has TryTimeout.
func (c *Client) Call(ctx context.Context, addr, method string, mode Mode, req, resp any) error {
	conn, err := c.pool.acquire(addr, mode == NewConnection)
	if err != nil {
		return err
	}
	hasAnswered := conn.hasAnswered.Load()
	tries := 1
	if mode == Retryable && hasAnswered {
		tries = 2
	}
	err = c.try(ctx, conn, method, tries, req, resp)
	if !errors.Is(err, ErrUnreachable) || ctx.Err() != nil {
		return err
	}
	c.pool.retire(conn)
	if tries == 1 {
		return err
	}
	conn, dialErr := c.pool.acquire(addr, false)
	if dialErr != nil {
		return dialErr
	}
	return c.try(ctx, conn, method, 1, req, resp)
}

// Disconnect closes the connection to addr, if there is one, after its calls have
// ended.
func (c *Client) Disconnect(addr string) { c.pool.retireAddr(addr) }

// Connections returns the number of pooled connections.
func (c *Client) Connections() int { return c.pool.size() }

// Close closes every connection and aborts the calls on them.
func (c *Client) Close() { c.pool.close() }

// try sends req once over conn and releases conn. triesLeft includes this try.
func (c *Client) try(ctx context.Context, conn *conn, method string, triesLeft int, req, resp any) error {
	defer c.pool.release(conn)
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx, triesLeft))
	defer cancel()
	err := conn.grpc.Invoke(ctx, "/"+serviceName+"/"+method, req, resp, grpc.CallContentSubtype(codecName))
	if answered(err) {
		conn.hasAnswered.Store(true)
	}
	return wrapCallError(err, conn.addr, method)
}

// timeout returns the time for one try. The remaining time is divided among the tries
// left, and every try but the last has at most TryTimeout.
func (c *Client) timeout(ctx context.Context, triesLeft int) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.tryTimeout
	}
	perTry := time.Until(deadline) / time.Duration(triesLeft)
	if triesLeft > 1 {
		return min(perTry, c.tryTimeout)
	}
	return perTry
}

// answered reports whether the response, or the error, came from the peer itself.
func answered(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return false
	default:
		return true
	}
}

func wrapCallError(err error, addr, method string) error {
	if err == nil {
		return nil
	}
	text := status.Convert(err).Message()
	kind := ErrRefused
	switch {
	case !answered(err):
		kind = ErrUnreachable
	case status.Code(err) == codes.ResourceExhausted:
		kind = ErrTooLarge
	}
	return errors.Wrapf(kind, "call %s at %s: %s", method, addr, text)
}
