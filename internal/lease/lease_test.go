package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/stretchr/testify/require"
)

func TestBootstrapChoosesOddMemberCount(t *testing.T) {
	s := newSim(t, 1, 6, 3)
	s.startAll()
	r := s.procs["vm-00"].core.Roster()
	require.Len(t, r.Members, 5)
}

func TestKilledHolderReplacedWithinFiveSeconds(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(t, seed, 6, 3)
		s.startAll()
		s.kill(s.holderOf(0).host)
		s.run(20 * time.Second)
		require.Less(t, s.longestGap, 5*time.Second, "seed %d", seed)
		require.NotNil(t, s.holderOf(0))
	}
}

func TestHoldersKeepSlotsDuringServiceOutage(t *testing.T) {
	s := newSim(t, 7, 6, 3)
	s.startAll()
	s.service.down = true
	s.run(10 * time.Minute)
	require.Zero(t, s.longestGap)
}

// All VMs are replaced while their old processes are paused. The old processes may resume
// at any time and must not act as holders.
func TestSingleHolderWhenPausedVMsAreReplaced(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 6, 3)
		s.startAll()
		s.membershipDelay = 50 * time.Millisecond
		for _, h := range s.hosts() {
			s.pause(h)
		}
		for _, h := range s.hosts() {
			s.start(h)
		}
		s.run(10 * time.Second)
		require.NotNil(t, s.holderOf(0), "seed %d", seed)
	}
}

// A holder that is killed soon after the first roster was written is replaced within 5 s.
func TestHolderKilledSoonAfterBootstrap(t *testing.T) {
	for seed := range uint64(40) {
		s := newSim(t, seed, 6, 3)
		s.membershipDelay = 300 * time.Millisecond
		for _, h := range s.hosts() {
			s.start(h)
		}
		for s.holderOf(0) == nil {
			s.run(simTick)
		}
		s.run(time.Duration(seed) * simTick)
		s.kill(s.holderOf(0).host)
		s.run(10 * time.Second)
		require.NotNil(t, s.holderOf(0), "seed %d", seed)
		require.Less(t, s.longestGap, 5*time.Second, "seed %d", seed)
	}
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	err := Config{}.Validate()
	for _, field := range []string{"self.vm", "addr", "promise_term", "ask_every", "max_members", "slots"} {
		require.ErrorContains(t, err, field)
	}
	cfg := DefaultConfig()
	cfg.Self.VM = "vm"
	cfg.Addr = "127.0.0.1:1"
	require.NoError(t, cfg.Validate())
}

func FuzzDecodeRoster(f *testing.F) {
	first := firstRoster([]Member{{Instance: ident.Instance{VM: "a", Incarnation: 1}}}, 4)
	data, err := first.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"version":1,"slots":[{"h":9}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRoster(data)
		if err != nil {
			return
		}
		for slot := range r.Slots {
			r.Holder(slot)
		}
		next := nextRoster(r, r.Members)
		require.NoError(t, next.Validate())
	})
}

// The network is partitioned at the moment at which a roster without two leaving members
// is written. A leaving holder keeps its slot, with promises of the majority that has not
// received the new roster. The new holder has promises of a majority of the new members,
// but reports of only a minority of the former ones, and must not act.
func TestPartitionDuringRosterWrite(t *testing.T) {
	s := newSim(t, 5, 5, 5)
	s.startAll()
	leaver := s.holderOf(0)
	leaver.serviceCut = true
	hosts := slices.DeleteFunc(s.hosts(), func(h memnet.Host) bool { return h == leaver.host })
	informed, uninformed := hosts[:2], append(hosts[2:], leaver.host)
	s.onWrite = func(writer memnet.Host) {
		if !slices.Contains(informed, writer) {
			return
		}
		for _, a := range informed {
			for _, b := range uninformed {
				s.net.Cut(a, b, true)
			}
		}
	}
	for _, h := range uninformed {
		s.procs[h].serviceCut = true
	}
	s.step(leaver, s.net.Now(), Leave{})
	s.step(s.procs[uninformed[0]], s.net.Now(), Leave{})
	s.run(20 * time.Second)
	require.NotNil(t, s.holderOf(0))
	s.onWrite = nil
	s.healLinks()
	for _, h := range uninformed {
		s.procs[h].serviceCut = false
	}
	s.run(10 * time.Second)
	require.True(t, leaver.left)
}
