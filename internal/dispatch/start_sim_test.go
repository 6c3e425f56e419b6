package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
)

// runStart simulates 200 VMs of five failure domains that have just started: no VM knows
// another one's load, and the requests of an outage come back within 300 ms.
func runStart(t testing.TB, seed uint64, tune func(*dispatch.Config)) tally {
	const (
		vms       = 40
		perDomain = 280
		spreadOut = 300 * time.Millisecond
	)
	domains := []accelerators{{4, 18, 21}, {3, 29, 12}, {7, 12, 14}, {4, 18, 21}, {2, 29, 11}}
	s := newSimulation(t, seed, vms, domains, tune)
	for _, v := range s.vms {
		for range perDomain / vms {
			s.at(s.jitter(spreadOut), func() { s.newRequest(v) })
		}
	}
	s.run(20 * time.Second)
	return s.tally
}

// After a loss of power, 887 sends of a day were rejected within a second, since all VMs
// chose the same fast servers, and 588 requests were refused with an exhausted retry budget.
func TestRequestsAreSpreadAfterStart(t *testing.T) {
	const seeds = 3
	var spread, fastest tally
	for seed := range uint64(seeds) {
		a := runStart(t, seed, nil)
		b := runStart(t, seed, func(c *dispatch.Config) { c.UnknownLoadShare = 0 })
		t.Log("spread:      ", a)
		t.Log("fastest only:", b)
		spread.rejected += a.rejected
		fastest.rejected += b.rejected
		require.GreaterOrEqual(t, a.inTime+a.late, b.inTime+b.late)
		require.Less(t, ratio(a.rejected, a.total), maxRejectedRatio)
	}
	require.Less(t, spread.rejected, fastest.rejected)
}
