package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// Guards against requests that a planned stop cuts without a response (LOST), among them those
// that may not be repeated.
func TestStopAnswersRequestsThatItCannotEnd(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.configure(7)
	v := s.vm("a1")
	v.awaitReady(t)
	bounds := *v.bounds.Load()
	bounds.Grace = 1200 * time.Millisecond
	v.bounds.Store(&bounds)
	replica := s.server(standin.ServerConfig{ID: "slow", Service: "wuno96b", Domain: "bergen-a", Work: 2500 * time.Millisecond})
	require.Eventually(t, func() bool { return v.serves("wuno96b") }, waitTimeout, 5*time.Millisecond)
	type outcome struct {
		resp *http.Response
		err  error
	}
	uris := []string{"/idempotent/x", "/non_idempotent/x", "/resumable/x"}
	outcomes := make([]chan outcome, len(uris))
	for i, uri := range uris {
		outcomes[i] = make(chan outcome, 1)
		go func() {
			resp, err := v.trySend(http.MethodPost, uri, uri)
			outcomes[i] <- outcome{resp, err}
		}()
	}
	require.Eventually(t, func() bool { return len(replica.Requests()) == len(uris) }, waitTimeout, 5*time.Millisecond)
	v.stop()
	err := <-v.done
	v.done <- err
	require.NoError(t, err)
	for i, uri := range uris {
		select {
		case o := <-outcomes[i]:
			require.NoError(t, o.err, uri)
			require.Equal(t, http.StatusBadGateway, o.resp.StatusCode, uri)
			require.NoError(t, o.resp.Body.Close())
		case <-time.After(50 * time.Millisecond): // for the caller to read what was written
			require.Fail(t, "no response when the process ends", uri)
		}
	}
}

// Guards against a stop whose schedule begins when a VM without processor time handles the signal.
func TestSignalCountsFromWhenProcessRanLast(t *testing.T) {
	const start = 100 * time.Second
	var d pauseDetector
	require.Zero(t, d.lastSeen(start))
	d.observe(start)
	require.Equal(t, start, d.lastSeen(start+700*time.Millisecond), "the signal is handled first")
	d.observe(start + 700*time.Millisecond)
	require.Equal(t, start, d.lastSeen(start+701*time.Millisecond), "a tick is handled first")
	d.observe(start + 900*time.Millisecond)
	require.Equal(t, start+900*time.Millisecond, d.lastSeen(start+950*time.Millisecond), "the gap is over")
}
