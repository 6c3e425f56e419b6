package ingress

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// receiveBuffer is the kernel's buffer for bytes of a connection that were not read, in bytes. The
// kernel would let it grow to megabytes, and a client can fill it with further requests while
// one is served.
const receiveBuffer = 64 << 10

// Listen listens on a TCP address; network is tcp or tcp4. Its connections have small receive
// buffers.
func Listen(network, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := cfg.Listen(context.Background(), network, addr)
	return l, errors.Wrapf(err, "listening on %s", addr)
}
