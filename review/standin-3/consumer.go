//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

// reply is the answer to a consumer's request.
type reply struct {
	status int
	header http.Header
	body   string
}

// call sends a request as it is written, on a new channel, and reads one answer.
func call(addr, text, method string, within time.Duration) (reply, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return reply{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return reply{}, err
	}
	return readReply(bufio.NewReader(c), method)
}

func readReply(r *bufio.Reader, method string) (reply, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return reply{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body)}, err
}

// request returns the text of a consumer's request.
func request(method, path, id, body string, deadlineMs int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", method, path, host,
		platform.HeaderRequestID, id, platform.HeaderTimeLeft, deadlineMs, key)
	if method != "GET" || body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}
