package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

func config() Config {
	return Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 196, UsableShare: DefaultUsableShare}
}

// For any sequence of requests and retries, all VMs together stay within ratio x
// requests + slack in every window.
func TestAllVMsTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 6
		cfg := config()
		budgets := make([]*Budget, vms)
		for i := range budgets {
			budgets[i] = New(cfg)
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(0, 800).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			b := budgets[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.CountRequest(now)
				events = append(events, event{now, false})
			} else if b.Spend(now, Resume, vms) {
				events = append(events, event{now, true})
			}
		}
		for i := range events {
			requests, retries := 0.0, 0.0
			for j := i; j < len(events) && events[j].at < events[i].at+cfg.Window; j++ {
				if events[j].retry {
					retries++
				} else {
					requests++
				}
			}
			// The requests of the window before count as well.
			for j := i - 1; j >= 0 && events[j].at >= events[i].at-cfg.Window; j-- {
				if !events[j].retry {
					requests++
				}
			}
			require.LessOrEqual(t, retries, cfg.Ratio*requests+cfg.Slack)
		}
	})
}

func TestHalfOfBudgetIsReservedForResume(t *testing.T) {
	b := New(config())
	retries := 0
	for b.Spend(0, Retry, 1) {
		retries++
	}
	require.Equal(t, 78, retries) // half of 0.8 x 196
	require.True(t, b.Spend(0, Resume, 1))
	require.False(t, b.Spend(0, Retry, 1))
}

func TestBudgetRefillsAsWindowSlides(t *testing.T) {
	b := New(config())
	for b.Spend(0, Resume, 1) {
	}
	require.False(t, b.Spend(9*time.Second, Resume, 1))
	require.True(t, b.Spend(11*time.Second, Resume, 1))
}
