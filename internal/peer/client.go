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
	// ErrUnreachable means that no answer came. The message may have arrived.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrRefused means that the peer answered with an error.
	ErrRefused = errors.New("peer refused")
	// ErrTooLarge means that the request or the response is larger than
	// MaxMessageBytes.
	ErrTooLarge = errors.New("message too large")
)

// Mode says how a call may use connections.
type Mode uint8

// The modes.
const (
	// Once sends the message at most once.
	Once Mode = iota
	// Repeatable may send it a second time over a new connection.
	Retryable
	// Fresh sends it once, over a new connection that replaces the old one.
	NewConnection
)

// Client calls peers over a bounded set of connections. It is safe for use by
// many goroutines.
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

// Call sends req to method at addr ("ip:port") and decodes the answer into
// resp, a pointer. A context with a deadline bounds all tries; without one each
// try has TryTimeout.
func (c *Client) Call(ctx context.Context, addr, method string, mode Mode, req, resp any) error {
	conn, err := c.pool.acquire(addr, mode == NewConnection)
	if err != nil {
		return err
	}
	proven := conn.proven.Load()
	tries := 1
	if mode == Retryable && proven {
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

// CloseIdle closes the connection to addr, where there is one, once its calls
// have ended.
func (c *Client) Disconnect(addr string) { c.pool.drop(addr) }

// Connections is the number of pooled connections.
func (c *Client) Connections() int { return c.pool.size() }

// Close closes every connection and cuts the calls on them.
func (c *Client) Close() { c.pool.close() }

// try sends req once over conn and releases it. triesLeft counts this try.
func (c *Client) try(ctx context.Context, conn *conn, method string, triesLeft int, req, resp any) error {
	defer c.pool.release(conn)
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx, triesLeft))
	defer cancel()
	err := conn.grpc.Invoke(ctx, "/"+serviceName+"/"+method, req, resp, grpc.CallContentSubtype(codecName))
	if answered(err) {
		conn.proven.Store(true)
	}
	return explain(err, conn.addr, method)
}

// timeout is the time for one try.
func (c *Client) timeout(ctx context.Context, triesLeft int) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.tryTimeout
	}
	share := time.Until(deadline) / time.Duration(triesLeft)
	if triesLeft > 1 {
		return min(share, c.tryTimeout)
	}
	return share
}

// answered reports whether the peer itself made the answer.
func answered(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return false
	default:
		return true
	}
}

func explain(err error, addr, method string) error {
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
