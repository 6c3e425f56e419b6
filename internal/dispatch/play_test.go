package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
)

// grownCards are the accelerators of a deployment of four failure domains, one of
// them with a single fast one.
var grownCards = []cards{{2, 11, 11}, {1, 19, 6}, {4, 7, 8}, {2, 11, 11}}

// killPath kills the first n servers of the path of some call, as faults that hit
// what belongs together do.
func (w *world) killPath(domain string, n int, back time.Duration) {
	for _, e := range w.order {
		if e.Domain != domain || e.dead {
			continue
		}
		for _, c := range sortedCalls(e.running) {
			if len(c.choice.Stages) < n || c.stuck {
				continue
			}
			for _, p := range c.choice.Stages[:n] {
				w.kill(w.engines[p.Instance.ID], back)
			}
			return
		}
	}
}

// troubled is a day of 20 VMs in each failure domain on which servers of one path
// die together three times.
func troubled(t testing.TB, seed uint64, perSecond float64, tune func(*dispatch.Config), change func(*world)) tally {
	w := newWorld(t, seed, 20, grownCards, tune)
	change(w)
	if w.hold > 0 {
		w.after(0, w.serveWaiting)
	}
	w.traffic(perSecond, 16*time.Second)
	w.at(4*time.Second, func() { w.killPath("a", 3, 4500*time.Millisecond) })
	w.at(7*time.Second, func() { w.killPath("d", 3, 3*time.Second) })
	w.at(10*time.Second, func() { w.killPath("c", 3, -1) })
	w.run(40 * time.Second)
	return w.tally
}

// lagging are the settings before loads were told faster, servers' own words counted
// and the other VMs taken to act alike: all VMs turned to one server at once and away
// from it at once.
func lagging(c *dispatch.Config) {
	c.Loads.PeerGain, c.LoadReportTTL = 0, 0
	c.Loads.MinInterval, c.Loads.IntervalPerVM = 200*time.Millisecond, 4*time.Millisecond
	c.SoftKVShare, c.KVReservePerSecond = 0.6, 0.15
}

const (
	// worthWanted is the users' mark for days with trouble on this deployment
	// (issue 10).
	worthWanted = 0.53
	// rejectedWanted is the part of requests that servers may reject for want of
	// room: what half of the budget of repeats allows to be sent again.
	rejectedWanted = 0.1
)

// Load: 320 streams a second of 53 events, 0.8 of what the servers carry while none
// is dead, on 80 VMs.
func TestServersThatDieTogetherCostLittle(t *testing.T) {
	for seed := range uint64(3) {
		var chosen, before tally
		t.Run("", func(t *testing.T) {
			t.Parallel()
			chosen = troubled(t, seed, 80, nil, func(*world) {})
			before = troubled(t, seed, 80, lagging, func(*world) {})
			t.Log("chosen:", chosen)
			t.Log("lagging:", before)
			require.Greater(t, chosen.worth(), worthWanted)
			require.Greater(t, chosen.worth(), before.worth())
			require.Less(t, part(chosen.shed, chosen.asked), rejectedWanted)
			require.Less(t, chosen.shed, before.shed)
		})
	}
}

// Load: the same servers, calm. Nothing is refused and all is in time.
func TestCalmDayIsServedWhole(t *testing.T) {
	w := newWorld(t, 1, 20, grownCards, nil)
	w.traffic(68, 10*time.Second)
	w.run(25 * time.Second)
	require.Equal(t, w.tally.asked, w.tally.inTime, w.tally)
}

// Load: 380 streams a second, 0.95 of what the servers carry, and deaths as above.
// What callers get by the order and time of waiting for room; all streams have the same
// deadline, so the earliest deadline is the first that came.
func TestAShortWaitInLineEarnsMost(t *testing.T) {
	chosen := dispatch.DefaultWaitQueueConfig().MaxWait
	policies := []struct {
		name  string
		hold  time.Duration
		order func(a, b *call) bool
	}{
		{"refused at once", 0, nil},
		{"first come (and earliest deadline), 150 ms", chosen, nil},
		{"first come, 450 ms", 3 * chosen, nil},
		{"smallest first, 150 ms", chosen, func(a, b *call) bool { return a.req.PromptTokens < b.req.PromptTokens }},
	}
	const seeds = 4
	worth := make([][seeds]float64, len(policies))
	t.Run("played", func(t *testing.T) {
		for i, p := range policies {
			for seed := range uint64(seeds) {
				t.Run(p.name, func(t *testing.T) {
					t.Parallel()
					worth[i][seed] = troubled(t, seed, 95, nil, func(w *world) { w.hold, w.orderOfWait = p.hold, p.order }).worth()
				})
			}
		}
	})
	var mean [4]float64
	for i, p := range policies {
		for _, x := range worth[i] {
			mean[i] += x / seeds
		}
		t.Logf("%.3f %s", mean[i], p.name)
	}
	require.Greater(t, mean[1], mean[0])
	require.Greater(t, mean[1], mean[2])
}
