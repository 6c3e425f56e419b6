package httpcall

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a response with an undefined status that is taken for an answer, or skipped so that its
// body is read as the next response (MIXED).
func TestResponseWithoutDefinedStatusIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, response := range map[string]string{
		"000":                         "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n{}",
		"000, a response as its body": "HTTP/1.1 000 \r\nContent-Length: 40\r\n\r\n" + whole,
		"099, a response as its body": "HTTP/1.1 099 Low\r\nContent-Length: 40\r\n\r\n" + whole,
		"099, no body":                "HTTP/1.1 099 Low\r\n\r\n" + whole,
		"600":                         "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\n{}",
		"999":                         "HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\n{}",
		"20":                          "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}",
		"2000":                        "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"+20":                         "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}",
		"other protocol":              "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + whole,
		"interim with a length":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 40\r\n\r\n" + whole,
		"interim with chunks":         "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + whole,
		"interim, then 000":           "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			addr := listen(t, func(_ int64, c net.Conn) { respondWith(c, response) })
			c := NewDefault()
			require.Error(t, open(c, addr, time.Second))
			require.Error(t, get(c, addr, Within(time.Second)))
			status, err := streamedStatus(c, addr)
			require.Error(t, err)
			require.NotEqual(t, fasthttp.StatusOK, status)
			require.Zero(t, c.pool(addr).openCount(), "its connection is not used again")
		})
	}
}

// streamedStatus returns the status that DoStream hands to its reader, 0 if it does not call it.
func streamedStatus(c *Client, addr string) (status int, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + addr + "/x")
	err = c.DoStream(addr, req, resp, Within(time.Second), time.Second, func(resp *fasthttp.Response, body io.Reader) error {
		status = resp.StatusCode()
		_, err := io.Copy(io.Discard, body)
		return err
	})
	return status, err
}

// Interim responses come before the response and are no answer themselves.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		addr := listen(t, func(_ int64, c net.Conn) { respondWith(c, response) })
		c := NewDefault()
		require.NoError(t, open(c, addr, time.Second))
		require.NoError(t, get(c, addr, Within(time.Second)))
	}
}

// respondWith writes a response to each request of a connection.
func respondWith(c net.Conn, response string) {
	buf := make([]byte, 4096)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}
