package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
)

// fourDomains lists the accelerators of a deployment of four failure domains. The second
// domain has a single a100.
var fourDomains = []accelerators{{2, 11, 11}, {1, 19, 6}, {4, 7, 8}, {2, 11, 11}}

// killPath kills the first n servers on the path of one running call, as a correlated
// failure.
func (s *simulation) killPath(domain string, n int, restartAfter time.Duration) {
	for _, e := range s.engineOrder {
		if e.Domain != domain || e.dead {
			continue
		}
		for _, c := range sortedCalls(e.running) {
			if len(c.choice.Stages) < n || c.stalled {
				continue
			}
			for _, stage := range c.choice.Stages[:n] {
				s.kill(s.engines[stage.Instance.ID], restartAfter)
			}
			return
		}
	}
}

// runWithFailures simulates 20 VMs per failure domain, each domain with requestsPerSecond.
// Three times, three servers of one path die together.
func runWithFailures(t testing.TB, seed uint64, requestsPerSecond float64, tune func(*dispatch.Config), setup func(*simulation)) tally {
	s := newSimulation(t, seed, 20, fourDomains, tune)
	setup(s)
	if s.maxWait > 0 {
		s.after(0, s.serveWaiting)
	}
	s.startTraffic(requestsPerSecond, 16*time.Second)
	s.at(4*time.Second, func() { s.killPath("a", 3, 4500*time.Millisecond) })
	s.at(7*time.Second, func() { s.killPath("d", 3, 3*time.Second) })
	s.at(10*time.Second, func() { s.killPath("c", 3, -1) })
	s.run(40 * time.Second)
	return s.tally
}

// delayedLoadSettings exchanges loads at half the rate and disables load reports and
// PeerGain. With these settings all VMs switched to one server, and away from it, at the
// same time.
func delayedLoadSettings(c *dispatch.Config) {
	c.Loads.PeerGain, c.LoadReportTTL = 0, 0
	c.Loads.MinInterval, c.Loads.IntervalPerVM = 200*time.Millisecond, 4*time.Millisecond
	c.SoftKVShare, c.KVReservePerSecond = 0.6, 0.15
}

const (
	// minScore is the required score of a run with correlated failures on this
	// deployment.
	minScore = 0.53
	// maxRejectedRatio is the maximum ratio of rejected sends to requests. It is the share
	// of the retry budget available to retry.Retry, which must suffice to send them again.
	maxRejectedRatio = 0.1
)

// 80 VMs handle 320 streams per second of 53 events each, 80% of the capacity of all
// servers, while servers of one path die together. The default settings must score better
// and have fewer rejected sends than delayedLoadSettings.
func TestCorrelatedServerFailures(t *testing.T) {
	for seed := range uint64(3) {
		var defaults, delayed tally
		t.Run("", func(t *testing.T) {
			t.Parallel()
			defaults = runWithFailures(t, seed, 80, nil, func(*simulation) {})
			delayed = runWithFailures(t, seed, 80, delayedLoadSettings, func(*simulation) {})
			t.Log("defaults:", defaults)
			t.Log("delayed:", delayed)
			require.Greater(t, defaults.score(), minScore)
			require.Greater(t, defaults.score(), delayed.score())
			require.Less(t, ratio(defaults.rejected, defaults.total), maxRejectedRatio)
			require.Less(t, defaults.rejected, delayed.rejected)
		})
	}
}

// Without failures, the same servers must answer every request in time at 85% of the load
// of TestCorrelatedServerFailures.
func TestAllRequestsInTimeWithoutFailures(t *testing.T) {
	s := newSimulation(t, 1, 20, fourDomains, nil)
	s.startTraffic(68, 10*time.Second)
	s.run(25 * time.Second)
	require.Equal(t, s.tally.total, s.tally.inTime, s.tally)
}

// At 380 streams per second, 95% of capacity, and with the failures of runWithFailures, a
// short wait for capacity must score better than none and than a long one. All streams
// have the same deadline, so FIFO and earliest deadline first are the same order.
func TestShortWaitBeatsRefusalAndLongWait(t *testing.T) {
	maxWait := dispatch.DefaultWaitQueueConfig().MaxWait
	policies := []struct {
		name    string
		maxWait time.Duration
		order   func(a, b *call) bool
	}{
		{"no wait", 0, nil},
		{"FIFO (and earliest deadline first), 150 ms", maxWait, nil},
		{"FIFO, 450 ms", 3 * maxWait, nil},
		{"smallest prompt first, 150 ms", maxWait, func(a, b *call) bool { return a.req.PromptTokens < b.req.PromptTokens }},
	}
	const seeds = 4
	scores := make([][seeds]float64, len(policies))
	t.Run("played", func(t *testing.T) {
		for i, p := range policies {
			for seed := range uint64(seeds) {
				t.Run(p.name, func(t *testing.T) {
					t.Parallel()
					scores[i][seed] = runWithFailures(t, seed, 95, nil, func(s *simulation) { s.maxWait, s.waitOrder = p.maxWait, p.order }).score()
				})
			}
		}
	})
	var mean [4]float64
	for i, p := range policies {
		for _, score := range scores[i] {
			mean[i] += score / seeds
		}
		t.Logf("%.3f %s", mean[i], p.name)
	}
	require.Greater(t, mean[1], mean[0])
	require.Greater(t, mean[1], mean[2])
}
