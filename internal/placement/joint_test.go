package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/placement"
)

// jointFleet is a fleet with the demand for which joint losses are played.
type jointFleet struct {
	name    string
	spec    *engine.Spec
	servers []placement.Server
	demand  placement.Demand
}

// mixedFleet deals the given numbers of accelerators to domains in random order, each
// type from another domain on. The demand is a share of upperBound.
func mixedFleet(name string, s *engine.Spec, seed uint64, domains int, share float64, types []engine.Accelerator, counts []int) jointFleet {
	rng := rand.New(rand.NewPCG(seed, 11))
	var servers []placement.Server
	for t, n := range counts {
		order := rng.Perm(domains)
		for i := range n {
			servers = append(servers, placement.Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprintf("%d-%02d", t, i))},
				Domain: fmt.Sprint(order[i%domains]), Accelerator: types[t]})
		}
	}
	return jointFleet{name: fmt.Sprintf("%s/%d", name, seed), spec: s, servers: servers, demand: equalDemand(domains, share*upperBound(s, servers))}
}

func equalDemand(domains int, total float64) placement.Demand {
	demand := placement.Demand{}
	for d := range domains {
		demand[fmt.Sprint(d)] = total / float64(domains)
	}
	return demand
}

// jointFleets returns the fleets by kind.
func jointFleets(t testing.TB) map[string][]jointFleet {
	base := spec(t)
	a100 := engine.Accelerator{MemoryMB: 72000, StepFactor: 2.4, PrefillFactor: 3.2}
	v100 := engine.Accelerator{MemoryMB: 14400, StepFactor: 5.3, PrefillFactor: 7.9}
	l4 := engine.Accelerator{MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2}
	h100 := engine.Accelerator{MemoryMB: 72000, StepFactor: 1.2, PrefillFactor: 1.2}
	a100s := engine.Accelerator{MemoryMB: 36000, StepFactor: 3.1, PrefillFactor: 3.2}
	t4 := engine.Accelerator{MemoryMB: 14400, StepFactor: 19, PrefillFactor: 16}
	out := map[string][]jointFleet{}
	for seed := range uint64(8) {
		out["38 in 3"] = append(out["38 in 3"], mixedFleet("38 in 3", base, seed, 3, 0.3, []engine.Accelerator{a100, v100, l4}, []int{4, 20, 14}))
		out["98 in 3"] = append(out["98 in 3"], mixedFleet("98 in 3", base, seed, 3, 0.6, []engine.Accelerator{h100, a100s, l4, t4}, []int{2, 8, 44, 44}))
		out["98 in 2"] = append(out["98 in 2"], mixedFleet("98 in 2", base, seed, 2, 0.6, []engine.Accelerator{h100, a100s, l4, t4}, []int{2, 8, 44, 44}))
	}
	for seed := range uint64(24) {
		s, servers, demand := generatedFleet(base, seed)
		if demand.Total() == 0 || len(servers) > 300 {
			continue
		}
		out["generated"] = append(out["generated"], jointFleet{name: fmt.Sprintf("generated/%d", seed), spec: s, servers: servers, demand: demand})
	}
	return out
}

// jointLosses returns the losses that are played: "most used" are the three servers that
// process the most layers of requests, "one path" the three such servers of one failure
// domain, "first" the three fastest first stages, and "last copy" the loss of placement.Losses after which least is served.
func jointLosses(f jointFleet, servers []placement.Server) map[string][]backend.Instance {
	use := map[backend.Instance]float64{}
	kv := map[string][]float64{}
	capacity := func(s placement.Server) float64 {
		return f.spec.KVCapacity(s.Accelerator, s.Held.Len()) / float64(s.Held.Len())
	}
	for _, s := range servers {
		if kv[s.Domain] == nil {
			kv[s.Domain] = make([]float64, f.spec.Layers)
		}
		for l := s.Held.From; l < s.Held.To; l++ {
			kv[s.Domain][l] += capacity(s)
		}
	}
	for _, s := range servers {
		for l := s.Held.From; l < s.Held.To; l++ {
			use[s.Instance] += f.demand[s.Domain] * capacity(s) / kv[s.Domain][l]
		}
	}
	byUse := slices.Clone(servers)
	slices.SortStableFunc(byUse, func(a, b placement.Server) int { return cmp.Compare(use[b.Instance], use[a.Instance]) })
	var used, path, last []backend.Instance
	for _, s := range byUse {
		if len(used) < placement.MaxJointLosses {
			used = append(used, s.Instance)
		}
		if len(path) < placement.MaxJointLosses && s.Domain == byUse[0].Domain {
			path = append(path, s.Instance)
		}
	}
	first := slices.DeleteFunc(slices.Clone(byUse), func(s placement.Server) bool { return s.Held.From > 0 || s.Held.Len() == 0 })
	slices.SortStableFunc(first, func(a, b placement.Server) int {
		return cmp.Compare(a.Accelerator.StepFactor, b.Accelerator.StepFactor)
	})
	var stages []backend.Instance
	for _, s := range first[:min(len(first), placement.MaxJointLosses)] {
		stages = append(stages, s.Instance)
	}
	least := 2.0
	for _, loss := range placement.Losses(f.spec, servers) {
		if share := f.share(without(servers, loss.Servers)); share < least {
			least, last = share, loss.Servers
		}
	}
	out := map[string][]backend.Instance{"most used": used, "one path": path, "first": stages}
	if last != nil {
		out["last copy"] = last
	}
	return out
}

func without(servers []placement.Server, lost []backend.Instance) []placement.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool { return slices.Contains(lost, s.Instance) })
}

// share returns the share of the demand that the servers serve now; those that load serve
// nothing.
func (f jointFleet) share(servers []placement.Server) float64 {
	ready := slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool { return s.OrderPending })
	return placement.Evaluate(f.spec, ready, f.demand).Served() / f.demand.Total()
}

// recovery is what a played loss did.
type recovery struct {
	before, after, mean float64       // share served before, right after, and over the 10 s after the loss
	complete            time.Duration // until each failure domain that had a complete copy has one
	served              time.Duration // until 0.95 of the share before is served
	loads               int
}

const (
	playStep = 100 * time.Millisecond // the default of the router's PlanInterval
	playTime = 30 * time.Second
)

// playLoss plays plans and loads after a loss, from the moment it is known. At most
// MaxConcurrentLoads loads run at full speed; more share that speed, down to a third.
// joining servers are empty and join at the moment of the loss.
func playLoss(f jointFleet, servers []placement.Server, lost []backend.Instance, joining ...placement.Server) recovery {
	r := recovery{before: f.share(servers), complete: -1, served: -1}
	had := map[string]bool{}
	for d := range f.demand {
		had[d] = covered(f.spec, servers, d)
	}
	servers = without(servers, lost)
	r.after = f.share(servers)
	servers = append(servers, joining...)
	left := make([]time.Duration, len(servers)) // load time at full speed
	changed, share := true, r.after
	for now := time.Duration(0); now < playTime; now += playStep {
		if changed { // otherwise the plan is empty as before
			orders := placement.Plan(withCover(), f.spec, servers)
			for _, o := range orders {
				i := slices.IndexFunc(servers, func(s placement.Server) bool { return s.Instance == o.Instance })
				servers[i].Held, servers[i].OrderPending = o.Layers, true
				left[i] = f.spec.LoadTime(o.Layers.Len(), 1)
				r.loads++
			}
			changed, share = len(orders) > 0, f.share(servers)
			if r.served < 0 && share >= 0.95*r.before {
				r.served = now
			}
			if r.complete < 0 && domainsComplete(f, servers, had) {
				r.complete = now
			}
		}
		if now < 10*time.Second {
			r.mean += share / float64(10*time.Second/playStep)
		}
		running := 0
		for _, s := range servers {
			if s.OrderPending {
				running++
			}
		}
		slowdown := float64(f.spec.LoadTime(f.spec.Layers, running)) / float64(f.spec.LoadTime(f.spec.Layers, 1))
		for i := range servers {
			if servers[i].OrderPending {
				left[i] -= time.Duration(float64(playStep) / slowdown)
				servers[i].OrderPending = left[i] > 0
				changed = changed || left[i] <= 0
			}
		}
	}
	if r.served < 0 {
		r.served = playTime
	}
	if r.complete < 0 {
		r.complete = playTime
	}
	return r
}

func domainsComplete(f jointFleet, servers []placement.Server, had map[string]bool) bool {
	ready := slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool { return s.OrderPending })
	for d, was := range had {
		if was && !covered(f.spec, ready, d) {
			return false
		}
	}
	return true
}

// minServedAfterLoss are the least shares served right after the loss of three servers, as the
// mean of the fleets of a kind. "most used" of "38 in 3" served 0.625 and "first" nothing while
// the fastest servers of all domains had the same range.
var minServedAfterLoss = map[string]map[string]float64{
	"38 in 3":   {"most used": 0.95, "one path": 0.95, "first": 0.65},
	"98 in 3":   {"most used": 0.93, "one path": 0.95, "first": 0.89},
	"98 in 2":   {"most used": 0.93, "one path": 0.95, "first": 0.93},
	"generated": {"most used": 0.95, "one path": 0.95, "first": 0.95},
}

// maxComplete are the longest times until each domain has a complete copy again, as the mean of
// the fleets of a kind. With joining servers it was 3.3 s on "98 in 3", while copies of layers
// that were served loaded beside the missing ones.
var maxComplete = map[string]map[string]time.Duration{
	"98 in 3": {"last copy": time.Second, "most used, joins": 2 * time.Second, "last copy, joins": 2 * time.Second},
	"98 in 2": {"last copy": time.Second, "last copy, joins": 2 * time.Second},
}

// Guards against placements that lose most of their service with the three servers that
// serve the same streams. Run with -v for the table.
func TestPlayJointLosses(t *testing.T) {
	fleets := jointFleets(t)
	for _, kind := range []string{"38 in 3", "98 in 3", "98 in 2", "generated"} {
		sum, n := map[string]recovery{}, map[string]int{}
		for _, f := range fleets[kind] {
			servers, _ := settleWith(t, withCover(), f.spec, f.servers)
			plays := map[string]recovery{}
			for name, lost := range jointLosses(f, servers) {
				plays[name] = playLoss(f, servers, lost)
			}
			// Every fourth server joins at the moment of the loss.
			var present, joining []placement.Server
			for i, srv := range f.servers {
				if i%4 == 3 {
					joining = append(joining, srv)
				} else {
					present = append(present, srv)
				}
			}
			present, _ = settleWith(t, withCover(), f.spec, present)
			for name, lost := range jointLosses(f, present) {
				plays[name+", joins"] = playLoss(f, present, lost, joining...)
			}
			for name, r := range plays {
				s := sum[name]
				sum[name] = recovery{before: s.before + r.before, after: s.after + r.after, mean: s.mean + r.mean, complete: s.complete + r.complete, served: s.served + r.served, loads: s.loads + r.loads}
				n[name]++
				if testing.Verbose() {
					t.Logf("  %-14s %-16s before %.3f after %.3f mean %.3f; complete %v, 0.95 served %v, loads %d", f.name, name, r.before, r.after, r.mean, r.complete, r.served, r.loads)
				}
			}
		}
		for _, name := range []string{"most used", "one path", "first", "last copy", "most used, joins", "last copy, joins"} {
			s, k := sum[name], float64(max(1, n[name]))
			t.Logf("%-9s %-16s %2d plays: before %.3f after %.3f mean of 10 s %.3f; complete %5.2f s, 0.95 served %5.2f s, loads %.1f", kind, name, n[name], s.before/k, s.after/k, s.mean/k,
				s.complete.Seconds()/k, s.served.Seconds()/k, float64(s.loads)/k)
			require.GreaterOrEqual(t, s.after/k, minServedAfterLoss[kind][name], "%s, %s", kind, name)
			if most, ok := maxComplete[kind][name]; ok {
				require.LessOrEqual(t, s.complete.Seconds()/k, most.Seconds(), "%s, %s", kind, name)
			}
		}
	}
}

// Guards against cover that costs service while no server is lost: a plan with it serves at
// least 0.99 of what a plan without it serves, also of more than all servers can.
func TestCoverCostsLittle(t *testing.T) {
	plain := placement.DefaultConfig()
	for _, fleets := range jointFleets(t) {
		for _, f := range fleets {
			with, without := placement.Plan(withCover(), f.spec, f.servers), placement.Plan(plain, f.spec, f.servers)
			for _, times := range []float64{0.5, 1, 2, 100} {
				demand := placement.Demand{}
				for d, rate := range f.demand {
					demand[d] = rate * times
				}
				served := placement.Evaluate(f.spec, applyOrders(f.servers, with), demand).Served()
				bound := placement.Evaluate(f.spec, applyOrders(f.servers, without), demand).Served()
				require.GreaterOrEqual(t, served, 0.99*bound-1e-9, "%s at %.1f of its demand", f.name, times)
			}
		}
	}
}

// Guards against loads of copies that slow down the loads of missing layers, and against copies
// that are never loaded.
func TestMissingLayersLoadFirst(t *testing.T) {
	s := spec(t)
	s.MaxConcurrentLoads = 2
	servers, _ := settleWith(t, withCover(), s, emptyServers(s, 1, 8, 6))
	servers = slices.DeleteFunc(servers, func(srv placement.Server) bool { return srv.Domain == "a" && srv.Held.From < 20 })
	require.False(t, covered(s, servers, "a"))
	for i := range 10 {
		servers = append(servers, placement.Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprint("join", i))}, Domain: "a", Accelerator: s.Accelerators["l4"]})
	}
	orders := placement.Plan(withCover(), s, servers)
	held := heldBy(s, servers, "a", nil)
	require.NotEmpty(t, orders)
	for _, o := range orders {
		if len(orders) > s.MaxConcurrentLoads {
			require.Contains(t, held[o.Layers.From:o.Layers.To], false, "a copy of served layers loads beside missing ones")
		}
	}
	servers, _ = settleWith(t, withCover(), s, servers)
	require.True(t, covered(s, servers, "a"))
	for _, srv := range servers {
		require.Positive(t, srv.Held.Len(), "%s gets no layers", srv.Instance.ID)
	}
}

// The plan with the most trials: a failure domain of 600 servers has lost all holders of its
// first layer.
func BenchmarkPlan600Gap(b *testing.B) {
	s := spec(b)
	servers, _ := settle(b, s, emptyServers(s, 20, 100, 80))
	servers = slices.DeleteFunc(servers, func(srv placement.Server) bool { return srv.Domain == "a" && srv.Held.From == 0 })
	require.False(b, covered(s, servers, "a"))
	b.ReportAllocs()
	for b.Loop() {
		placement.Plan(withCover(), s, servers)
	}
}

// withCover returns the settings of plans that consider joint losses.
func withCover() placement.Config {
	cfg := placement.DefaultConfig()
	cfg.MaxCoverCost = 0.01
	return cfg
}
