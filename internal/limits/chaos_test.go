package limits

import (
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

// fault is a fault, a repair or a change of demand that a chaos run injects.
type fault struct {
	After time.Duration
	Kind  string
	VM    int
	Gap   time.Duration
}

var faultKinds = []string{"kill", "pause", "thaw", "cut", "mend", "pause-lender", "thaw-lender", "hand-over", "raise", "demand", "quiet", "trickle", "burst", "burst"}

func drawFaults(t *rapid.T) []fault {
	generator := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			After: time.Duration(rapid.IntRange(0, 3000).Draw(t, "after_ms")) * time.Millisecond,
			Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			VM:    rapid.IntRange(0, 5).Draw(t, "vm"),
			Gap:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap_ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(generator, 1, 25).Draw(t, "faults")
}

func (l *lendingFleet) inject(f fault) {
	v := l.vms[f.VM%len(l.vms)]
	lender := l.lenders[f.VM%len(l.lenders)]
	switch f.Kind {
	case "kill":
		l.replace(v, f.Gap)
	case "pause":
		l.net.Pause(v.host)
	case "thaw":
		l.net.Resume(v.host)
	case "cut", "mend":
		l.net.Cut(v.host, lender.host, f.Kind == "cut")
	case "pause-lender":
		l.net.Pause(lender.host)
	case "thaw-lender":
		l.net.Resume(lender.host)
	case "hand-over":
		l.handOver(f.VM%len(l.lenders), f.Gap)
	case "raise":
		l.raise(l.limits[0].Rate * 1.5)
	case "demand":
		v.demand = float64(f.Gap / time.Millisecond)
	case "quiet":
		l.setDemand(0)
	case "trickle":
		l.setDemand(0.1 * l.limits[0].Rate)
	case "burst":
		l.setDemand(20 * l.limits[0].Rate)
	}
}

func (l *lendingFleet) setDemand(perVM float64) {
	for _, v := range l.vms {
		v.demand = perVM
	}
}

// In every window of length w, all VMs together admit at most rate*w + burst under
// any fault, and across changes of the lender that are at least one loan lifetime apart.
func TestBoundHoldsUnderChaos(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.SampledFrom([]int{1, 3, 20, 200, 1000}).Draw(rt, "rate"))
		l := newLendingFleet(rt, rapid.Uint64().Draw(rt, "seed"), rate, 0.05, 6, 3)
		l.requestSize = int64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(rt, "size"))
		if rate < 20 {
			l.requestSize = 1 // one request can take at most half of the burst
		}
		for _, v := range l.vms {
			v.demand = rate
		}
		lastChange := time.Duration(0)
		for _, f := range drawFaults(rt) {
			l.run(f.After)
			if f.Kind == "hand-over" {
				wait := lastChange + DefaultLenderConfig().loanLifetime() - l.net.Now()
				l.run(max(0, wait))
				lastChange = l.net.Now() + f.Gap
			}
			l.inject(f)
			require.LessOrEqual(rt, l.check.maxOvershoot, 0.0, "admitted above rate*w + burst")
		}
		l.run(5 * time.Second)
		require.LessOrEqual(rt, l.check.maxOvershoot, 0.0, "admitted above rate*w + burst")
		l.heal()
		l.run(6 * time.Second)
		got := float64(l.admitted(l.net.Now()-3*time.Second, l.net.Now()))
		require.Greater(rt, got, 0.5*3*l.limits[0].Rate-2*float64(l.requestSize), "too little admitted after all faults ended")
	})
}

// heal ends every fault and sets a demand of the full limit on every VM.
func (l *lendingFleet) heal() {
	l.setDemand(l.limits[0].Rate)
	for _, v := range l.vms {
		l.net.Resume(v.host)
		for _, lender := range l.lenders {
			l.net.Cut(v.host, lender.host, false)
		}
	}
	for _, lender := range l.lenders {
		l.net.Resume(lender.host)
	}
	l.announceHolders(l.net.Now() + 2*time.Second)
}

// A VM that was paused for longer than LoanTerm doesn't spend the loans that it held
// before the pause.
func TestVMSpendsNoExpiredLoanAfterPause(t *testing.T) {
	l := newLendingFleet(t, 3, 100, 0, 6, 1)
	for _, v := range l.vms {
		v.demand = 100
	}
	l.run(5 * time.Second)
	v := l.vms[2]
	l.net.Pause(v.host)
	l.run(DefaultBorrowerConfig().LoanTerm + 50*time.Millisecond)
	require.Zero(t, v.policy.(*borrowing).core.Balance(v.localTime(l.net.Now()), simKey))
	l.net.Resume(v.host)
	l.run(5 * time.Second)
	require.LessOrEqual(t, l.check.maxOvershoot, 0.0)
}

// A limit without demand causes no messages.
func TestIdleLimitSendsNoMessages(t *testing.T) {
	l := newLendingFleet(t, 3, 100, 0, 2, 1)
	l.vms[0].demand = 50
	l.run(5 * time.Second)
	l.vms[0].demand = 0
	l.run(4 * time.Second)
	sent := l.net.Sent[l.vms[0].host]
	l.run(time.Minute)
	require.Equal(t, sent, l.net.Sent[l.vms[0].host])
	require.Zero(t, l.net.Sent[memnet.Host("entry-001")])
}

func TestTakeDoesNotAllocate(t *testing.T) {
	l := newLendingFleet(t, 3, 1e6, 0, 1, 1)
	l.vms[0].demand = 1000
	l.run(5 * time.Second)
	core := l.vms[0].policy.(*borrowing).core
	now := l.vms[0].localTime(l.net.Now())
	require.Zero(t, testing.AllocsPerRun(50, func() { core.Take(now, simKey, 1) }))
}
