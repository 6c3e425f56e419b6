package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes = 4 << 20
	DefaultMaxConnections  = 64
	DefaultIdleTimeout     = time.Minute
	DefaultTryTimeout      = 500 * time.Millisecond
)

// Config is shared by Server and Client.
type Config struct {
	// TLS names the files for mutual TLS; empty means plaintext.
	TLS TLSFiles
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes int
	// MaxConnections bounds the client's open connections; the one that was
	// idle for longest makes room for a new one.
	MaxConnections int
	// IdleTimeout closes a connection that carried no call for so long.
	IdleTimeout time.Duration
	// TryTimeout bounds one try of a call that has no shorter deadline.
	TryTimeout time.Duration
	// Metrics receives the counters; nil means the process's default set.
	Metrics *metrics.Set
}

// TLSFiles are the PEM files of one process. All three are set, or none.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	// CAFile holds the authorities that may sign a peer's certificate.
	CAFile string
	// ServerName is the name a server's certificate must bear; empty means the
	// address that is dialled.
	ServerName string
}

// Enabled reports whether mutual TLS is asked for.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// DefaultConfig returns plaintext with the default bounds.
func DefaultConfig() Config {
	return Config{
		MaxMessageBytes: DefaultMaxMessageBytes,
		MaxConnections:  DefaultMaxConnections,
		IdleTimeout:     DefaultIdleTimeout,
		TryTimeout:      DefaultTryTimeout,
	}
}

// Validate names every faulty field.
func (c Config) Validate() error {
	var err error
	if c.MaxMessageBytes <= 0 {
		err = errors.Join(err, errors.Newf("MaxMessageBytes is %d: want a positive number of bytes", c.MaxMessageBytes))
	}
	if c.MaxConnections <= 0 {
		err = errors.Join(err, errors.Newf("MaxConnections is %d: want at least 1", c.MaxConnections))
	}
	if c.IdleTimeout <= 0 {
		err = errors.Join(err, errors.Newf("IdleTimeout is %s: want a positive duration", c.IdleTimeout))
	}
	if c.TryTimeout <= 0 {
		err = errors.Join(err, errors.Newf("TryTimeout is %s: want a positive duration", c.TryTimeout))
	}
	return errors.Join(err, c.TLS.validate())
}

func (f TLSFiles) validate() error {
	if !f.Enabled() {
		return nil
	}
	if f.CertFile == "" || f.KeyFile == "" || f.CAFile == "" {
		return errors.New("TLS wants CertFile, KeyFile and CAFile together: set all three, or none for plaintext")
	}
	return nil
}

// load reads the files into a configuration that checks both sides.
func (f TLSFiles) load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", f.CertFile, f.KeyFile)
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("certificate authorities %s: no PEM certificate in the file", f.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   f.ServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
