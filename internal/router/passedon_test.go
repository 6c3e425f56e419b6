package router

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// Guards against requests that run again through the next VM (TWICE), or that callers are asked
// to repeat (REFUSED), after a server's own failure without a signature.
func TestFailureOfServerThroughAnotherVMIsFinal(t *testing.T) {
	t.Parallel()
	s, vms := partitionedSite(t, 3, 20, standin.LinkReset)
	for _, status := range []int{400, 404, 408, 409, 422, 429, 500, 501, 503, 504} {
		want := status
		if platform.StatesNotRun(status) {
			want = http.StatusBadGateway
		}
		s.backends.FailWith(status)
		for name, v := range map[string]*vm{"own": vms[1], "passed-on": vms[0]} {
			id := fmt.Sprintf("%s-%d", name, status)
			resp := v.call(t, "POST", "/non_idempotent/x", id)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, 1, s.backends.Runs(id), "%s: status %d", id, resp.StatusCode)
			require.Equal(t, want, resp.StatusCode, "%s", id)
			if want == status {
				require.Contains(t, string(body), "failed by app-", id)
			}
			for _, header := range []string{platform.HeaderServedBy, platform.HeaderVerdict, platform.HeaderRefusalCause} {
				require.Empty(t, resp.Header.Get(header), "%s: %s is for VMs only", id, header)
			}
		}
	}
}

// Guards against a status that is taken for a statement of the other VM: builds side by side state
// different things.
func TestOutcomeOfPassedOnRequest(t *testing.T) {
	served := platform.HeaderServedBy
	for _, c := range []struct {
		name   string
		status int
		header map[string]string
		want   verdict.Verdict
	}{
		{"a server's success", 200, map[string]string{served: "1 app", platform.HeaderSignature: "sig"}, verdict.Ran},
		{"a server's failure", 409, map[string]string{served: "1 app"}, verdict.Ran},
		{"a server's 503", 503, map[string]string{served: "1 app"}, verdict.Ran},
		{"a server that copies a VM's statement", 503, map[string]string{served: "1 app", platform.HeaderVerdict: "not-run"}, verdict.Ran},
		{"a signed failure of an old build", 500, map[string]string{platform.HeaderSignature: "sig"}, verdict.Ran},
		{"refused", 503, map[string]string{platform.HeaderVerdict: "not-run", platform.HeaderRefusalCause: "no-room"}, verdict.NotRun},
		{"route unknown to the VM", 404, map[string]string{platform.HeaderVerdict: "not-run"}, verdict.NotRun},
		{"server lost", 502, map[string]string{platform.HeaderVerdict: "may-have-run", platform.HeaderRefusalCause: "backend-server-lost"}, verdict.MayHaveRun},
		{"run, but not forwarded", 502, map[string]string{platform.HeaderVerdict: "ran"}, verdict.MayHaveRun},
		{"a verdict of a later build", 503, map[string]string{platform.HeaderVerdict: "deferred"}, verdict.MayHaveRun},
		{"refused by an old build", 503, map[string]string{platform.HeaderRefusalCause: "no-room"}, verdict.NotRun},
		{"server lost, an old build", 502, map[string]string{platform.HeaderRefusalCause: "backend-server-lost"}, verdict.MayHaveRun},
		{"a server's 409 or a VM's own, an old build", 409, nil, verdict.MayHaveRun},
		{"a server's 503 or a VM's own, an old build", 503, nil, verdict.MayHaveRun},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{}}
		for key, value := range c.header {
			resp.Header.Set(key, value)
		}
		require.Equal(t, c.want, outcomeOfPassedOn(resp), c.name)
	}
}
