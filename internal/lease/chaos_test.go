package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

// fault is a fault, or the repair of one, that a run with random faults injects.
type fault struct {
	After time.Duration
	Kind  string
	Host  int
	Peer  int
}

var faultKinds = []string{
	"kill", "restart", "pause", "thaw", "cut", "mend", "cut-one-way", "cut-domain", "mend-all",
	"service-down", "service-up", "lose-replies", "keep-replies", "hide-service", "show-service", "leave",
}

func drawFaults(t *rapid.T) []fault {
	generator := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			After: time.Duration(rapid.IntRange(0, 4000).Draw(t, "after_ms")) * time.Millisecond,
			Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Host:  rapid.IntRange(0, 6).Draw(t, "host"),
			Peer:  rapid.IntRange(0, 6).Draw(t, "peer"),
		}
	})
	return rapid.SliceOfN(generator, 1, 25).Draw(t, "faults")
}

func (s *sim) inject(f fault) {
	hosts := s.hosts()
	host, peer := hosts[f.Host%len(hosts)], hosts[f.Peer%len(hosts)]
	p := s.procs[host]
	switch f.Kind {
	case "kill":
		if !p.dead {
			s.kill(host)
			s.publishCandidates()
		}
	case "restart":
		s.start(host)
	case "pause":
		if !p.dead {
			s.pause(host)
		}
	case "thaw":
		s.resume(host)
	case "cut", "mend":
		s.net.Cut(host, peer, f.Kind == "cut")
	case "cut-one-way":
		s.oneWay[[2]memnet.Host{host, peer}] = true
	case "cut-domain":
		s.cutDomain(host)
	case "mend-all":
		s.healLinks()
	case "service-down", "service-up":
		s.service.down = f.Kind == "service-down"
	case "lose-replies":
		s.service.loseReply = 0.5
	case "keep-replies":
		s.service.loseReply = 0
	case "hide-service", "show-service":
		p.serviceCut = f.Kind == "hide-service"
	case "leave":
		if !p.dead && !p.paused {
			s.step(p, s.net.Now(), Leave{})
		}
	}
}

func (s *sim) cutDomain(host memnet.Host) {
	for _, a := range s.hosts() {
		for _, b := range s.hosts() {
			if s.places[a] == s.places[host] && s.places[b] != s.places[host] {
				s.net.Cut(a, b, true)
			}
		}
	}
}

func (s *sim) healLinks() {
	clear(s.oneWay)
	for _, a := range s.hosts() {
		for _, b := range s.hosts() {
			s.net.Cut(a, b, false)
		}
	}
}

// heal repairs every fault and restarts the processes that died or left.
func (s *sim) heal() {
	s.healLinks()
	s.service.down = false
	s.service.loseReply = 0
	for _, h := range s.hosts() {
		p := s.procs[h]
		p.serviceCut = false
		s.resume(h)
		if p.dead || p.core.leaving {
			s.start(h)
		}
	}
	s.publishCandidates()
}

// Under any sequence of faults, including concurrent and repeated ones, no slot has two
// holders. After all faults are repaired, each slot has one.
func TestSingleHolderUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"), 6, 3)
		s.membershipDelay = time.Duration(rapid.SampledFrom([]int{100, 3000}).Draw(rt, "hearsay_ms")) * time.Millisecond
		suspect := time.Duration(rapid.SampledFrom([]int{500, 1200}).Draw(rt, "suspect_ms")) * time.Millisecond
		s.adjustConfig = func(cfg *Config) { cfg.SuspectAfter = suspect }
		s.startAll()
		for _, f := range drawFaults(rt) {
			s.run(f.After)
			s.inject(f)
		}
		s.run(4 * time.Second)
		s.heal()
		s.run(30 * time.Second)
		for slot := range s.slots {
			require.True(rt, s.liveHolder(s.net.Now(), slot), "slot %d has no holder after all faults were repaired", slot)
		}
	})
}

// After any single failure each slot has a live holder within 5 s.
func TestLiveHolderWithinFiveSecondsOfSingleFailure(t *testing.T) {
	for _, vms := range []int{6, 9} {
		for _, kind := range []string{"kill", "pause", "restart", "cut-domain", "leave", "service-down", "hide-service"} {
			t.Run(fmt.Sprintf("%s-%d", kind, vms), func(t *testing.T) {
				worst := time.Duration(0)
				for seed := range uint64(12) {
					s := newSim(t, seed, vms, 3)
					s.startAll()
					s.inject(fault{Kind: kind, Host: int(seed) % vms})
					s.run(25 * time.Second)
					worst = max(worst, s.longestGap)
					require.Less(t, s.longestGap, 5*time.Second, "seed %d", seed)
				}
				t.Logf("longest time without a live holder: %v", worst)
			})
		}
	}
}
