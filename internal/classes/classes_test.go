package classes_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/classes"
	"github.com/catkinstair/catkinstair/internal/routes"
)

const service = "model"

func route(name string, priority int) routes.Route {
	return routes.Route{Name: name, Priority: priority, Kind: routes.Stream, Timeout: 20 * time.Second, TargetLatency: 500 * time.Millisecond,
		Split: []routes.Share{{Service: service, Weight: 1}}}
}

func newCore(t testing.TB, cfg *routes.Config) *classes.Core {
	t.Helper()
	c := classes.New(classes.DefaultConfig())
	require.Empty(t, c.Apply(cfg))
	return c
}

// threeKinds has routes of the priorities 1, 4 and 8.
func threeKinds() *routes.Config {
	return &routes.Config{Routes: []routes.Route{route("urgent", 1), route("usual", 4), route("batch", 8)}}
}

func request(c *classes.Core, now time.Duration, cfg *routes.Config, kind int, id, team string) *classes.Request {
	var t *routes.Team
	if team != "" {
		t = &routes.Team{Name: team}
	}
	r := c.NewRequest(now, id, &cfg.Routes[kind], t, service, cfg.Routes[kind].Timeout)
	if r != nil {
		r.PromptTokens, r.Tokens = 700, 900
	}
	return r
}

// With equal priorities the router must behave as without this package.
func TestEqualPrioritiesHaveNoClass(t *testing.T) {
	cfg := &routes.Config{Routes: []routes.Route{route("a", 3), route("b", 3)}, Teams: []routes.Team{{Name: "t"}, {Name: "u", Priority: 3, HasPriority: true}}}
	c := newCore(t, cfg)
	r := request(c, 0, cfg, 0, "r", "")
	require.Nil(t, r)
	c.Observe(service, 1)
	require.Equal(t, 1.0, c.Share(0, r, false))
	_, known := c.Refused(0, r)
	require.False(t, known)
}

// A priority or objective that cannot hold must give the default class, not the most urgent
// one, and be reported once for each route and team.
func TestInvalidWordsGetTheDefaultClass(t *testing.T) {
	cfg := threeKinds()
	bad, late := route("bad", -1), route("late", 1)
	late.Timeout = 300 * time.Millisecond
	cfg.Routes = append(cfg.Routes, bad, late)
	cfg.Teams = []routes.Team{{Name: "loud", Priority: 12, HasPriority: true}, {Name: "quiet"}}
	c := classes.New(classes.DefaultConfig())
	require.ElementsMatch(t, []classes.Correction{{Team: "loud", Reason: "priority out of range"}, {Route: "bad", Reason: "priority out of range"},
		{Route: "late", Reason: "objective above the timeout"}}, c.Apply(cfg))
	rank := func(kind int, team *routes.Team) int {
		return c.NewRequest(0, "r", &cfg.Routes[kind], team, service, time.Second).Rank
	}
	require.Equal(t, 0, rank(0, &cfg.Teams[1]))
	require.Equal(t, 2, rank(0, &cfg.Teams[0]), "team's priority")
	require.Equal(t, 2, rank(3, nil))
	require.Equal(t, 2, rank(4, nil))
}

// Where all teams have a priority, the routes' priorities must still order the requests of equal
// teams, and never go before a team's.
func TestRoutePriorityOrdersEqualTeams(t *testing.T) {
	cfg := threeKinds()
	cfg.Teams = []routes.Team{{Name: "t", Priority: 1, HasPriority: true}, {Name: "u", Priority: 1, HasPriority: true}, {Name: "v", Priority: 0, HasPriority: true}}
	c := newCore(t, cfg)
	rank := func(kind, team int) int {
		return c.NewRequest(0, "r", &cfg.Routes[kind], &cfg.Teams[team], service, time.Second).Rank
	}
	require.Equal(t, []int{0, 1, 2, 3, 4, 5}, []int{rank(0, 2), rank(1, 2), rank(2, 2), rank(0, 0), rank(1, 1), rank(2, 1)})
}

// The team's priority goes before the route's.
func TestTeamPriorityGoesFirst(t *testing.T) {
	cfg := &routes.Config{Routes: []routes.Route{route("a", 3)}, Teams: []routes.Team{{Name: "t", Priority: 0, HasPriority: true}, {Name: "u"}}}
	c := newCore(t, cfg)
	require.Equal(t, 0, c.NewRequest(0, "r", &cfg.Routes[0], &cfg.Teams[0], service, time.Second).Rank)
	require.Equal(t, 1, c.NewRequest(0, "r", &cfg.Routes[0], &cfg.Teams[1], service, time.Second).Rank)
}

// With room, no class is bounded; without, the less urgent the more, and streams in progress
// never.
func TestLessUrgentClassesLeaveMoreFree(t *testing.T) {
	cfg := threeKinds()
	c := newCore(t, cfg)
	var shares []float64
	for kind := range cfg.Routes {
		r := request(c, 0, cfg, kind, "r", "")
		c.Observe(service, 0.5)
		require.Equal(t, 1.0, c.Share(0, r, false))
		c.Observe(service, 1)
		require.Equal(t, 1.0, c.Share(0, r, true), "in progress")
		shares = append(shares, c.Share(0, r, false))
	}
	require.Less(t, shares[0], 1.0)
	require.Less(t, shares[1], shares[0])
	require.Less(t, shares[2], shares[1])
}

// The VM's own misses make capacity short while the load of the fleet is unknown, and only
// for seconds.
func TestOwnMissesMakeCapacityShort(t *testing.T) {
	cfg := threeKinds()
	c := newCore(t, cfg)
	for i := range 20 {
		r := request(c, 0, cfg, 0, fmt.Sprint(i), "")
		if i%2 == 0 {
			c.Missed(0, r)
		}
		c.Started(0, r, 100*time.Millisecond)
	}
	require.Equal(t, 1.0, c.Shortness(0, service))
	require.Less(t, c.Shortness(30*time.Second, service), 0.05)
}

// A kind, team or size class must not starve: below its floor it gets the bound of the most
// urgent class.
func TestFloors(t *testing.T) {
	cfg := threeKinds()
	for name, tc := range map[string]struct {
		kind   int
		team   string
		tokens float64
	}{"kind": {2, "", 900}, "team": {1, "poor", 900}, "size": {1, "", 5000}} {
		c := newCore(t, cfg)
		c.Observe(service, 1)
		starving := func(i int) *classes.Request {
			r := request(c, 0, cfg, tc.kind, fmt.Sprint("s", i), tc.team)
			r.Tokens = tc.tokens
			return r
		}
		urgent := c.Share(0, request(c, 0, cfg, 0, "u", ""), false)
		require.Less(t, c.Share(0, starving(0), false), urgent, name)
		for i := range 200 {
			r := request(c, 0, cfg, i%2, fmt.Sprint(i), "rich")
			c.Started(0, r, 0)
			if i%20 == 0 {
				c.Refused(0, starving(i))
			}
		}
		require.Equal(t, urgent, c.Share(0, starving(0), false), name)
	}
}

// The value for the servers must order classes strictly, and resumed streams before new ones
// of their class.
func TestUrgencyOrdersClassesAndResumedStreams(t *testing.T) {
	for n := 2; n <= 10; n++ {
		cfg := &routes.Config{}
		for p := range n {
			cfg.Routes = append(cfg.Routes, route(fmt.Sprint(p), p))
		}
		c := newCore(t, cfg)
		last := -1
		for kind := range n {
			r := request(c, 0, cfg, kind, "r", "")
			c.Started(0, request(c, 0, cfg, kind, "other", ""), 100*time.Millisecond)
			resumed, late, early := c.Urgency(0, r, true), c.Urgency(450*time.Millisecond, r, false), c.Urgency(0, r, false)
			require.True(t, 0 <= resumed && early <= 9)
			require.LessOrEqual(t, late, early, "less slack is no less urgent")
			require.Greater(t, late, last, "class order")
			if kind > 0 || n <= 5 {
				require.Less(t, resumed, late)
			}
			if n <= 5 {
				require.Greater(t, resumed, last, "not before new ones of a more urgent class")
			}
			last = early
		}
	}
}

// Whatever arrives and leaves in which order, a waiting request never goes behind a less
// urgent one, within a class what can start latest goes last, and the queue stays bounded.
func TestWaitingOrder(t *testing.T) {
	cfg := threeKinds()
	settings := classes.DefaultConfig()
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newCore(t, cfg)
		type entry struct {
			w    *classes.Waiter
			rank int
		}
		var waiting []entry
		now := time.Duration(0)
		for i := range 400 {
			now += time.Duration(rng.IntN(int(5 * time.Millisecond)))
			if rng.IntN(3) > 0 {
				r := request(c, now, cfg, rng.IntN(3), fmt.Sprint(i), "")
				if w, _ := c.Join(now, r, rng.IntN(200<<10)); w != nil {
					waiting = append(waiting, entry{w, r.Rank})
				}
			} else if len(waiting) > 0 {
				k := rng.IntN(len(waiting))
				c.Leave(now, waiting[k].w)
				waiting = append(waiting[:k], waiting[k+1:]...)
			}
			kept := waiting[:0]
			for _, e := range waiting {
				if !e.w.Evicted {
					kept = append(kept, e)
				}
			}
			waiting = kept
			require.Equal(t, len(waiting), c.Waiting())
			require.LessOrEqual(t, c.Waiting(), settings.MaxWaiting)
			heads := 0
			for _, e := range waiting {
				if !c.IsHead(now, e.w) {
					continue
				}
				heads++
				for _, other := range waiting {
					require.False(t, other.rank < e.rank, "behind a less urgent one")
					require.False(t, other.rank == e.rank && other.w.StartBy < e.w.StartBy, "less slack goes first")
				}
			}
			require.Equal(t, min(1, len(waiting)), heads)
		}
	}
}

// A full queue makes room for a more urgent request, and for no other.
func TestUrgentRequestTakesThePlaceOfALessUrgentOne(t *testing.T) {
	cfg := threeKinds()
	c := newCore(t, cfg)
	var last *classes.Waiter
	for i := range classes.DefaultConfig().MaxWaiting {
		last, _ = c.Join(time.Duration(i), request(c, time.Duration(i), cfg, 2, fmt.Sprint(i), ""), 10)
		require.NotNil(t, last)
	}
	w, reason := c.Join(100, request(c, 100, cfg, 2, "equal", ""), 10)
	require.Nil(t, w)
	require.NotEmpty(t, reason)
	w, _ = c.Join(100, request(c, 100, cfg, 0, "urgent", ""), 10)
	require.NotNil(t, w)
	require.True(t, last.Evicted)
	require.Len(t, last.Wake, 1)
	require.True(t, c.IsHead(100, w))
	w, _ = c.Join(100, request(c, 100, cfg, 0, "huge", ""), classes.DefaultConfig().MaxWaitingBytes+1)
	require.Nil(t, w, "bodies are bounded")
	require.Equal(t, classes.DefaultConfig().MaxWaiting, c.Waiting(), "nothing was evicted in vain")
}

// A team above its fair share waits behind the others of its class.
func TestTeamsWaitByFairShare(t *testing.T) {
	cfg := threeKinds()
	c := newCore(t, cfg)
	for i := range 40 {
		team := "large"
		if i%8 == 0 {
			team = "small"
		}
		c.Started(0, request(c, 0, cfg, 1, fmt.Sprint(i), team), 100*time.Millisecond)
	}
	large, _ := c.Join(0, request(c, 0, cfg, 1, "l", "large"), 0)
	small, _ := c.Join(1, request(c, 1, cfg, 1, "s", "small"), 0)
	urgent, _ := c.Join(2, request(c, 2, cfg, 0, "u", "large"), 0)
	require.True(t, c.IsHead(3, urgent))
	c.Leave(3, urgent)
	require.True(t, c.IsHead(3, small))
	c.Leave(3, small)
	require.True(t, c.IsHead(3, large))
}

// What cannot start within its slack is refused at once: by its own prediction, and by the
// rate at which those before it start.
func TestRequestThatCannotStartInTimeDoesNotWait(t *testing.T) {
	cfg := threeKinds()
	c := newCore(t, cfg)
	for i := range 5 {
		c.Started(0, request(c, 0, cfg, 1, fmt.Sprint(i), ""), 480*time.Millisecond)
	}
	r := request(c, 0, cfg, 1, "r", "")
	require.Equal(t, 20*time.Millisecond, c.Slack(0, r).Round(time.Millisecond))
	r.PromptTokens = 1400
	w, _ := c.Join(0, r, 0)
	require.Nil(t, w)
	c = newCore(t, cfg)
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond { // one start in 100 ms
		w, _ := c.Join(now, request(c, now, cfg, 1, fmt.Sprint(now), ""), 0)
		require.NotNil(t, w)
		started := request(c, now, cfg, 1, fmt.Sprint("s", now), "")
		c.Started(now, started, 100*time.Millisecond)
		if now > 0 {
			c.Leave(now, w)
		}
	}
	joined := 0
	for i := range 30 {
		if w, _ := c.Join(2*time.Second, request(c, 2*time.Second, cfg, 1, fmt.Sprint("n", i), ""), 0); w != nil {
			joined++
		}
	}
	require.Greater(t, joined, 0)
	require.Less(t, joined, 8)
}

// Callers that are refused together must come back when capacity is there, spread out, urgent
// ones first and never later than a third of the time they have left.
func TestRetryAfterFollowsFreedCapacity(t *testing.T) {
	cfg := threeKinds()
	settings := classes.DefaultConfig()
	settings.ReturnShare = 0.5
	c := classes.New(settings)
	c.Apply(cfg)
	_, known := c.Refused(0, request(c, 0, cfg, 1, "first", ""))
	require.False(t, known, "no rate is known yet")
	c.Observe(service, 1)
	now := time.Duration(0)
	for i := range 80 { // 20 starts a second
		now += 50 * time.Millisecond
		c.Started(now, request(c, now, cfg, 0, fmt.Sprint(i), ""), 0)
	}
	perSlot := map[int64]int{}
	var latest time.Duration
	for i := range 40 {
		wait, known := c.Refused(now, request(c, now, cfg, 1, fmt.Sprint("b", i), ""))
		require.True(t, known)
		require.GreaterOrEqual(t, wait, settings.MinRetryAfter)
		require.LessOrEqual(t, wait, 20*time.Second/3)
		perSlot[int64((now+wait)/(500*time.Millisecond))]++
		latest = max(latest, wait)
	}
	for slot, n := range perSlot {
		require.LessOrEqual(t, n, 10, "slot %d", slot)
	}
	require.Greater(t, latest, 3*time.Second, "40 callers at 10 a second")
	urgent, _ := c.Refused(now, request(c, now, cfg, 0, "u", ""))
	require.Less(t, urgent, time.Second)
	hurried := c.NewRequest(now, "h", &cfg.Routes[2], nil, service, 900*time.Millisecond)
	wait, _ := c.Refused(now, hurried)
	require.LessOrEqual(t, wait, 300*time.Millisecond)
}

// Refused callers that come back leave less free than others of their class, and no more of them
// than were refused, since any caller can state a short deadline.
func TestOnlyAsManyReturnsAsRefusals(t *testing.T) {
	cfg := threeKinds()
	c := newCore(t, cfg)
	c.Observe(service, 1)
	usual := c.Share(0, request(c, 0, cfg, 2, "first", ""), false)
	for i := range 3 {
		c.Refused(0, request(c, 0, cfg, 2, fmt.Sprint(i), ""))
	}
	preferred := 0
	for i := range 10 {
		r := c.NewRequest(time.Second, fmt.Sprint("b", i), &cfg.Routes[2], nil, service, 18*time.Second)
		c.Arrived(time.Second, r)
		if c.Share(time.Second, r, false) > usual {
			preferred++
		}
	}
	require.Equal(t, 2, preferred, "three refusals, decayed for a second")
}

// State stays bounded at the target size: teams are forgotten.
func TestTeamsAreBounded(t *testing.T) {
	cfg := threeKinds()
	settings := classes.DefaultConfig()
	settings.MaxTeams = 100
	c := classes.New(settings)
	c.Apply(cfg)
	for i := range 5000 {
		now := time.Duration(i) * 100 * time.Millisecond
		c.Started(now, request(c, now, cfg, 1, fmt.Sprint(i), fmt.Sprint("team", i)), 0)
		require.LessOrEqual(t, c.Teams(service), settings.MaxTeams)
	}
}

// BenchmarkDecision is one request in overload, at the target size: 5,300 requests/s over 330
// VMs, 1,100 teams. The bound of the page is 5 us.
func BenchmarkDecision(b *testing.B) {
	cfg := threeKinds()
	c := newCore(b, cfg)
	c.Observe(service, 0.95)
	teams := make([]routes.Team, 1100)
	for i := range teams {
		teams[i].Name = fmt.Sprint("team", i)
	}
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	const interval = time.Second * 330 / 5300
	var now time.Duration
	var waiting []*classes.Waiter
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += interval
		kind := i % 3
		r := c.NewRequest(now, ids[i%len(ids)], &cfg.Routes[kind], &teams[i*7%len(teams)], service, 20*time.Second)
		r.PromptTokens, r.Tokens = float64(300+i%700), float64(500+i%1500)
		c.Arrived(now, r)
		if c.MayTry(now, r) {
			c.Share(now, r, false)
			c.Missed(now, r)
		}
		c.Urgency(now, r, false)
		if w, _ := c.Join(now, r, 2000); w != nil {
			waiting = append(waiting, w)
		}
		if len(waiting) > 16 {
			c.IsHead(now, waiting[0])
			c.Leave(now, waiting[0])
			waiting = waiting[1:]
		}
		if i%2 == 0 {
			c.Started(now, r, 200*time.Millisecond)
		} else {
			c.Refused(now, r)
		}
	}
}
