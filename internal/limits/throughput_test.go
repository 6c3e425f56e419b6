package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSteadySkewedDemandReachesTheBound(t *testing.T) {
	l := newLendingFleet(t, 1, 300, 0, 6, 1)
	l.vms[0].demand = 1000
	l.vms[1].demand = 50
	l.run(30 * time.Second)
	got := float64(l.admitted(5*time.Second, 30*time.Second)) / (25 * 300)
	t.Logf("admitted/bound %.3f, overshoot %.1f", got, max(0, l.check.maxOvershoot))
	require.Greater(t, got, 0.97)
	require.LessOrEqual(t, l.check.maxOvershoot, 0.0)
}

func TestSmallLimitOnManyVMsIsUsed(t *testing.T) {
	l := newLendingFleet(t, 1, 10, 0, 60, 1)
	for _, v := range l.vms {
		v.demand = 1
	}
	l.run(30 * time.Second)
	got := float64(l.admitted(5*time.Second, 30*time.Second)) / (25 * 10)
	t.Logf("admitted/bound %.3f, overshoot %.1f", got, max(0, l.check.maxOvershoot))
	require.Greater(t, got, 0.9)
	require.LessOrEqual(t, l.check.maxOvershoot, 0.0)
}
