package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority is a test certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a := authority{cert: cert, key: key, dir: t.TempDir()}
	a.write(t, "ca.pem", "CERTIFICATE", a.sign(t, cert, key))
	return a
}

func (a authority) sign(t *testing.T, cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	return der
}

func (a authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// issue returns the files of a peer with a certificate signed by a.
func (a authority) issue(t *testing.T) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return TLSFiles{
		CertFile: a.write(t, "peer.pem", "CERTIFICATE", a.sign(t, cert, key)),
		KeyFile:  a.write(t, "peer-key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:   filepath.Join(a.dir, "ca.pem"),
	}
}

func TestPeerWithoutTrustedCertificateIsRejected(t *testing.T) {
	ours := newAuthority(t)
	secured := DefaultConfig()
	secured.TLS = ours.issue(t)
	addr, calls := serve(t, secured)
	var got echo
	require.NoError(t, dial(t, secured).Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: "x"}, &got))

	plain := dial(t, DefaultConfig())
	require.Error(t, plain.Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: "x"}, &got))

	foreign := DefaultConfig()
	foreign.TLS = newAuthority(t).issue(t)
	foreign.TLS.CAFile = secured.TLS.CAFile // trusts the server, but the server does not trust it
	require.Error(t, dial(t, foreign).Call(withTimeout(t, 5*time.Second), addr, "Echo", Once, echo{Text: "x"}, &got))
	require.EqualValues(t, 1, calls.Load(), "a peer without a trusted certificate reached the method")

	plainAddr, plainCalls := serve(t, DefaultConfig())
	require.Error(t, dial(t, secured).Call(withTimeout(t, 5*time.Second), plainAddr, "Echo", Once, echo{Text: "x"}, &got))
	require.Zero(t, plainCalls.Load(), "a client with TLS sent a call to a plaintext server")
}
