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

// Config holds the settings of a Server or a Client.
type Config struct {
	// TLS names the files for mutual TLS; empty means plaintext.
	TLS TLSFiles
	// MaxMessageBytes limits one message in either direction, in bytes. Default 4 MiB.
	MaxMessageBytes int
	// MaxConnections limits the client's pooled connections; a new connection
	// replaces the least recently used one. Default 64.
	MaxConnections int
	// IdleTimeout is how long a connection without calls stays open. Default 1 min.
	IdleTimeout time.Duration
	// TryTimeout bounds one try of a call without a shorter deadline. Default
	// 500 ms.
	TryTimeout time.Duration
	// Metrics receives the counters; nil means the process's default set.
	Metrics *metrics.Set
}

// TLSFiles names the PEM files of one process. Set all three, or none for plaintext.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	// CAFile holds the certificate authorities trusted to sign peers' certificates.
	CAFile string
	// ServerName is the name that a server's certificate must contain; empty means
	// the dialled address.
	ServerName string
}

// Enabled reports whether mutual TLS is configured.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// DefaultConfig returns the default limits and timeouts, without TLS.
func DefaultConfig() Config {
	return Config{
		MaxMessageBytes: DefaultMaxMessageBytes,
		MaxConnections:  DefaultMaxConnections,
		IdleTimeout:     DefaultIdleTimeout,
		TryTimeout:      DefaultTryTimeout,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var err error
	if c.MaxMessageBytes <= 0 {
		err = errors.Join(err, errors.Newf("MaxMessageBytes is %d, must be positive", c.MaxMessageBytes))
	}
	if c.MaxConnections <= 0 {
		err = errors.Join(err, errors.Newf("MaxConnections is %d, must be at least 1", c.MaxConnections))
	}
	if c.IdleTimeout <= 0 {
		err = errors.Join(err, errors.Newf("IdleTimeout is %s, must be positive", c.IdleTimeout))
	}
	if c.TryTimeout <= 0 {
		err = errors.Join(err, errors.Newf("TryTimeout is %s, must be positive", c.TryTimeout))
	}
	return errors.Join(err, c.TLS.validate())
}

func (f TLSFiles) validate() error {
	if !f.Enabled() {
		return nil
	}
	if f.CertFile == "" || f.KeyFile == "" || f.CAFile == "" {
		return errors.New("incomplete TLS files: set CertFile, KeyFile and CAFile, or none of them for plaintext")
	}
	return nil
}

// load reads the files into a configuration in which client and server verify each
// other's certificates.
func (f TLSFiles) load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s with key %s", f.CertFile, f.KeyFile)
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
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
