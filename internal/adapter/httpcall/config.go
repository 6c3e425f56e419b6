package httpcall

import (
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Config holds the settings of a Client.
type Config struct {
	// DialTimeout bounds dialling one connection. Default 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. Default 15 s.
	IdleTimeout time.Duration
	// MaxConnsPerAddr limits the connections to one address, idle and in use.
	// Default 512.
	MaxConnsPerAddr int
	// MaxIdlePerAddr limits the idle connections to one address. Default 64.
	MaxIdlePerAddr int
	// MaxBodyBytes limits the body of a response, in bytes. Default 16 MiB.
	MaxBodyBytes int
	// MaxHeadBytes limits the head of a response together with the interim responses
	// before it, in bytes. Default 32 KiB.
	MaxHeadBytes int
	// MaxBufferedBytes limits the bodies of all responses in progress together, in bytes.
	// Default 64 MiB.
	MaxBufferedBytes int64
	// KeepAlive configures TCP keep-alive probes, which detect connections that have
	// permanently stopped delivering data. Default: first probe after 1 s idle, then
	// every 500 ms, closed after 3 unanswered probes.
	KeepAlive net.KeepAliveConfig
	// LocalIP is the address that connections are opened from. Default nil: the system
	// chooses it.
	LocalIP net.IP
}

// DefaultConfig returns the defaults documented in Config.
func DefaultConfig() Config {
	return Config{
		DialTimeout:      time.Second,
		IdleTimeout:      15 * time.Second,
		MaxConnsPerAddr:  512,
		MaxIdlePerAddr:   64,
		MaxBodyBytes:     16 << 20,
		MaxHeadBytes:     32 << 10,
		MaxBufferedBytes: 64 << 20,
		KeepAlive:        net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var problems []string
	if c.DialTimeout <= 0 {
		problems = append(problems, "DialTimeout must be positive")
	}
	if c.IdleTimeout <= 0 {
		problems = append(problems, "IdleTimeout must be positive")
	}
	if c.MaxConnsPerAddr <= 0 {
		problems = append(problems, "MaxConnsPerAddr must be at least 1")
	}
	if c.MaxIdlePerAddr <= 0 {
		problems = append(problems, "MaxIdlePerAddr must be at least 1")
	}
	if c.MaxBodyBytes <= 0 {
		problems = append(problems, "MaxBodyBytes must be at least 1")
	}
	if c.MaxHeadBytes <= 0 {
		problems = append(problems, "MaxHeadBytes must be at least 1")
	}
	if c.MaxBufferedBytes <= 0 {
		problems = append(problems, "MaxBufferedBytes must be at least 1")
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

// Options holds the options of one call.
type Options struct {
	// Deadline bounds the call up to the end of the response. Zero means
	// DefaultTimeout from now.
	Deadline time.Time
	// IdleTimeout, if positive, also bounds each wait for bytes of the response. It tells
	// a slow transfer of a long response from one that has stopped.
	IdleTimeout time.Duration
	// NewConnection opens a new connection for this call. If the call succeeds, the
	// connection is kept for later calls.
	NewConnection bool
	// BeforeSend, if not nil, is called once a connection is open, immediately before the
	// first byte is written. An error ends the call with NotSent. It is for permissions
	// that can end while the connection is being opened.
	BeforeSend func() error
	// MaxIdleTime, if positive, allows only a new connection or one whose last
	// response is at most this old.
	MaxIdleTime time.Duration
	// OnHeader, if not nil, is called by JSON with the header of each response, whatever its
	// status.
	OnHeader func(*fasthttp.ResponseHeader)
}

// DefaultTimeout bounds a call whose Options have no deadline.
const DefaultTimeout = 30 * time.Second

// Within returns Options with a deadline after d.
func Within(d time.Duration) Options {
	return Options{Deadline: time.Now().Add(d)}
}

// WithNewConnection returns o with NewConnection set.
func (o Options) WithNewConnection() Options {
	o.NewConnection = true
	return o
}

func (o Options) deadline(now time.Time) time.Time {
	if o.Deadline.IsZero() {
		return now.Add(DefaultTimeout)
	}
	return o.Deadline
}
