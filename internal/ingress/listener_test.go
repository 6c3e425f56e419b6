package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against megabytes in the kernel for each connection on which a client sends further
// requests while one is served.
func TestBytesThatAreNotReadAreFew(t *testing.T) {
	const (
		sent = 16 << 20
		// most leaves room for the buffers of both ends: the client's is lowered, too.
		most = 8 * receiveBuffer
	)
	l, err := Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	require.NoError(t, client.(*net.TCPConn).SetWriteBuffer(receiveBuffer))
	chunk := make([]byte, 64<<10)
	for read := 0; read < sent; { // makes the kernel's automatic buffers grow
		go func() { _, _ = client.Write(chunk) }()
		n, err := accepted.Read(make([]byte, len(chunk)))
		require.NoError(t, err)
		read += n
	}
	require.NoError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
	written := 0
	for {
		n, err := client.Write(chunk)
		written += n
		if err != nil {
			break
		}
	}
	require.LessOrEqual(t, written, most)
}
