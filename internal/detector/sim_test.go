package detector

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
)

const ms = time.Millisecond

// simConfig is a fleet that is played in virtual time.
type simConfig struct {
	vms, servers, streamsPerVM, stages int
	domains                            int
	loss                               float64 // of a packet, each way
	noWatches                          bool
}

// simState is what a server does with connections and events.
type simState uint8

const (
	simUp simState = iota
	simCrashed
	simDark
)

// simLink is what a VM's own links do with new connections.
type simLink uint8

const (
	linkUp simLink = iota
	linkRefuses
	linkSilent
	linkResets // new connections open and are reset
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q simQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simServer struct {
	Server
	state simState
	slowX float64
}

type simStream struct {
	path      []int
	lastEvent time.Duration
	pace      Pace
	told      bool // silence
	moved     bool
}

type simVM struct {
	sim      *sim
	name     string
	core     *Core
	streams  []*simStream
	link     simLink
	pausedTo time.Duration
	evidence map[backend.Instance]time.Duration // first evidence at this VM
	verdicts []simVerdict
	messages int
	wakeAt   time.Duration
}

type simVerdict struct {
	Verdict
	at      time.Duration
	streams int // that it moves
}

type sim struct {
	cfg     simConfig
	rnd     *rand.Rand
	now     time.Duration
	seq     int
	queue   simQueue
	servers []*simServer
	vms     []*simVM
	told    []time.Duration // when messages were sent
	arrived []time.Duration // delays of messages from their sending
}

func newSim(cfg simConfig, seed int64) *sim {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewSource(seed)), now: time.Second}
	if s.cfg.domains == 0 {
		s.cfg.domains = 3
	}
	var known []Server
	for i := range cfg.servers {
		srv := Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprintf("s%03d", i)), StartedMs: 1}, Service: "m", Domain: fmt.Sprint("d", i%s.cfg.domains), Addr: fmt.Sprint("s", i)}
		s.servers = append(s.servers, &simServer{Server: srv, slowX: 1})
		known = append(known, srv)
	}
	var names []string
	for i := range cfg.vms {
		names = append(names, fmt.Sprintf("v%03d", i))
	}
	for i, name := range names {
		vm := &simVM{sim: s, name: name, core: New(DefaultConfig(), name, uint64(seed)<<16+uint64(i)), evidence: map[backend.Instance]time.Duration{}}
		vm.core.SetVMs(names)
		vm.core.SetServers(s.now, known)
		for range cfg.streamsPerVM {
			st := &simStream{path: s.rnd.Perm(cfg.servers)[:cfg.stages]}
			vm.streams = append(vm.streams, st)
			s.after(time.Duration(s.rnd.Int63n(int64(20*ms))), func() { s.event(vm, st) })
		}
		s.vms = append(s.vms, vm)
		s.after(time.Duration(s.rnd.Int63n(int64(20*ms))), func() { s.scan(vm) })
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

func (s *sim) runUntil(at time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= at {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = at
}

// delay is that of a packet one way.
func (s *sim) delay() time.Duration {
	return 300*time.Microsecond + time.Duration(s.rnd.Int63n(int64(1200*time.Microsecond)))
}

func (s *sim) lost() bool { return s.rnd.Float64() < s.cfg.loss }

// event plays the next event of a stream: each 20 ms, later if a packet is lost, never while a
// stage is gone.
func (s *sim) event(vm *simVM, st *simStream) {
	next := 15*ms + time.Duration(s.rnd.Int63n(int64(10*ms)))
	flows := vm.link == linkUp || vm.link == linkRefuses
	for _, i := range st.path {
		flows = flows && s.servers[i].state == simUp
		next = max(next, time.Duration(float64(20*ms)*s.servers[i].slowX))
	}
	if flows && s.now >= vm.pausedTo {
		if st.lastEvent > 0 {
			st.pace.Observe(vm.core.cfg.Pace, s.now-st.lastEvent)
		}
		st.lastEvent, st.told = s.now, false
		if s.lost() {
			next += 200 * ms // until TCP sends the packet again
		}
	}
	if !st.moved {
		s.after(next, func() { s.event(vm, st) })
	}
}

// scan looks for silent streams, as the shell does.
func (s *sim) scan(vm *simVM) {
	s.after(20*ms, func() { s.scan(vm) })
	if s.now < vm.pausedTo {
		return
	}
	for _, st := range vm.streams {
		if st.moved || st.told || st.lastEvent == 0 || s.now-st.lastEvent < st.pace.Silence(vm.core.cfg.Pace, 250*ms) {
			continue
		}
		st.told = true
		for _, i := range st.path {
			vm.observe(i, Silence)
		}
	}
}

func (vm *simVM) observe(server int, kind Kind) {
	s := vm.sim
	if s.now < vm.pausedTo {
		s.after(vm.pausedTo-s.now, func() { vm.observe(server, kind) })
		return
	}
	in := s.servers[server].Instance
	if _, known := vm.evidence[in]; !known {
		vm.evidence[in] = s.now
	}
	vm.core.Observe(s.now, Evidence{Server: s.servers[server].Server, Kind: kind})
	vm.advance()
}

// Progress implements Streams.
func (vm *simVM) Progress(in backend.Instance) (time.Duration, bool) {
	last := time.Duration(0)
	for _, st := range vm.streams {
		if !st.moved && vm.passes(st, in) {
			last = max(last, st.lastEvent)
		}
	}
	return last, last > 0
}

// Silent implements Streams.
func (vm *simVM) Silent(in backend.Instance) bool {
	silent := false
	for _, st := range vm.streams {
		if st.moved || st.lastEvent == 0 || !vm.passes(st, in) {
			continue
		}
		quiet := vm.sim.now - st.lastEvent
		if quiet < vm.core.cfg.Pace.MinSilence {
			return false
		}
		silent = silent || quiet >= 250*ms
	}
	return silent
}

func (vm *simVM) passes(st *simStream, in backend.Instance) bool {
	for _, i := range st.path {
		if vm.sim.servers[i].Instance == in {
			return true
		}
	}
	return false
}

func (vm *simVM) advance() {
	s := vm.sim
	a := vm.core.Advance(s.now, vm)
	for _, t := range a.Tries {
		s.try(vm, t)
	}
	for _, v := range a.Verdicts {
		moved := 0
		if v.Result.Gone() {
			for _, st := range vm.streams {
				if !st.moved && vm.passes(st, v.Server.Instance) {
					moved++
					st.moved = true
				}
			}
		}
		vm.verdicts = append(vm.verdicts, simVerdict{v, s.now, moved})
	}
	if len(a.Announce) > 0 {
		s.announce(vm, a.Announce)
	}
	if a.Wake > 0 && (vm.wakeAt <= s.now || a.Wake < vm.wakeAt) {
		vm.wakeAt = max(a.Wake, s.now)
		s.after(vm.wakeAt-s.now, vm.wake)
	}
}

func (vm *simVM) wake() {
	if s := vm.sim; s.now < vm.pausedTo {
		s.after(vm.pausedTo-s.now, vm.wake)
		return
	}
	vm.advance()
}

// try plays the opening of a connection.
func (s *sim) try(vm *simVM, t Try) {
	server := s.serverOf(t.Server.Instance)
	outcome, took := Opened, s.delay()+s.delay()
	switch {
	case vm.link == linkRefuses:
		outcome = Refused
	case vm.link == linkSilent || server.state == simDark || s.lost() || s.lost():
		outcome, took = Unanswered, t.Timeout
	case server.state == simCrashed:
		outcome = Refused
	}
	deadline := s.now + t.Timeout
	s.after(took, func() { vm.tried(t.ID, outcome, deadline) })
}

// tried tells a VM the outcome of a try. If it did not run until the deadline, it finds the
// timer expired, whatever the outcome.
func (vm *simVM) tried(id uint64, outcome Outcome, deadline time.Duration) {
	s := vm.sim
	if s.now < vm.pausedTo {
		s.after(vm.pausedTo-s.now, func() { vm.tried(id, outcome, deadline) })
		return
	}
	if s.now > deadline {
		outcome = Unanswered
	}
	vm.core.Tried(s.now, id, outcome)
	vm.advance()
}

func (s *sim) serverOf(in backend.Instance) *simServer {
	for _, srv := range s.servers {
		if srv.Instance == in {
			return srv
		}
	}
	return nil
}

// tell plays a message to all other VMs, in random order, 20 us for each.
func (s *sim) announce(from *simVM, servers []Server) {
	s.told = append(s.told, s.now)
	from.messages++
	for i, k := range s.rnd.Perm(len(s.vms)) {
		to := s.vms[k]
		if to == from || s.lost() || from.link == linkSilent {
			continue
		}
		d := time.Duration(i)*20*time.Microsecond + s.delay()
		s.arrived = append(s.arrived, d)
		s.after(d, func() {
			for _, srv := range servers {
				if _, uses := to.Progress(srv.Instance); uses {
					to.observe(s.index(srv.Instance), Neighbor)
				}
			}
		})
	}
}

func (s *sim) index(in backend.Instance) int {
	for i, srv := range s.servers {
		if srv.Instance == in {
			return i
		}
	}
	return -1
}

// crash ends servers at the same moment. Their watch connections close, and a request finds one
// of them 34 ms later, as measured on a fleet of 36 VMs.
func (s *sim) crash(servers ...int) {
	for _, i := range servers {
		s.servers[i].state = simCrashed
		s.closeWatches(i)
	}
	s.after(34*ms, func() { s.vms[0].observe(servers[0], Refusal) })
}

func (s *sim) closeWatches(server int) {
	if s.cfg.noWatches {
		return
	}
	for _, vm := range s.vms {
		for _, w := range vm.core.Watched() {
			if w.Instance == s.servers[server].Instance {
				s.after(s.delay(), func() { vm.observe(server, WatchClosed) })
			}
		}
	}
}

// detection is how the VMs with streams through lost servers found them.
type detection struct {
	affected, moved int             // streams
	fromLoss        []time.Duration // from the loss to the verdict, for each moved stream
	fromEvidence    []time.Duration // from the VM's first evidence
	vain, streams   int
	unwitnessed     int
	checks, dropped int
	messages, maxVM int
	maxChecksPerVM  int
	vainVerdicts    int
}

func (s *sim) evaluate(lostAt time.Duration, lost ...int) detection {
	var d detection
	gone := map[backend.Instance]bool{}
	for _, i := range lost {
		gone[s.servers[i].Instance] = true
	}
	for _, vm := range s.vms {
		d.streams += len(vm.streams)
		for _, st := range vm.streams {
			for _, i := range lost {
				if vm.passes(st, s.servers[i].Instance) {
					d.affected++
					break
				}
			}
		}
		for _, v := range vm.verdicts {
			switch {
			case v.Result == Unwitnessed:
				d.unwitnessed++
			case v.Result.Gone() && gone[v.Server.Instance]:
				d.moved += v.streams
				for range v.streams {
					d.fromLoss = append(d.fromLoss, v.at-lostAt)
					d.fromEvidence = append(d.fromEvidence, v.at-max(lostAt, v.EvidenceAt))
				}
			case v.Result.Gone():
				d.vain += v.streams
				d.vainVerdicts++
			}
		}
		d.checks += vm.core.stats.Checks
		d.maxChecksPerVM = max(d.maxChecksPerVM, vm.core.stats.Checks)
		d.dropped += vm.core.stats.DroppedEvidence
		d.messages += vm.messages
		d.maxVM = max(d.maxVM, vm.messages)
	}
	return d
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), d...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (d detection) String() string {
	return fmt.Sprintf("%d of %d affected streams moved; from the loss p50 %v p90 %v p99 %v; from evidence p50 %v p90 %v p99 %v; in vain %d of %d; %d checks (at most %d a VM), %d messages (at most %d a VM), %d unwitnessed, %d evidence dropped",
		d.moved, d.affected, quantile(d.fromLoss, .5), quantile(d.fromLoss, .9), quantile(d.fromLoss, .99), quantile(d.fromEvidence, .5), quantile(d.fromEvidence, .9), quantile(d.fromEvidence, .99),
		d.vain, d.streams, d.checks, d.maxChecksPerVM, d.messages, d.maxVM, d.unwitnessed, d.dropped)
}

func fleets() map[string]simConfig {
	return map[string]simConfig{
		"36 VMs": {vms: 36, servers: 98, streamsPerVM: 20, stages: 6},
		"86 VMs": {vms: 86, servers: 93, streamsPerVM: 10, stages: 6},
	}
}

// Streams moved 0.26 s after the first evidence and later, since each waited for its own
// silence.
func TestCrashOfJoinedServersMovesStreamsAtOnce(t *testing.T) {
	for name, cfg := range fleets() {
		for _, loss := range []float64{0, 0.025} {
			for _, noWatches := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, loss %v, watches %v", name, loss, !noWatches), func(t *testing.T) {
					for seed := range int64(3) {
						cfg.loss, cfg.noWatches = loss, noWatches
						s := newSim(cfg, seed)
						s.runUntil(2 * time.Second)
						s.crash(10, 11, 40, 41)
						s.runUntil(2300 * ms)
						d := s.evaluate(2*time.Second, 10, 11, 40, 41)
						t.Log(d)
						require.GreaterOrEqual(t, float64(d.moved), 0.97*float64(d.affected))
						require.LessOrEqual(t, 100*d.vain, d.streams)
						require.Less(t, quantile(d.fromEvidence, .9), 40*ms)
						if !noWatches {
							require.Less(t, quantile(d.fromLoss, .9), 60*ms)
						} else {
							require.Less(t, quantile(d.fromLoss, .9), 200*ms)
						}
						if loss == 0 {
							require.Less(t, quantile(d.fromEvidence, .99), 40*ms)
						}
						require.Less(t, quantile(s.arrived, .99), 20*ms)
						require.LessOrEqual(t, d.maxVM, int(DefaultConfig().MessageBurst)+1)
						require.LessOrEqual(t, d.maxChecksPerVM, 50+65) // the burst and 1.3 s of the budget
					}
				})
			}
		}
	}
}

// A dark server closes no connection. It is found by the silence of its streams.
func TestDarkServerIsFoundBySilence(t *testing.T) {
	for name, cfg := range fleets() {
		t.Run(name, func(t *testing.T) {
			cfg.loss = 0.005
			s := newSim(cfg, 1)
			s.runUntil(2 * time.Second)
			s.servers[5].state = simDark
			s.runUntil(2600 * ms)
			d := s.evaluate(2*time.Second, 5)
			t.Log(d)
			require.GreaterOrEqual(t, float64(d.moved), 0.97*float64(d.affected))
			require.Less(t, quantile(d.fromLoss, .9), 230*ms)
			require.LessOrEqual(t, 100*d.vain, d.streams)
		})
	}
}

// Links that lose packets make streams pause and tries fail. Two unanswered tries alone moved
// streams off servers that were up.
func TestPacketLossMovesNothing(t *testing.T) {
	vain, streams, checks := 0, 0, 0
	for _, cfg := range fleets() {
		for seed := range int64(2) {
			cfg.loss = 0.025
			s := newSim(cfg, seed)
			s.runUntil(6 * time.Second)
			d := s.evaluate(0)
			t.Log(d)
			vain, streams, checks = vain+d.vain, streams+d.streams, checks+d.checks
		}
	}
	t.Logf("%d of %d streams moved in vain in 5 s, %d checks", vain, streams, checks)
	require.LessOrEqual(t, 100*vain, streams)
}

// A server that is up and refuses requests, or is slow, keeps its streams.
func TestLyingAndSlowServersKeepTheirStreams(t *testing.T) {
	for name, cfg := range fleets() {
		t.Run(name, func(t *testing.T) {
			s := newSim(cfg, 1)
			for i := range 10 {
				s.servers[i].slowX = 12
			}
			for k := range 300 {
				s.after(time.Duration(k)*10*ms, func() {
					for i := 20; i < 24; i++ {
						s.vms[k%len(s.vms)].observe(i, Refusal)
					}
				})
			}
			s.runUntil(5 * time.Second)
			d := s.evaluate(0)
			t.Log(d)
			require.Zero(t, d.vain)
			require.Zero(t, d.messages)
			require.LessOrEqual(t, d.maxChecksPerVM, 50+50*4)
		})
	}
}

// A server that goes down and up again has lost its streams each time, but one verdict holds
// for a while, and its return starts no storm.
func TestFlappingServerIsBounded(t *testing.T) {
	for name, cfg := range fleets() {
		t.Run(name, func(t *testing.T) {
			s := newSim(cfg, 1)
			for k := range 20 {
				s.after(time.Duration(2*k)*150*ms, func() { s.crash(7) })
				s.after(time.Duration(2*k+1)*150*ms, func() { s.servers[7].state = simUp })
			}
			s.runUntil(8 * time.Second)
			d := s.evaluate(0, 7)
			t.Log(d)
			require.Zero(t, d.vain, "other servers")
			require.LessOrEqual(t, d.maxVM, 8)
			require.LessOrEqual(t, d.maxChecksPerVM, 100)
		})
	}
}

// All connections may be reset at once while new ones work.
func TestResetOfAllConnectionsMovesNothing(t *testing.T) {
	for name, cfg := range fleets() {
		t.Run(name, func(t *testing.T) {
			cfg.loss = 0.025
			s := newSim(cfg, 1)
			s.runUntil(2 * time.Second)
			for i := range s.servers {
				s.closeWatches(i)
				for _, vm := range s.vms {
					if _, uses := vm.Progress(s.servers[i].Instance); uses {
						s.after(s.delay(), func() { vm.observe(i, Reset) })
					}
				}
			}
			s.runUntil(3 * time.Second)
			d := s.evaluate(0)
			t.Log(d)
			require.LessOrEqual(t, 100*d.vain, d.streams)
			require.LessOrEqual(t, d.maxChecksPerVM, 50+50*2)
		})
	}
}

// A VM whose links are cut took all servers for lost, also when its open connections went on.
func TestVMWithCutLinksMovesAndTellsNothing(t *testing.T) {
	for name, link := range map[string]simLink{"refused": linkRefuses, "silent": linkSilent, "reset": linkResets} {
		t.Run(name, func(t *testing.T) {
			cfg := fleets()["36 VMs"]
			s := newSim(cfg, 1)
			s.runUntil(2 * time.Second)
			cut := s.vms[3]
			cut.link = link
			for i := range s.servers {
				s.after(time.Duration(i)*ms, func() { cut.observe(i, Reset) })
			}
			for _, w := range cut.core.Watched() {
				s.after(s.delay(), func() { cut.observe(s.index(w.Instance), WatchClosed) })
			}
			s.runUntil(4 * time.Second)
			for _, v := range cut.verdicts {
				require.False(t, v.Result.Gone(), "%+v", v)
			}
			d := s.evaluate(0)
			t.Log(d)
			require.Zero(t, d.vain)
			require.Zero(t, d.messages)
		})
	}
}

// A VM that is cut off from one failure domain alone reaches witnesses in the others.
func TestVMCutOffFromOneDomainMovesNothing(t *testing.T) {
	c := New(DefaultConfig(), "v", 1)
	var servers []Server
	for i := range 12 {
		servers = append(servers, Server{Instance: backend.Instance{ID: backend.ID(fmt.Sprint("s", i))}, Domain: fmt.Sprint("d", i%2)})
	}
	c.SetServers(0, servers)
	now := time.Second
	c.Observe(now, Evidence{Server: servers[1], Kind: Silence})
	outcome := func(try Try) Outcome {
		if try.Server.Domain == "d1" {
			return Unanswered
		}
		return Opened
	}
	verdict := play(t, c, now, outcome)
	require.Equal(t, Unwitnessed, verdict.Result)
}

// noStreams has no streams.
type noStreams struct{}

func (noStreams) Silent(backend.Instance) bool { return false }

func (noStreams) Progress(backend.Instance) (time.Duration, bool) { return 0, false }

// play advances a Core, whose tries end as outcome says after 1 ms or their timeout, until its
// next verdict.
func play(t *testing.T, c *Core, now time.Duration, outcome func(Try) Outcome) Verdict {
	t.Helper()
	type ending struct {
		at time.Duration
		id uint64
		o  Outcome
	}
	var endings []ending
	for range 1000 {
		a := c.Advance(now, noStreams{})
		if len(a.Verdicts) > 0 {
			return a.Verdicts[0]
		}
		for _, try := range a.Tries {
			o := outcome(try)
			took := ms
			if o == Unanswered {
				took = try.Timeout
			}
			endings = append(endings, ending{now + took, try.ID, o})
		}
		sort.SliceStable(endings, func(a, b int) bool { return endings[a].at < endings[b].at })
		switch {
		case len(endings) > 0 && (a.Wake == 0 || endings[0].at <= a.Wake):
			now = endings[0].at
			c.Tried(now, endings[0].id, endings[0].o)
			endings = endings[1:]
		case a.Wake > 0:
			now = a.Wake
		default:
			require.Fail(t, "the check has stopped")
		}
	}
	require.Fail(t, "no verdict")
	return Verdict{}
}

// A VM that does not run for a while finds its tries timed out although they were answered.
func TestPausedVMMovesNothing(t *testing.T) {
	for name, cfg := range fleets() {
		t.Run(name, func(t *testing.T) {
			s := newSim(cfg, 1)
			s.runUntil(2 * time.Second)
			for k, vm := range s.vms[:10] {
				for i := range 10 {
					vm.observe(i, Reset)
				}
				vm.pausedTo = s.now + time.Duration(30*(k+1))*ms
			}
			s.runUntil(4 * time.Second)
			d := s.evaluate(0)
			t.Log(d)
			require.Zero(t, d.vain)
		})
	}
}

// A VM with 0.2 of a core that has used its share runs for 20 ms of each 100 ms.
func TestThrottledVMsMoveNothingInVain(t *testing.T) {
	for name, cfg := range fleets() {
		t.Run(name, func(t *testing.T) {
			s := newSim(cfg, 1)
			var throttle func(vm *simVM)
			throttle = func(vm *simVM) {
				vm.pausedTo = s.now + 80*ms
				s.after(100*ms, func() { throttle(vm) })
			}
			for i, vm := range s.vms {
				s.after(time.Duration(i)*ms, func() { throttle(vm) })
			}
			s.runUntil(2 * time.Second)
			s.crash(10, 11, 40, 41)
			s.runUntil(3 * time.Second)
			d := s.evaluate(2*time.Second, 10, 11, 40, 41)
			t.Log(d)
			require.Zero(t, d.vain)
			require.GreaterOrEqual(t, float64(d.moved), 0.97*float64(d.affected))
			require.Less(t, quantile(d.fromLoss, .9), 200*ms)
		})
	}
}
