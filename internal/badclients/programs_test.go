package badclients

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/crowd"
)

// The limits of the callers' server of catkin-entry.
const (
	entryConns      = "100"
	entryBodyMemory = "16" // MB
)

// TestEntryCrowd plays each kind against the callers' server of catkin-entry.
func TestEntryCrowd(t *testing.T) {
	playAlone(t, callersPort, func(t *testing.T, host string) *process {
		p := &process{host: host}
		return startProcess(t, host, "catkin-entry", nil, "--vm", "vm-1", "--failure-domain", "bergen-a", "--region", "vestland",
			"--listen", p.addr(callersPort), "--peer-listen", p.addr(peersPort), "--control", p.addr(1), "--kv", p.addr(1),
			"--max-connections", entryConns, "--body-memory", entryBodyMemory)
	})
}

// TestAdminCrowd plays each kind against the administration server of catkin-control.
func TestAdminCrowd(t *testing.T) {
	playAlone(t, callersPort, func(t *testing.T, host string) *process {
		p := &process{host: host}
		return startProcess(t, host, "catkin-control", nil, "--vm", "vm-1", "--failure-domain", "bergen-a", "--region", "vestland",
			"--admin-listen", p.addr(callersPort), "--listen", p.addr(peersPort), "--entry-addr", p.addr(1), "--entry-peer-addr", p.addr(1),
			"--kv", p.addr(1), "--vm-list", p.addr(1), "--admin-keys", "ops="+apiKey)
	})
}

// playAlone plays each kind against a server of a program without any other, whose ordinary
// request is that for its health.
func playAlone(t *testing.T, port int, start func(*testing.T, string) *process) {
	for _, kind := range crowd.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			p := start(t, freeHost(t))
			healthy := func() error { return p.get(port, "/healthz", http.StatusOK) }
			require.NoError(t, retryUntil(healthy))
			c := crowd.Open(crowd.Config{Addr: p.addr(port), Conns: crowdConns, Header: requestHeader("crowd"), BodyBytes: largestBody}, kind)
			t.Cleanup(c.Close)
			c.Settle(settleWithin)
			p.requireAlive()
			assert.NoError(t, retryUntil(healthy), "an ordinary request beside the crowd")
			p.checkLimits()
		})
	}
}
