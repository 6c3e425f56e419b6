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

// Whatever comes when, all VMs together stay within ratio x requests + slack in
// every window.
func TestVMsTogetherStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 6
		cfg := config()
		budgets := make([]*Budget, vms)
		for i := range budgets {
			budgets[i] = New(cfg)
		}
		type event struct {
			at     time.Duration
			repeat bool
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
			requests, repeats := 0.0, 0.0
			for j := i; j < len(events) && events[j].at < events[i].at+cfg.Window; j++ {
				if events[j].repeat {
					repeats++
				} else {
					requests++
				}
			}
			// Requests count in the window before as well, as the rule says.
			for j := i - 1; j >= 0 && events[j].at >= events[i].at-cfg.Window; j-- {
				if !events[j].repeat {
					requests++
				}
			}
			require.LessOrEqual(t, repeats, cfg.Ratio*requests+cfg.Slack)
		}
	})
}

func TestHalfIsKeptForAnswersUnderWay(t *testing.T) {
	b := New(config())
	again := 0
	for b.Spend(0, Retry, 1) {
		again++
	}
	require.Equal(t, 78, again) // half of 0.8 x 196
	require.True(t, b.Spend(0, Resume, 1))
	require.False(t, b.Spend(0, Retry, 1))
}

func TestRepeatsComeBackAsTheWindowPasses(t *testing.T) {
	b := New(config())
	for b.Spend(0, Resume, 1) {
	}
	require.False(t, b.Spend(9*time.Second, Resume, 1))
	require.True(t, b.Spend(11*time.Second, Resume, 1))
}
