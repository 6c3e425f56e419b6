package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFirstStartSpreadsSlots(t *testing.T) {
	s := newSim(t, 1, 6, 3)
	s.settleDown()
	r := s.procs["vm-00"].core.Roster()
	require.Len(t, r.Members, 5)
}

func TestHolderKilledIsReplacedWithinFiveSeconds(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(t, seed, 6, 3)
		s.settleDown()
		s.kill(s.holderOf(0).host)
		s.run(20 * time.Second)
		require.Less(t, s.longestGap, 5*time.Second, "seed %d", seed)
		require.NotNil(t, s.holderOf(0))
	}
}

func TestOutageOfTheServiceChangesNothing(t *testing.T) {
	s := newSim(t, 7, 6, 3)
	s.settleDown()
	s.service.down = true
	s.run(10 * time.Minute)
	require.Zero(t, s.longestGap)
}
