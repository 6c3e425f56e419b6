package badclients

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/crowd"
)

const (
	// crowdConns is more than the connections that the limits of the VM allow on any listener.
	crowdConns = 120
	// largestBody is maxBodyBytes of the configuration.
	largestBody = 4 << 20
	// settleWithin ends a hung test: it is no bound of the product.
	settleWithin = 20 * time.Second
	ordinaryBody = 500
	// shortResponse and largeResponse are the lengths of the backend server's responses, in bytes.
	shortResponse = 0
	largeResponse = 1 << 20
)

// TestCallersCrowd and the tests below play each kind of client against one listener, each
// against a new process.
func TestCallersCrowd(t *testing.T) {
	playAll(t, callersPort, (*router).postOrdinary)
}

func TestPassedOnCrowd(t *testing.T) {
	playAll(t, passedOnPort, func(r *router) error { return r.post(passedOnPort, ordinaryBody) })
}

func TestDirectoryCrowd(t *testing.T) {
	playAll(t, directoryPort, func(r *router) error {
		return r.get(directoryPort, "/catkinstair/resolve?name=ficu95.example&region=vestland&zone=bergen-a", http.StatusOK)
	})
}

func TestReadinessCrowd(t *testing.T) {
	playAll(t, readyPort, func(r *router) error { return r.get(readyPort, "/catkinstair/ready", http.StatusOK) })
}

func TestPeersCrowd(t *testing.T) {
	playAll(t, peersPort, func(r *router) error { return r.get(peersPort, "/", http.StatusNotFound) })
}

func TestMetricsCrowd(t *testing.T) {
	playAll(t, metricsPort, func(r *router) error { return r.get(metricsPort, "/metrics", http.StatusOK) })
}

// TestLargeResponsesCrowd plays clients that ask for large responses and do not read them.
func TestLargeResponsesCrowd(t *testing.T) {
	kinds := crowd.Kinds()
	play(t, kinds[len(kinds)-1], callersPort, largeResponse, (*router).postOrdinary)
}

// playAll plays each kind against a listener. ordinary sends one ordinary request to it.
func playAll(t *testing.T, port int, ordinary func(*router) error) {
	for _, kind := range crowd.Kinds() {
		t.Run(kind.Name, func(t *testing.T) { play(t, kind, port, shortResponse, ordinary) })
	}
}

func play(t *testing.T, kind crowd.Kind, port, responseBytes int, ordinary func(*router) error) {
	r := startRouter(t, responseBytes)
	c := crowd.Open(crowd.Config{Addr: r.addr(port), Conns: crowdConns, Header: requestHeader("crowd"), BodyBytes: largestBody}, kind)
	t.Cleanup(c.Close)
	c.Settle(settleWithin)
	r.requireAlive()
	assert.NoError(t, retryUntil(func() error { return ordinary(r) }), "an ordinary request beside the crowd")
	assert.NoError(t, retryUntil(r.postOrdinary), "a caller's ordinary request beside the crowd")
	r.checkLimits()
	c.Close()
	assert.NoError(t, retryUntil(func() error { return r.post(callersPort, largestBody) }), "a body of the largest size after the crowd")
	r.checkLimits()
	r.requireAlive()
}

// TestLargestBodyInCalm sends single bodies of the largest legal size, and one byte more.
func TestLargestBodyInCalm(t *testing.T) {
	r := startRouter(t, shortResponse)
	for range 3 {
		require.NoError(t, r.post(callersPort, largestBody))
		require.NoError(t, r.postChunked(callersPort, largestBody))
	}
	require.Error(t, r.post(callersPort, largestBody+1), "a byte more than the limit")
	require.Error(t, r.postChunked(callersPort, largestBody+1), "a byte more than the limit, in chunks")
	r.checkLimits()
}

// TestSlowBodyInCalm sends a body of the largest legal size over several seconds, in pieces and in
// chunks.
func TestSlowBodyInCalm(t *testing.T) {
	const (
		pieces     = 32
		sendFor    = 8 * time.Second
		pieceBytes = largestBody / pieces
	)
	r := startRouter(t, shortResponse)
	for name, length := range map[string]int64{"length": largestBody, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body, w := io.Pipe()
			go func() {
				for range pieces {
					time.Sleep(sendFor / pieces)
					if _, err := w.Write(make([]byte, pieceBytes)); err != nil {
						return
					}
				}
				_ = w.Close()
			}()
			require.NoError(t, r.sendLength(callersPort, http.MethodPost, plainURI, body, length, http.StatusOK))
		})
	}
}

// TestStopBesideCrowd stops the process as the platform does while crowds of all kinds keep requests
// unfinished: it ends by itself within the grace period.
func TestStopBesideCrowd(t *testing.T) {
	kinds := crowd.Kinds()
	r := startRouter(t, shortResponse)
	for _, kind := range kinds {
		c := crowd.Open(crowd.Config{Addr: r.addr(callersPort), Conns: crowdConns / len(kinds), Header: requestHeader("crowd"), BodyBytes: largestBody, Reopen: true}, kind)
		t.Cleanup(c.Close)
		c.Settle(time.Second)
	}
	require.NoError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-r.done:
		require.Zero(t, r.cmd.ProcessState.ExitCode())
	case <-time.After(graceS * time.Second):
		require.Fail(t, "still running at the end of the grace period")
	}
}

const (
	apiKey   = "n2ctnfzs989anu6wsjnb"
	plainURI = "/plain/x"
)

var requestCount atomic.Int64

func requestHeader(prefix string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s-%d\r\nAuthorization: Bearer %s\r\n", plainURI, prefix, requestCount.Add(1), apiKey)
}

func (r *router) postOrdinary() error { return r.post(callersPort, ordinaryBody) }

// post sends one request with a body of a length on a new connection. It returns an error
// unless the response is a success.
func (r *router) post(port, bodyBytes int) error {
	return r.send(port, http.MethodPost, plainURI, bytes.NewReader(make([]byte, bodyBytes)), http.StatusOK)
}

// postChunked is post with a chunked body.
func (r *router) postChunked(port, bodyBytes int) error {
	return r.send(port, http.MethodPost, plainURI, io.LimitReader(bytes.NewReader(make([]byte, bodyBytes)), int64(bodyBytes)), http.StatusOK)
}

func (p *process) get(port int, uri string, want int) error {
	return p.send(port, http.MethodGet, uri, nil, want)
}

func (p *process) send(port int, method, uri string, body io.Reader, want int) error {
	return p.sendLength(port, method, uri, body, 0, want)
}

// sendLength is send with a body of a length, or in chunks if it is negative.
func (p *process) sendLength(port int, method, uri string, body io.Reader, length int64, want int) error {
	req, err := http.NewRequest(method, "http://"+p.addr(port)+uri, body)
	if err != nil {
		return err
	}
	if length != 0 {
		req.ContentLength = length
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", "ordinary-"+strconv.FormatInt(requestCount.Add(1), 10))
	req.Header.Set("X-Deadline-Ms", "20000")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != want {
		return fmt.Errorf("status %d, want %d", resp.StatusCode, want)
	}
	return nil
}
