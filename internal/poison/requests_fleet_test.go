package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainFleet plays VMs with Guards and the replicas of a plain service in virtual time, in
// steps of 1 ms. VMs handle requests as the router does: a request is sent again after a
// crash, suspects one at a time, and at most two replicas end on one request.
type plainFleet struct {
	rng      *rand.Rand
	now      time.Duration
	guards   []*Guard
	turns    []*plainRequest // the suspect that runs on each VM
	replicas []fleetServer
	waiting  []*plainRequest
	running  []*plainRequest
	messages []fleetMessage
	// deadlyEvery is the interval of repetitions of the deadly request, 0 for none;
	// popularShare is the share of the sound requests that repeat one of them.
	deadlyEvery  time.Duration
	popularShare float64

	crashes, lateSends     int // by the deadly request; sends of it from contact after the third
	thirdCrash             time.Duration
	sent, served, rejected int // sound requests; rejected as blocked
	popularRejected        int
}

type plainRequest struct {
	vm          int
	fingerprint string
	arrivedAt   time.Duration
	crashes     int
	trial       bool
	replica     int
	incarnation uint32
	sentAt      time.Duration
	endsAt      time.Duration
}

const (
	plainWork     = 60 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
	plainSlots    = 6
	trialVM       = 1 // lets blocked requests through
	deadly        = "deadly"
	popular       = "popular"
)

func newPlainFleet(seed uint64, vms, replicas int) *plainFleet {
	f := &plainFleet{rng: rand.New(rand.NewPCG(seed, 9)), turns: make([]*plainRequest, vms), thirdCrash: never}
	for range vms {
		f.guards = append(f.guards, New(DefaultConfig()))
	}
	for i := range replicas {
		f.replicas = append(f.replicas, fleetServer{incarnation: uint32(i + 1)})
	}
	return f
}

func (f *plainFleet) play(duration time.Duration, trouble func()) {
	for end := f.now + duration; f.now < end; f.now += time.Millisecond {
		trouble()
		f.deliver()
		f.finishRuns()
		if f.rng.IntN(40) == 0 { // 25 sound requests a second
			f.sent++
			fingerprint := fmt.Sprint("own-", f.sent)
			if f.rng.Float64() < f.popularShare {
				fingerprint = popular
			}
			f.arrive(fingerprint)
		}
		if f.deadlyEvery > 0 && f.now%f.deadlyEvery == 0 {
			f.arrive(deadly)
		}
		f.sendWaiting()
		if f.now%fleetInterval == 0 {
			for vm := range f.guards {
				f.share(vm)
			}
		}
	}
}

func (f *plainFleet) arrive(fingerprint string) {
	f.waiting = append(f.waiting, &plainRequest{vm: f.rng.IntN(len(f.guards)), fingerprint: fingerprint, arrivedAt: f.now})
}

func (f *plainFleet) sendWaiting() {
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		g, subject := f.guards[r.vm], Subject{Request: RequestPart(r.fingerprint)}
		_, blocked := g.Find(f.now, subject)
		if blocked && (r.trial || (r.vm == trialVM && r.crashes == 0 && g.BeginTrial(f.now, subject.Request))) {
			r.trial, blocked = true, false
		}
		if blocked {
			if r.fingerprint != deadly {
				f.rejected++
			}
			if r.fingerprint == popular {
				f.popularRejected++
			}
			continue
		}
		if f.now-r.arrivedAt > plainDeadline {
			continue
		}
		at, suspect := g.SendAfter(subject.Request)
		if suspect && (f.now < at || f.turns[r.vm] != nil) || !f.send(r) {
			f.waiting = append(f.waiting, r)
			continue
		}
		if suspect {
			f.turns[r.vm] = r
		}
	}
}

// send sends a request to a replica with a free slot, if there is one.
func (f *plainFleet) send(r *plainRequest) bool {
	start := f.rng.IntN(len(f.replicas))
	for i := range f.replicas {
		n := (start + i) % len(f.replicas)
		if s := f.replicas[n]; f.now >= s.upAt && f.load(n) < plainSlots {
			r.replica, r.incarnation, r.sentAt = n, s.incarnation, f.now
			r.endsAt = f.now + plainWork/2 + time.Duration(f.rng.Int64N(int64(plainWork)))
			f.running = append(f.running, r)
			if r.fingerprint == deadly && f.thirdCrash != never && f.now > f.thirdCrash+fleetContact {
				f.lateSends++
			}
			return true
		}
	}
	return false
}

func (f *plainFleet) load(replica int) int {
	n := 0
	for _, r := range f.running {
		if r.replica == replica {
			n++
		}
	}
	return n
}

func (f *plainFleet) finishRuns() {
	for _, r := range slices.Clone(f.running) {
		if f.now < r.endsAt || !slices.Contains(f.running, r) {
			continue
		}
		if r.fingerprint == deadly {
			if f.crashes++; f.crashes == 3 {
				f.thirdCrash = f.now
			}
			f.crash(r.replica)
			continue
		}
		f.remove(r)
		f.served++
		g := f.guards[r.vm]
		heard := g.RecordResponse(f.now, r.sentAt, r.incarnation)
		if g.RecordProgress(f.now, Subject{Request: RequestPart(r.fingerprint)}).News || heard.News {
			f.share(r.vm)
		}
	}
}

func (f *plainFleet) remove(r *plainRequest) {
	f.running = slices.DeleteFunc(f.running, func(other *plainRequest) bool { return other == r })
	if f.turns[r.vm] == r {
		f.turns[r.vm] = nil
	}
}

// crash ends a replica and cuts its runs.
func (f *plainFleet) crash(n int) {
	s := &f.replicas[n]
	if f.now < s.upAt {
		return
	}
	f.cut(n, func(*plainRequest) bool { return true })
	s.incarnation += 1000
	s.upAt = f.now + fleetRestart
}

// cut ends the connections of some runs on a replica.
func (f *plainFleet) cut(n int, which func(*plainRequest) bool) {
	for _, r := range slices.Clone(f.running) {
		if r.replica != n || !which(r) {
			continue
		}
		f.remove(r)
		f.guards[r.vm].RecordCrash(f.now, CutRun{Server: r.incarnation, Subject: Subject{Request: RequestPart(r.fingerprint)}, SentAt: r.sentAt, EndedAt: f.now})
		f.share(r.vm)
		if r.crashes++; r.crashes < 2 && !r.trial {
			f.waiting = append(f.waiting, r)
		}
	}
}

// share sends a VM's update to all others; one in ten messages is lost.
func (f *plainFleet) share(vm int) {
	f.guards[vm].Judge(f.now)
	u := f.guards[vm].Update(f.now)
	for to := range f.guards {
		if to != vm && u != nil && f.rng.IntN(10) > 0 {
			f.messages = append(f.messages, fleetMessage{f.now + fleetHop, to, u})
		}
	}
}

func (f *plainFleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at > f.now {
			f.messages = append(f.messages, m)
			continue
		}
		if f.guards[m.to].Receive(f.now, m.update).New {
			f.share(m.to)
		}
	}
}

// plainTroubles end replicas or connections for other reasons than a request.
func plainTroubles() map[string]func(*plainFleet) {
	return map[string]func(*plainFleet){
		"none": func(*plainFleet) {},
		"a failure domain is lost": func(f *plainFleet) {
			if f.now%(5*time.Second) == 2*time.Second {
				f.crash(0)
			}
		},
		"all replicas are lost": func(f *plainFleet) {
			if f.now%(7*time.Second) == 2*time.Second {
				for n := range f.replicas {
					f.crash(n)
				}
			}
		},
		"replicas are lost one after the other": func(f *plainFleet) {
			if f.now%(1500*time.Millisecond) == 0 {
				f.crash(int(f.now/(1500*time.Millisecond)) % len(f.replicas))
			}
		},
		"a VM's connections are reset": func(f *plainFleet) {
			if f.now%(700*time.Millisecond) == 0 {
				for n := range f.replicas {
					f.cut(n, func(r *plainRequest) bool { return r.vm == 1 })
				}
			}
		},
		"replicas break off one answer in ten": func(f *plainFleet) {
			if f.now%(400*time.Millisecond) == 0 && len(f.running) > 0 {
				one := f.running[f.rng.IntN(len(f.running))]
				if one.fingerprint != deadly {
					f.cut(one.replica, func(r *plainRequest) bool { return r == one })
				}
			}
		},
	}
}

// forEachCase runs a test for each trouble and share of popular requests.
func forEachCase(t *testing.T, test func(t *testing.T, trouble func(*plainFleet), popularShare float64)) {
	for name, trouble := range plainTroubles() {
		for _, share := range []float64{0, 0.2, 0.5} {
			t.Run(fmt.Sprintf("%s/%.1f popular", name, share), func(t *testing.T) {
				t.Parallel()
				test(t, trouble, share)
			})
		}
	}
}

const fleetSeeds = 6

func TestFleetStopsARepeatedRequestThatCrashesReplicas(t *testing.T) {
	t.Parallel()
	forEachCase(t, func(t *testing.T, trouble func(*plainFleet), popularShare float64) {
		for _, vms := range []int{6, 22} {
			var crashes []int
			for seed := range uint64(fleetSeeds) {
				f := newPlainFleet(seed, vms, 3)
				f.popularShare, f.deadlyEvery = popularShare, time.Duration(150+400*(seed%4))*time.Millisecond
				f.play(25*time.Second, func() { trouble(f) })
				crashes = append(crashes, f.crashes)
				require.LessOrEqual(t, f.lateSends, 3, "%d VMs, seed %d: %d crashes", vms, seed, f.crashes)
			}
			t.Logf("%d VMs: crashes by seed %v", vms, crashes)
		}
	})
}

func TestFleetBlocksNoSoundRequest(t *testing.T) {
	t.Parallel()
	forEachCase(t, func(t *testing.T, trouble func(*plainFleet), popularShare float64) {
		for _, deadlyEvery := range []time.Duration{0, 300 * time.Millisecond} {
			sent, served, rejected := 0, 0, 0
			for seed := range uint64(fleetSeeds) {
				f := newPlainFleet(seed, 6, 3)
				f.popularShare, f.deadlyEvery = popularShare, deadlyEvery
				f.play(15*time.Second, func() { trouble(f) })
				sent, served, rejected = sent+f.sent, served+f.served, rejected+f.rejected
			}
			t.Logf("deadly request every %v: %d of %d served, %d rejected", deadlyEvery, served, sent, rejected)
			require.LessOrEqual(t, rejected, 5+sent/500, "deadly request every %v", deadlyEvery)
		}
	})
}
