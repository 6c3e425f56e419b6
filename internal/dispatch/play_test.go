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
			if len(c.choice.Parts) < n || c.stuck {
				continue
			}
			for _, p := range c.choice.Parts[:n] {
				w.kill(w.engines[p.Instance.ID], back)
			}
			return
		}
	}
}

// troubled is a day of 20 VMs in each failure domain on which servers of one path
// die together three times.
func troubled(t testing.TB, seed uint64, perSecond float64, tune func(*dispatch.Config)) tally {
	w := newWorld(t, seed, 20, grownCards, tune)
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
	c.Loads.Drift, c.ToldFor = 0, 0
	c.Loads.Least, c.Loads.PerVM = 200*time.Millisecond, 4*time.Millisecond
	c.SoftFull, c.Blind = 0.6, 0.15
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
			chosen = troubled(t, seed, 80, nil)
			before = troubled(t, seed, 80, lagging)
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
