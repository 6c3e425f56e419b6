package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
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

// All VMs are replaced while their old processes stand still and might wake up
// at any moment.
func TestReplacedWhilePaused(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 6, 3)
		s.settleDown()
		s.hearsay = 50 * time.Millisecond
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

// A holder that dies soon after the first start is replaced like any other.
func TestHolderKilledSoonAfterTheFirstStart(t *testing.T) {
	for seed := range uint64(40) {
		s := newSim(t, seed, 6, 3)
		s.hearsay = 300 * time.Millisecond
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

func TestValidateNamesEveryFault(t *testing.T) {
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

// The network splits at the moment at which a roster is written that takes two
// leaving members out: a holder among them goes on with the majority that has
// not heard of it. The new holder has the majority of the new members, but only
// a minority of the former ones, and must not act.
func TestSplitWhileARosterIsWritten(t *testing.T) {
	s := newSim(t, 5, 5, 5)
	s.settleDown()
	leaver := s.holderOf(0)
	leaver.noKV = true
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
		s.procs[h].noKV = true
	}
	s.step(leaver, s.net.Now(), Leave{})
	s.step(s.procs[uninformed[0]], s.net.Now(), Leave{})
	s.run(20 * time.Second)
	require.NotNil(t, s.holderOf(0))
	s.onWrite = nil
	s.mendAll()
	for _, h := range uninformed {
		s.procs[h].noKV = false
	}
	s.run(10 * time.Second)
	require.True(t, leaver.left)
}
