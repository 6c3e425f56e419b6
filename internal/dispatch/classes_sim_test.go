package dispatch_test

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/classes"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// contention plays the callers of three kinds and many teams on a day on which capacity is
// short: first the least urgent kind sends three times as much, then all send twice as much
// while 15 in 100 servers are lost.
type contention struct {
	s          *simulation
	routes     []*routes.Route
	teams      []*routes.Team
	teamWeight []float64 // cumulative
	callers    []*caller
	ofCall     map[*call]*caller
	waiting    map[*vm][]waitingCall
	// maxWait applies to kinds without classes.
	maxWait time.Duration
}

// caller is a caller with its request, across its tries.
type caller struct {
	kind, team int
	tokens     float64
	arrived    time.Duration
	deadline   time.Duration
	repeats    bool // sends again at once and often
	tries      int
	inTime     bool
	late       bool
	secondTry  bool // came back after a refusal
	answered   bool
}

type waitingCall struct {
	c *call
	w *classes.Waiter
}

var (
	kindNames    = []string{"urgent", "usual", "batch"}
	kindShares   = []float64{0.3, 0.3, 0.4}
	kindPriority = []int{0, 3, 8}
	kindTargets  = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Second}
)

const (
	contentionTeams = 200
	callerTimeout   = 20 * time.Second
	repeaterShare   = 0.05
	maxRepeats      = 5
	repeatInterval  = 100 * time.Millisecond
)

// newContention returns a simulation in which the routes of the three kinds have different
// priorities, or the same if classed is false.
func newContention(t testing.TB, seed uint64, classed bool, tune func(*dispatch.Config)) *contention {
	s := newSimulation(t, seed, 20, fourDomains, tune)
	cfg := *s.table.Config()
	cfg.Version++
	cfg.Routes = nil
	for i, name := range kindNames {
		r := routes.Route{Name: name, Kind: routes.Stream, Timeout: callerTimeout, TargetLatency: kindTargets[i], MaxAttempts: 2, Resumable: true,
			MaxGap: 250 * time.Millisecond, Priority: 1, Split: []routes.Share{{Service: model, Weight: 1}}}
		if classed {
			r.Priority = kindPriority[i]
		}
		cfg.Routes = append(cfg.Routes, r)
	}
	d := &contention{s: s, ofCall: map[*call]*caller{}, waiting: map[*vm][]waitingCall{}, maxWait: dispatch.DefaultWaitQueueConfig().MaxWait}
	sum := 0.0
	for i := range contentionTeams {
		cfg.Teams = append(cfg.Teams, routes.Team{Name: fmt.Sprint("team", i)})
		sum += 1 / float64(i+4) // the largest team sends some 6 in 100 requests
		d.teamWeight = append(d.teamWeight, sum)
	}
	s.table = routes.NewTable(&cfg)
	for _, v := range s.vms {
		require.True(t, v.core.Apply(s.table))
	}
	for i := range cfg.Routes {
		d.routes = append(d.routes, &cfg.Routes[i])
	}
	for i := range cfg.Teams {
		d.teams = append(d.teams, &cfg.Teams[i])
	}
	s.contention = d
	return d
}

// traffic sends requestsPerSecond in all, with each kind's rate multiplied by factor.
func (d *contention) traffic(requestsPerSecond float64, factor func(kind int, now time.Duration) float64, until time.Duration) {
	s := d.s
	for kind := range kindNames {
		var next func()
		next = func() {
			if s.now >= until {
				return
			}
			d.newCaller(kind)
			rate := requestsPerSecond * kindShares[kind] * factor(kind, s.now)
			s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		s.after(0, next)
	}
}

func (d *contention) newCaller(kind int) {
	s := d.s
	prompt := 40 + min(2280, s.rng.ExpFloat64()*730)
	answer := 4 * (1 + min(150, s.rng.ExpFloat64()*52))
	predicted := answer * math.Exp(s.rng.NormFloat64()*0.5)
	team := sort.SearchFloat64s(d.teamWeight, s.rng.Float64()*d.teamWeight[len(d.teamWeight)-1])
	x := &caller{kind: kind, team: min(team, contentionTeams-1), tokens: prompt + predicted, arrived: s.now, deadline: s.now + callerTimeout, repeats: s.rng.Float64() < repeaterShare}
	d.callers = append(d.callers, x)
	d.try(x, s.vms[s.rng.IntN(len(s.vms))], prompt, answer, predicted)
}

func (d *contention) try(x *caller, v *vm, prompt, answer, predicted float64) {
	s := d.s
	x.tries++
	cfg := s.table.Config()
	c := &call{vm: v, arrived: s.now, answerTokens: answer, retried: x.tries > 1}
	id := fmt.Sprint("r", len(d.callers), "-", x.arrived, "-", x.tries)
	c.req = &dispatch.Request{ID: id, Route: d.routes[x.kind], Service: cfg.Services[model], PromptTokens: prompt, AnswerTokens: predicted,
		SentTo: map[backend.ID]bool{}, Avoid: map[backend.ID]bool{}}
	c.req.Class = v.core.Classes.NewRequest(s.now, id, d.routes[x.kind], d.teams[x.team], model, x.deadline-s.now)
	if c.req.Class != nil {
		c.req.Class.PromptTokens, c.req.Class.Tokens = prompt, prompt+predicted
	}
	d.ofCall[c] = x
	v.core.RequestArrived(s.now, model)
	v.core.Classes.Arrived(s.now, c.req.Class)
	s.send(c)
}

// send is the way of a request through the shell (router.chooseOrWait).
func (d *contention) send(c *call) {
	s, core := d.s, c.vm.core
	var ch *dispatch.Choice
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoCapacity, RetryAfter: dispatch.DefaultConfig().RetryAfter}
	first := c.req.Sends == 0
	if !first || core.Classes.MayTry(s.now, c.req.Class) {
		ch, refusal = core.Choose(s.now, c.req)
	}
	if ch != nil {
		d.start(c, ch)
		return
	}
	if !first || refusal.Cause != verdict.CauseNoCapacity {
		d.refuse(c, refusal)
		return
	}
	if c.req.Class == nil {
		if len(d.waiting[c.vm]) >= dispatch.DefaultWaitQueueConfig().MaxWaiting {
			d.refuse(c, refusal)
			return
		}
		d.waiting[c.vm] = append(d.waiting[c.vm], waitingCall{c: c})
		return
	}
	w, _ := core.Classes.Join(s.now, c.req.Class, 1000)
	if w == nil {
		d.refuse(c, refusal)
		return
	}
	d.waiting[c.vm] = append(d.waiting[c.vm], waitingCall{c, w})
}

func (d *contention) start(c *call, ch *dispatch.Choice) {
	c.choice = ch
	c.sends++
	d.s.arrive(c)
}

// serveWaiting lets the first of those that wait at each VM try, and the next one as long as
// they start.
func (d *contention) serveWaiting() {
	s := d.s
	for _, v := range s.vms {
		for d.serveHead(v) {
		}
		for _, x := range append([]waitingCall(nil), d.waiting[v]...) {
			late := s.now >= x.c.arrived+d.maxWait
			if x.w != nil {
				late = s.now >= x.w.StartBy || x.w.Evicted
			}
			if late {
				d.leave(v, x)
				d.refuse(x.c, &verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoCapacity, RetryAfter: dispatch.DefaultConfig().RetryAfter})
			}
		}
	}
	s.after(dispatch.DefaultWaitQueueConfig().RetryInterval, d.serveWaiting)
}

func (d *contention) leave(v *vm, x waitingCall) {
	for i := range d.waiting[v] {
		if d.waiting[v][i].c == x.c {
			d.waiting[v] = append(d.waiting[v][:i], d.waiting[v][i+1:]...)
			break
		}
	}
	if x.w != nil {
		v.core.Classes.Leave(d.s.now, x.w)
	}
}

func (d *contention) serveHead(v *vm) bool {
	for i, x := range d.waiting[v] {
		if (x.w == nil && i > 0) || (x.w != nil && !v.core.Classes.IsHead(d.s.now, x.w)) {
			continue
		}
		ch, _ := v.core.Choose(d.s.now, x.c.req)
		if ch == nil {
			return false
		}
		d.leave(v, x)
		d.start(x.c, ch)
		return true
	}
	return false
}

// refuse answers a caller, which comes back once after Retry-After if it has time, or at once
// and often.
func (d *contention) refuse(c *call, refusal *verdict.Refusal) {
	s, x := d.s, d.ofCall[c]
	if c.req.Begun {
		return // the stream was cut
	}
	c.vm.core.RefuseByClass(s.now, c.req, refusal)
	wait := refusal.RetryAfter
	switch {
	case x.repeats && x.tries < maxRepeats:
		wait = repeatInterval
	case x.repeats || x.tries > 1 || wait > (x.deadline-s.now)/3:
		return
	}
	s.after(wait, func() {
		x.secondTry = true
		d.try(x, s.vms[s.rng.IntN(len(s.vms))], c.req.PromptTokens, c.answerTokens, c.req.AnswerTokens)
	})
}

func (d *contention) finish(c *call) {
	x := d.ofCall[c]
	x.answered = true
	x.inTime = c.firstToken <= kindTargets[x.kind] && c.maxGap <= 250*time.Millisecond && !c.retried // a second try is late
	x.late = !x.inTime
}

// outcome is what the callers of one group got.
type outcome struct{ total, served, inTime, second, secondServed int }

func (o *outcome) add(x *caller) {
	o.total++
	if x.answered {
		o.served++
	}
	if x.inTime {
		o.inTime++
	}
	if x.secondTry && !x.repeats {
		o.second++
		if x.answered {
			o.secondServed++
		}
	}
}

func (o outcome) share() float64 { return ratio(o.served, o.total) }

func (o outcome) String() string {
	return fmt.Sprintf("%d: served %.3f, in time %.3f, second tries %d served %.3f", o.total, o.share(), ratio(o.inTime, o.total), o.second, ratio(o.secondServed, o.second))
}

type dayResult struct {
	all       outcome
	kinds     [3]outcome
	sizes     [3]outcome // the largest tenth, the fifth below it, the others
	worstTeam float64    // served share
	worth     float64
}

// groups counts the outcomes of callers that arrived from from to until.
func (d *contention) groups(from, until time.Duration) dayResult {
	var r dayResult
	var tokens []float64
	for _, x := range d.callers {
		tokens = append(tokens, x.tokens)
	}
	sort.Float64s(tokens)
	largest, large := tokens[len(tokens)*9/10], tokens[len(tokens)*7/10]
	teams := make([]outcome, contentionTeams)
	for _, x := range d.callers {
		if x.arrived < from || x.arrived >= until {
			continue
		}
		r.all.add(x)
		r.kinds[x.kind].add(x)
		size := 2
		if x.tokens > largest {
			size = 0
		} else if x.tokens > large {
			size = 1
		}
		r.sizes[size].add(x)
		teams[x.team].add(x)
		switch {
		case x.inTime:
			r.worth++
		case x.late:
			r.worth += 0.25
		}
	}
	r.worth /= float64(max(1, r.all.total))
	r.worstTeam = 1
	for _, o := range teams {
		if o.total >= 15 { // fewer say nothing about a share
			r.worstTeam = min(r.worstTeam, o.share())
		}
	}
	return r
}

const (
	contentionLoad = 240 // requests per second, 60 in 100 of the capacity of all servers
	surgeFrom      = 3 * time.Second
	surgeUntil     = 9 * time.Second
	lossFrom       = 13 * time.Second
	lossUntil      = 19 * time.Second
	contentionEnd  = 24 * time.Second
)

// runContention plays the day of contention.
func runContention(t testing.TB, seed uint64, load float64, classed bool, tune func(*dispatch.Config)) *contention {
	d := newContention(t, seed, classed, tune)
	s := d.s
	s.after(0, d.serveWaiting)
	d.traffic(load, func(kind int, now time.Duration) float64 {
		switch {
		case now >= surgeFrom && now < surgeUntil && kind == 2:
			return 3
		case now >= lossFrom && now < lossUntil:
			return 2
		}
		return 1
	}, contentionEnd)
	s.at(lossFrom, func() {
		lost := len(s.engineOrder) * 15 / 100
		for _, i := range s.rng.Perm(len(s.engineOrder))[:lost] {
			s.kill(s.engineOrder[i], lossUntil-lossFrom)
		}
	})
	s.run(contentionEnd + 25*time.Second)
	return d
}

const (
	// maxOrderGap is by how much an urgent kind may be served less often than a less urgent one.
	maxOrderGap = 0.05
	// minFloor is the floor of each kind, team and size class, relative to the mean share.
	minFloor = 0.25
	// minSecondTries is the served share of callers that come back after a refusal.
	minSecondTries = 0.7
	// minUrgentServed is the served share of the most urgent kind while servers are lost; with
	// equal priorities, or without a reserve by class, it is below.
	minUrgentServed = 0.95
	// floorWindow is the window over which floors hold for kinds and sizes. A window of a team
	// has too few requests for a share.
	floorWindow = 3 * time.Second
)

// On a day on which capacity is short, the most urgent kind was served worst, and refused
// callers came back together into the same shortage: 0.49 to 0.61 of their second tries were
// served with equal priorities.
func TestDayOfContention(t *testing.T) {
	const seeds = 2
	var days [seeds][2]*contention
	t.Run("played", func(t *testing.T) {
		for seed := range uint64(seeds) {
			for i, classed := range []bool{false, true} {
				t.Run("", func(t *testing.T) {
					t.Parallel()
					days[seed][i] = runContention(t, seed, contentionLoad, classed, nil)
				})
			}
		}
	})
	for seed := range days {
		equal, classed := days[seed][0].groups(0, contentionEnd), days[seed][1].groups(0, contentionEnd)
		t.Logf("seed %d, equal priorities:\n%v", seed, equal)
		t.Logf("seed %d, classes:\n%v", seed, classed)
		t.Logf("seed %d, equal priorities while servers are lost:\n%v", seed, days[seed][0].groups(lossFrom, lossUntil))
		loss := days[seed][1].groups(lossFrom, lossUntil)
		t.Logf("seed %d, classes while servers are lost:\n%v", seed, loss)
		require.GreaterOrEqual(t, ratio(classed.all.secondServed, classed.all.second), minSecondTries)
		require.Greater(t, ratio(classed.kinds[0].inTime, classed.kinds[0].total), ratio(equal.kinds[0].inTime, equal.kinds[0].total))
		require.Greater(t, classed.worth, equal.worth, "a reserve that is too large refuses more than it helps")
		require.GreaterOrEqual(t, loss.kinds[0].share(), minUrgentServed)
		for _, r := range []dayResult{classed, loss} {
			for kind := range kindNames {
				for less := kind + 1; less < len(kindNames); less++ {
					require.GreaterOrEqual(t, r.kinds[kind].share(), r.kinds[less].share()-maxOrderGap, "%s and %s", kindNames[kind], kindNames[less])
				}
			}
			require.GreaterOrEqual(t, r.worstTeam, minFloor*r.all.share())
		}
		for from := time.Duration(0); from < contentionEnd; from += floorWindow {
			w := days[seed][1].groups(from, from+floorWindow)
			for i := range kindNames {
				require.GreaterOrEqual(t, w.kinds[i].share(), minFloor*w.all.share(), "%s from %v", kindNames[i], from)
				require.GreaterOrEqual(t, w.sizes[i].share(), minFloor*w.all.share(), "size class %d from %v", i, from)
			}
		}
		for _, v := range days[seed][1].s.vms {
			require.Zero(t, v.core.Classes.Waiting(), "a request waits for ever")
		}
	}
}

func (r dayResult) String() string {
	text := fmt.Sprintf("  worth %.3f, all %v, worst team %.3f\n", r.worth, r.all, r.worstTeam)
	for i, k := range r.kinds {
		text += fmt.Sprintf("  %s %v\n", kindNames[i], k)
	}
	return text + fmt.Sprintf("  served, the largest tenth %.3f, the fifth below %.3f, the others %.3f", r.sizes[0].share(), r.sizes[1].share(), r.sizes[2].share())
}

// shortDay plays the callers of the day of contention with one loss of many servers, and
// returns what became of each caller.
func shortDay(t testing.TB, seed uint64, until time.Duration) []caller {
	d := newContention(t, seed, true, nil)
	s := d.s
	s.after(0, d.serveWaiting)
	d.traffic(contentionLoad, func(int, time.Duration) float64 { return 2 }, until)
	s.at(until/2, func() {
		for _, i := range s.rng.Perm(len(s.engineOrder))[:len(s.engineOrder)*15/100] {
			s.kill(s.engineOrder[i], until)
		}
	})
	s.run(until + callerTimeout)
	out := make([]caller, 0, len(d.callers))
	for _, x := range d.callers {
		out = append(out, *x)
	}
	return out
}

// The order of maps decided which servers took over a lost server's streams.
func TestContentionIsRepeatable(t *testing.T) {
	var days [2][]caller
	t.Run("played", func(t *testing.T) {
		for i := range days {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				days[i] = shortDay(t, 1, 4*time.Second)
			})
		}
	})
	differ := 0
	for i := range min(len(days[0]), len(days[1])) {
		if days[0][i] != days[1][i] {
			differ++
		}
	}
	require.Equal(t, len(days[0]), len(days[1]))
	require.Zero(t, differ, "of %d callers got something else", len(days[0]))
}

// With room for all, classes must change nothing.
func TestClassesChangeNothingWithRoom(t *testing.T) {
	var results [2]string
	for i, classed := range []bool{false, true} {
		d := newContention(t, 1, classed, nil)
		d.s.after(0, d.serveWaiting)
		d.traffic(200, func(int, time.Duration) float64 { return 1 }, 5*time.Second)
		d.s.run(20 * time.Second)
		r := d.groups(0, 5*time.Second)
		require.Equal(t, r.all.total, r.all.served)
		results[i] = r.String()
	}
	require.Equal(t, results[0], results[1])
}

// Retry-After must stay within a third of the caller's time while the rate of freed capacity is
// unknown, and must not undercut what a server asked for. Refusals for other causes, and those
// of requests that may have run, stay as they are.
func TestRetryAfterOfRefusalByClass(t *testing.T) {
	d := newContention(t, 1, true, nil)
	core := d.s.vms[0].core
	refused := func(left time.Duration, refusal verdict.Refusal) time.Duration {
		r := &dispatch.Request{Class: core.Classes.NewRequest(0, "r", d.routes[2], d.teams[0], model, left)}
		core.RefuseByClass(0, r, &refusal)
		return refusal.RetryAfter
	}
	standard := dispatch.DefaultConfig().RetryAfter
	noCapacity := verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoCapacity, RetryAfter: standard}
	require.Equal(t, standard, refused(20*time.Second, noCapacity))
	require.Equal(t, 300*time.Millisecond, refused(900*time.Millisecond, noCapacity))
	named := noCapacity
	named.RetryAfter = 3 * time.Second
	require.Equal(t, 3*time.Second, refused(900*time.Millisecond, named))
	other := noCapacity
	other.Cause = verdict.CauseLayersMissing
	require.Equal(t, standard, refused(900*time.Millisecond, other))
	ran := noCapacity
	ran.Verdict = verdict.MayHaveRun
	require.Equal(t, standard, refused(900*time.Millisecond, ran))
}
