package router

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// Guards against a VM that ends a response because of a server's silence, although the request may
// not run again and the server is sound (LOST).
func TestSilenceDoesNotEndStreamThatMayNotRunAgain(t *testing.T) {
	const events, interval, silence = 20, 40 * time.Millisecond, 1700 * time.Millisecond
	for _, c := range []struct {
		name, uri string
		passedOn  bool
	}{
		{"not resumable", "/once/x", false},
		{"its only attempt", "/one_attempt/x", false},
		{"not resumable, passed on", "/once/x", true},
		{"passed on, no other VM is left", "/one_attempt/x", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			vms := []*vm{s.boundVM("a1"), s.boundVM("a2")}
			s.configure(7)
			s.engines(vms[0], events, interval)
			for _, v := range vms {
				v.awaitReady(t)
			}
			silent := vms[0]
			if c.passedOn {
				s.setLink(vms[0], standin.LinkRefuse)
				require.Eventually(t, func() bool { return vms[0].call(t, http.MethodPost, c.uri, "first").StatusCode == http.StatusOK }, waitTimeout, 50*time.Millisecond)
				silent = vms[1]
			}
			resp := vms[0].call(t, http.MethodPost, c.uri, "slow")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			body := bufio.NewReader(resp.Body)
			_, err := body.Peek(1)
			require.NoError(t, err)
			s.setLink(silent, standin.LinkSilent)
			time.Sleep(silence)
			s.setLink(silent, standin.LinkUp)
			requireCompleteStream(t, body, events)
		})
	}
}
