package dispatch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/internal/routes"
)

const (
	leavingDrainBound = 2 * time.Second // the platform's drainMs
	leavingStep       = 10 * time.Millisecond
	leavingPlayed     = 8 * time.Second
	leavingFrom       = time.Second // when the server begins to say so in its responses
	datagramLoss      = 0.2
	requestsPerStep   = 0.3 // of each VM
)

// leavingVM is a VM of a leavingFleet.
type leavingVM struct {
	core       *dispatch.Core
	member     loads.Member
	up, frozen bool
	cut        bool // from the other VMs
	away       time.Duration
	passedOnAt time.Duration // when it passed on a response that says so, 0 if it has not
	nextTick   time.Duration
}

// leavingFleet plays the real cores of some VMs in virtual time beside a server whose record says
// ready and whose responses say that it leaves.
type leavingFleet struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	table *routes.Table
	vms   []*leavingVM
	// events run at their times.
	events  map[time.Duration][]func()
	servers []backend.Record // the first one leaves
	late    []string
}

func newLeavingFleet(t *testing.T, seed uint64) *leavingFleet {
	f := &leavingFleet{t: t, rng: rand.New(rand.NewPCG(seed, 11)), table: routes.NewTable(loadConfig(t)), events: map[time.Duration][]func(){}}
	for i, d := range []string{"a", "a", "b"} {
		id := backend.ID(fmt.Sprintf("app%d", i))
		f.servers = append(f.servers, backend.Record{ID: id, Service: plain, Addr: string(id), Domain: d, Slots: 6, State: backend.Ready, StartedMs: 1, Revision: uint64(1 + i)})
	}
	for i := range 9 {
		domain := []string{"a", "b"}[i%2]
		name := fmt.Sprintf("%s%d", domain, i)
		f.vms = append(f.vms, &leavingVM{member: loads.Member{VM: name, Domain: domain, Addr: name}})
	}
	for _, v := range f.vms[:8] {
		f.start(v)
	}
	return f
}

func (f *leavingFleet) at(at time.Duration, event func()) {
	at = at.Truncate(leavingStep)
	f.events[at] = append(f.events[at], event)
}

// start starts a VM: it reads the records and asks two others for what they found.
func (f *leavingFleet) start(v *leavingVM) {
	cfg := dispatch.DefaultConfig()
	cfg.VM, cfg.Domain, cfg.Incarnation = v.member.VM, v.member.Domain, uint64(f.now)+1
	cfg.Retry = retry.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 196, UsableShare: retry.DefaultUsableShare}
	*v = leavingVM{core: dispatch.New(cfg), member: v.member, up: true}
	v.core.Apply(f.table)
	for _, r := range f.servers {
		v.core.PutServer(f.now, r)
	}
	f.announce()
	f.ask(v)
}

func (f *leavingFleet) ask(v *leavingVM) {
	asked := 0
	for _, other := range f.vms {
		if other != v && other.up && !other.frozen && !other.cut && !v.cut && asked < 2 {
			asked++
			v.core.Receive(f.now, other.core.KnownFindings(f.now))
		}
	}
}

// announce tells all VMs who takes part.
func (f *leavingFleet) announce() {
	var members []loads.Member
	for _, v := range f.vms {
		if v.up {
			members = append(members, v.member)
		}
	}
	for _, v := range f.vms {
		if v.core != nil {
			v.core.Loads.SetMembers(members)
			v.core.SetVMCount(len(members))
		}
	}
}

func (f *leavingFleet) send(v *leavingVM, messages []loads.Send) {
	for _, m := range messages {
		for _, to := range f.vms {
			if to.member.Addr == m.Addr && to.up && !to.frozen && !v.cut && !to.cut && f.rng.Float64() >= datagramLoss {
				to.core.Receive(f.now, m.Message)
			}
		}
	}
}

// request sends one request of a VM and applies the server's response.
func (f *leavingFleet) request(v *leavingVM) {
	ch, refusal := v.core.Choose(f.now, plainRequest(v.core, 2))
	if refusal != nil {
		return
	}
	v.core.Release(ch)
	if ch.Target().Instance != f.servers[0].Instance() || f.now < leavingFrom {
		return
	}
	switch {
	case v.passedOnAt > 0:
		f.late = append(f.late, fmt.Sprintf("%v: %s, which passed the response on at %v", f.now, v.member.VM, v.passedOnAt))
	case f.now > leavingFrom+leavingDrainBound && f.now > v.away:
		f.late = append(f.late, fmt.Sprintf("%v: %s, which was there", f.now, v.member.VM))
	}
	v.passedOnAt = f.now
	if v.core.RecordLeaving(f.now, ch.Target().Instance) {
		f.send(v, v.core.TickFindings(f.now))
	}
}

func (f *leavingFleet) play() {
	for ; f.now < leavingPlayed; f.now += leavingStep {
		for _, event := range f.events[f.now] {
			event()
		}
		for _, v := range f.vms {
			if !v.up || v.frozen {
				continue
			}
			if f.now >= v.nextTick {
				f.send(v, v.core.Tick(f.now))
				v.nextTick = f.now + v.core.Loads.Interval()
			}
			if f.rng.Float64() < requestsPerStep {
				f.request(v)
			}
		}
	}
}

// between draws a time after the server's first word.
func (f *leavingFleet) between() time.Duration {
	return leavingFrom + time.Duration(f.rng.Int64N(int64(3*time.Second)))
}

// settled is the time after an absence within which a VM hears of the findings, with lost
// datagrams.
const settled = time.Second

// apart makes a VM frozen or cut off for a time.
func (f *leavingFleet) apart(v *leavingVM, set func(*leavingVM, bool)) {
	from := f.between()
	to := from + time.Duration(f.rng.Int64N(int64(2*time.Second)))
	v.away = to + settled
	f.at(from, func() { set(v, true) })
	f.at(to, func() { set(v, false) })
}

// putAgain makes the records of the leaving server vanish and come back.
func (f *leavingFleet) putAgain(remove func(reg *backend.Registry, id backend.ID)) {
	at := f.between()
	f.at(at, func() {
		for _, v := range f.vms {
			if v.up {
				remove(v.core.Backends, f.servers[0].ID)
			}
		}
	})
	f.at(at+300*time.Millisecond, func() {
		f.servers[0].Revision = 100
		for _, v := range f.vms {
			if v.up {
				v.core.PutServer(f.now, f.servers[0])
			}
		}
	})
}

// leavingTroubles are what may happen while the server leaves.
var leavingTroubles = map[string]func(f *leavingFleet){
	"a VM starts":  func(f *leavingFleet) { f.at(f.between(), func() { f.start(f.vms[8]) }) },
	"a VM is back": func(f *leavingFleet) { f.at(f.between(), func() { f.start(f.vms[3]) }) },
	"a VM is frozen": func(f *leavingFleet) {
		f.apart(f.vms[4], func(v *leavingVM, on bool) {
			if v.frozen = on; !on {
				f.ask(v)
			}
		})
	},
	"a VM is cut off": func(f *leavingFleet) { f.apart(f.vms[5], func(v *leavingVM, on bool) { v.cut = on }) },
	"an aggregator is gone": func(f *leavingFleet) {
		f.at(f.between(), func() { f.vms[f.rng.IntN(2)].up = false; f.announce() })
	},
	"the record is gone and back": func(f *leavingFleet) {
		f.putAgain(func(reg *backend.Registry, id backend.ID) { reg.Remove(f.now, id, 50, false) })
	},
	"the record is lost in an outage": func(f *leavingFleet) {
		f.putAgain(func(reg *backend.Registry, id backend.ID) { reg.Remove(f.now, id, 0, true) })
	},
	"another server has the address for a moment": func(f *leavingFleet) {
		f.putAgain(func(reg *backend.Registry, id backend.ID) {
			reg.Put(f.now, backend.Record{ID: "other", Service: plain, Addr: f.servers[0].Addr, StartedMs: 2, State: backend.Ready})
			reg.Remove(f.now, "other", 60, false)
		})
	},
	"the store comes back from an older copy": func(f *leavingFleet) {
		f.at(f.between(), func() {
			for _, v := range f.vms {
				if v.up {
					v.core.Backends.ForgetRevisions()
					v.core.Backends.KeepOlder(f.servers[0])
				}
			}
		})
	},
}

// TestLeavingServerGetsNoLateRequests plays each trouble alone and all together, beside lost
// datagrams.
func TestLeavingServerGetsNoLateRequests(t *testing.T) {
	const seeds = 40
	plays := map[string][]func(*leavingFleet){}
	for _, name := range slices.Sorted(maps.Keys(leavingTroubles)) { // so that a seed gives the same play
		plays[name] = append(plays[name], leavingTroubles[name])
		plays["all together"] = append(plays["all together"], leavingTroubles[name])
	}
	for name, troubles := range plays {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				f := newLeavingFleet(t, seed)
				for _, trouble := range troubles {
					trouble(f)
				}
				f.play()
				require.Empty(t, f.late, "seed %d", seed)
			}
		})
	}
}
