// Package dispatch decides, for one VM, what happens to each request: which
// backend servers it goes to, whether it may be sent again, or with what verdict
// it is refused. It joins the configuration in force (internal/routes), the belief
// in the backend servers (internal/fleet), the search for paths (internal/paths)
// and the budget of repeats (internal/retry).
//
// Core is a plain state machine without clock, lock or network.
package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/fleet"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Config holds the settings of a Core.
type Config struct {
	// VM names this VM; Incarnation rises with each start of it.
	VM          string
	Incarnation uint64
	// Domain is the failure domain of this VM.
	Domain string
	Loads  loads.Config
	Paths  paths.Config
	Fleet  fleet.Config
	Retry  retry.Config
	// ComeBack is the least time after which a refused caller is told to return:
	// the layers of a dead backend server are loaded again within it. Default 1.2 s.
	ComeBack time.Duration
}

// Core is the state of one VM.
type Core struct {
	cfg     Config
	table   *routes.Table
	Fleet   *fleet.Fleet
	Loads   *loads.Core
	budgets map[string]*retry.Budget
	vms     int
}

// New returns a Core that knows no configuration yet.
func New(cfg Config) *Core {
	self := loads.Member{VM: cfg.VM, Domain: cfg.Domain}
	return &Core{cfg: cfg, Fleet: fleet.New(cfg.Fleet), Loads: loads.New(cfg.Loads, self, cfg.Incarnation), budgets: map[string]*retry.Budget{}, vms: 1}
}

// Table returns the configuration in force, or nil.
func (c *Core) Table() *routes.Table { return c.table }

// Apply puts a version in force, unless a newer one is, and reports whether it
// did.
func (c *Core) Apply(t *routes.Table) bool {
	if !t.Newer(c.table) {
		return false
	}
	c.table = t
	return true
}

// SetVMs says how many VMs share the work and the budgets.
func (c *Core) SetVMs(n int) { c.vms = max(1, n) }

// Request is what a choice is made for. It is kept through all sends of one
// request.
type Request struct {
	ID      string
	Route   *routes.Route
	Service routes.Service
	// PromptTokens and AnswerTokens are predictions; zero for plain requests.
	PromptTokens, AnswerTokens float64
	// Sends counts the sends; SentTo holds the backend servers sent to, of which a
	// route allows a number.
	Sends  int
	SentTo map[fleet.ID]bool
	// Avoid holds those that failed this request.
	Avoid map[fleet.ID]bool
}

// Choice is where a request goes. Release takes its load off again.
type Choice struct {
	// Parts is the path; a plain service has one part without layers.
	Parts []paths.Part
	// First is the predicted time to the first token; zero for plain requests.
	First  time.Duration
	tokens float64
}

// Target is the backend server that the request is sent to.
func (ch *Choice) Target() paths.Part { return ch.Parts[0] }

// Arrived counts a caller's request for a service.
func (c *Core) Arrived(now time.Duration, service string) { c.budget(service).Request(now) }

func (c *Core) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		b = retry.New(c.cfg.Retry)
		c.budgets[service] = b
	}
	return b
}

// Choose picks the backend servers for the next send of r, and counts its load
// there. A first send is always allowed; a further one draws on the budget.
func (c *Core) Choose(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	ch, cause := c.find(now, r)
	if ch == nil {
		return nil, &verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.ComeBack,
			Detail: "no backend server of " + r.Service.Name + " can take the request now"}
	}
	if r.Sends > 0 && !c.budget(r.Service.Name).Repeat(now, c.vms) {
		return nil, &verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseRetryBudget, RetryAfter: c.cfg.ComeBack,
			Detail: "the budget for repeats is used up"}
	}
	c.hold(ch)
	return ch, nil
}

// find returns a choice, or why there is none.
func (c *Core) find(now time.Duration, r *Request) (*Choice, verdict.Cause) {
	c.Fleet.Expire(now)
	if r.Service.Engine == nil {
		return c.plain(now, r), verdict.CauseNoBackend
	}
	holders := c.holders(now, r)
	q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Domain: c.cfg.Domain}
	if len(r.SentTo) >= r.Route.Attempts {
		q.First = r.SentTo
	}
	p, ok := paths.Find(c.cfg.Paths, r.Service.Engine, holders, q)
	switch {
	case ok:
		return &Choice{Parts: p.Parts, First: p.First, tokens: r.PromptTokens + r.AnswerTokens}, ""
	case paths.Covered(r.Service.Engine, holders):
		return nil, verdict.CauseNoRoom
	default:
		return nil, verdict.CauseNoCover
	}
}

// holders are the servers that a path may use now, with the work of all VMs.
func (c *Core) holders(now time.Duration, r *Request) []paths.Holder {
	spec := r.Service.Engine
	servers := c.Fleet.Of(r.Service.Name)
	out := make([]paths.Holder, 0, len(servers))
	for _, s := range servers {
		card, known := spec.Cards[s.Card]
		if s.Life != fleet.Ready || s.Held.Len() == 0 || !known || r.Avoid[s.ID] || s.Suspect(now) {
			continue
		}
		own := loads.Load{Streams: float64(s.Streams), TokenLayers: s.TokenLayers}
		others := c.Loads.Others(now, LoadKey(s.ID), own)
		out = append(out, paths.Holder{Instance: s.Instance(), Addr: s.Addr, Domain: s.Domain, Card: card, Held: s.Held,
			Streams: own.Streams + others.Streams, TokenLayers: own.TokenLayers + others.TokenLayers, SlowX: s.SlowX})
	}
	return out
}

const (
	// awayLoad is what another failure domain counts for a plain request, in
	// requests in progress.
	awayLoad = 0.5
	// suspectLoad keeps suspects for the case that nothing else is left.
	suspectLoad = 1000
)

// plain picks the replica of a plain service with the least own work.
func (c *Core) plain(now time.Duration, r *Request) *Choice {
	var best *fleet.Server
	least := 0.0
	for _, s := range c.Fleet.Of(r.Service.Name) {
		if s.Life != fleet.Ready || r.Avoid[s.ID] || (len(r.SentTo) >= r.Route.Attempts && !r.SentTo[s.ID]) {
			continue
		}
		load := float64(s.Streams) / float64(max(1, s.Slots))
		if s.Domain != c.cfg.Domain {
			load += awayLoad
		}
		if s.Suspect(now) {
			load += suspectLoad
		}
		if best == nil || load < least {
			best, least = s, load
		}
	}
	if best == nil {
		return nil
	}
	return &Choice{Parts: []paths.Part{{Instance: best.Instance(), Addr: best.Addr}}}
}

func (c *Core) hold(ch *Choice) {
	for _, p := range ch.Parts {
		c.Fleet.Begin(p.Instance, ch.tokens*float64(p.Layers.Len()))
	}
}

// Release takes the load of a choice off again.
func (c *Core) Release(ch *Choice) {
	for _, p := range ch.Parts {
		c.Fleet.End(p.Instance, ch.tokens*float64(p.Layers.Len()))
	}
}

// Worked records that the servers of a choice did their work.
func (c *Core) Worked(ch *Choice) {
	for _, p := range ch.Parts {
		c.Fleet.Worked(p.Instance)
	}
}

// LoadKey is a server's key in messages of loads.
func LoadKey(id fleet.ID) loads.Key { return loads.Key(xxhash.Sum64String(string(id))) }

// OwnLoads is this VM's work in progress on each server.
func (c *Core) OwnLoads() map[loads.Key]loads.Load {
	out := map[loads.Key]loads.Load{}
	for _, id := range c.Fleet.IDs() {
		if s := c.Fleet.Get(id); s.Streams > 0 {
			out[LoadKey(id)] = loads.Load{Streams: float64(s.Streams), TokenLayers: s.TokenLayers}
		}
	}
	return out
}

// Spec returns the engine of a service in the configuration in force, or nil.
func (c *Core) Spec(service string) *engine.Spec {
	if c.table == nil {
		return nil
	}
	return c.table.Config().Services[service].Engine
}

// DefaultComeBack is Config.ComeBack's default.
const DefaultComeBack = 1200 * time.Millisecond
