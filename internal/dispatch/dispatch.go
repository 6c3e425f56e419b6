// Package dispatch decides, for one VM, what happens to each request: which
// backend servers it goes to, whether it may be sent again, or with what verdict
// it is refused. It joins the configuration in force (internal/routes), the belief
// in the backend servers (internal/fleet), the search for paths (internal/paths)
// and the budget of repeats (internal/retry).
//
// Core is a plain state machine without clock, lock or network.
package dispatch

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
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
	Domain   string
	Loads    loads.Config
	Paths    paths.Config
	Backends backend.Config
	Retry    retry.Config
	// SoftFull is the part of a server's KV cache up to which every request may
	// plan; each draws its own bound between it and the most that is planned for, and
	// only where that leaves no path is the most taken. VMs that see the same load
	// some hundred milliseconds late so do not all turn to the fastest servers until
	// these overflow. Default 0.6.
	SoftKVShare float64
	// Blind is the part of a KV cache that is left free for each second by which
	// other VMs' loads are old: half of what turns over, at streams of three seconds.
	// Default 0.15.
	KVReservePerSecond float64
	// ToldFor is how long a server's own word of its load counts more than the sum of
	// what the VMs say. Default 300 ms.
	LoadReportTTL time.Duration
	// LostFor is how long a server that an engine waits for in vain is avoided at
	// least: it is dead, or cut off for longer than a hiccup. Default 2 s.
	LostSuspicion time.Duration
	// FailingFor is how long a replica of a plain service is avoided at least after a
	// failure that any VM met. Default 1 s: one that flaps is down about as long.
	FailingSuspicion time.Duration
	// ComeBack is the least time after which a refused caller is told to return:
	// the layers of a dead backend server are loaded again within it. Default 1.2 s.
	RetryAfter time.Duration
}

// DefaultConfig returns the defaults that Config names; the VM's own names and the
// budget of repeats are the caller's to set.
func DefaultConfig() Config {
	return Config{Loads: loads.DefaultConfig(), Paths: paths.DefaultConfig(), Backends: backend.DefaultConfig(),
		SoftKVShare: 0.8, KVReservePerSecond: 0.05, LoadReportTTL: 300 * time.Millisecond, LostSuspicion: 2 * time.Second, FailingSuspicion: time.Second, RetryAfter: 1200 * time.Millisecond}
}

// Core is the state of one VM.
type Core struct {
	cfg      Config
	table    *routes.Table
	Backends *backend.Registry
	Loads    *loads.Core
	budgets  map[string]*retry.Budget
	vms      int
	pipe     pipeMeter
}

// New returns a Core that knows no configuration yet.
func New(cfg Config) *Core {
	self := loads.Member{VM: cfg.VM, Domain: cfg.Domain}
	return &Core{cfg: cfg, Backends: backend.New(cfg.Backends), Loads: loads.New(cfg.Loads, self, cfg.Incarnation), budgets: map[string]*retry.Budget{}, vms: 1}
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

// SetRetry changes the budget of repeats.
func (c *Core) SetRetryBudget(now time.Duration, cfg retry.Config) {
	c.cfg.Retry = cfg
	for _, b := range c.budgets {
		b.SetConfig(now, cfg)
	}
}

// idleShare is the part of a backend server's connections that may be idle ones of all
// VMs together: what is over its bound is reset, with requests that may not be
// repeated on it.
const idleShare = 0.25

// IdleConnections is how many idle connections to one backend server of a service this
// VM may keep.
func (c *Core) IdleConnections(s routes.Service) int {
	return int(idleShare * float64(s.MaxConns) / float64(c.vms))
}

// SetVMs says how many VMs share the work and the budgets.
func (c *Core) SetVMCount(n int) { c.vms = max(1, n) }

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
	SentTo map[backend.ID]bool
	// Begun is set once the caller has a part of the answer.
	Begun bool
	// Avoid holds those that failed this request.
	Avoid map[backend.ID]bool
}

// Choice is where a request goes. Release takes its load off again.
type Choice struct {
	// Parts is the path; a plain service has one part without layers.
	Stages []paths.Stage
	// First is the predicted time to the first token; zero for plain requests.
	FirstToken time.Duration
	tokens     float64
}

// Target is the backend server that the request is sent to.
func (ch *Choice) Target() paths.Stage { return ch.Stages[0] }

// Arrived counts a caller's request for a service.
func (c *Core) RequestArrived(now time.Duration, service string) { c.budget(service).CountRequest(now) }

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
	ch, refusal := c.find(now, r)
	if refusal != nil {
		return nil, refusal
	}
	need := retry.Retry
	if r.Begun {
		need = retry.Resume
	}
	if r.Sends > 0 && !c.budget(r.Service.Name).Spend(now, need, c.vms) {
		return nil, c.notRun(verdict.CauseRetryBudget, "the budget for repeats is used up")
	}
	c.hold(now, ch)
	return ch, nil
}

// Elsewhere reports whether a request that was sent to a server could be sent to
// another one now.
func (c *Core) CanSendElsewhere(now time.Duration, r *Request, sentTo backend.ID) bool {
	if !c.budget(r.Service.Name).Allows(now, retry.Retry, c.vms) {
		return false
	}
	again := *r
	again.Sends++
	again.SentTo, again.Avoid = with(r.SentTo, sentTo), with(r.Avoid, sentTo)
	_, refusal := c.find(now, &again)
	return refusal == nil
}

func with(set map[backend.ID]bool, id backend.ID) map[backend.ID]bool {
	out := maps.Clone(set)
	out[id] = true
	return out
}

func (c *Core) notRun(cause verdict.Cause, detail string) *verdict.Refusal {
	return &verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.RetryAfter, Detail: detail}
}

// find returns a choice, or why there is none.
func (c *Core) find(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	c.Backends.Expire(now)
	if r.Service.Engine == nil {
		if ch := c.plain(now, r); ch != nil {
			return ch, nil
		}
		return nil, c.notRun(verdict.CauseNoBackend, "no ready replica of "+r.Service.Name+" is left to try")
	}
	holders := c.holders(now, r)
	q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Domain: c.cfg.Domain}
	if len(r.SentTo) >= r.Route.MaxAttempts {
		q.AllowedFirst = r.SentTo
	}
	q.LinkUtilization = c.pipeUse(now, r)
	q.MaxUtilization = c.cfg.SoftKVShare + (c.mostFull()-c.cfg.SoftKVShare)*chance(r.ID, r.Sends)
	p, ok := paths.Find(c.cfg.Paths, r.Service.Engine, holders, q)
	if !ok {
		q.MaxUtilization = c.mostFull()
		p, ok = paths.Find(c.cfg.Paths, r.Service.Engine, holders, q)
	}
	switch {
	case ok:
		return &Choice{Stages: p.Stages, FirstToken: p.FirstToken, tokens: r.PromptTokens + r.AnswerTokens}, nil
	case paths.Covered(r.Service.Engine, holders):
		lack := paths.MissingLayers(r.Service.Engine, holders, q)
		return nil, c.notRun(verdict.CauseNoCapacity, fmt.Sprintf("%.0f tokens fit nowhere in layers %d to %d; the pipe is at %.2f of its share",
			r.PromptTokens+r.AnswerTokens, lack.From, lack.To, q.LinkUtilization))
	default:
		return nil, c.notRun(verdict.CauseLayersMissing, "some layers of "+r.Service.Name+" are held by no server")
	}
}

// mostFull is the part of a KV cache that is planned for: a load is up to two
// intervals old, one to the head of its failure domain and one from there.
func (c *Core) mostFull() float64 {
	return max(c.cfg.SoftKVShare, 1-c.cfg.KVReservePerSecond*2*c.Loads.Interval().Seconds())
}

// chance is a number from 0 to 1 that is the request's own for each send.
func chance(id string, sends int) float64 {
	d := xxhash.NewWithSeed(uint64(sends))
	_, _ = d.WriteString(id) // a Digest's Write never fails
	return float64(d.Sum64()>>11) / (1 << 53)
}

// holders are the servers that a path may use now, with the work of all VMs.
func (c *Core) holders(now time.Duration, r *Request) []paths.Candidate {
	spec := r.Service.Engine
	servers := c.Backends.ByService(r.Service.Name)
	out := make([]paths.Candidate, 0, len(servers))
	for _, s := range servers {
		card, known := spec.Accelerators[s.Accelerator]
		if s.State != backend.Ready || s.Held.Len() == 0 || !known || r.Avoid[s.ID] || s.Suspect(now) {
			continue
		}
		own := loadOf(s.OwnWork)
		others := c.Loads.EstimateOthers(now, LoadKey(s.Instance()), own)
		out = append(out, paths.Candidate{Instance: s.Instance(), Addr: s.Addr, Domain: s.Domain, Accelerator: card, Held: s.Held,
			Streams: own.Streams + others.Streams, TokenLayers: own.TokenLayers + others.TokenLayers, Slowdown: s.SlowdownFactor(now),
			Slots: float64(spec.Slots), FirstStageStreams: c.firsts(now, s, others)})
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
	var best *backend.Server
	least := 0.0
	for _, s := range c.Backends.ByService(r.Service.Name) {
		if s.State != backend.Ready || r.Avoid[s.ID] || (len(r.SentTo) >= r.Route.MaxAttempts && !r.SentTo[s.ID]) {
			continue
		}
		load := s.OwnWork.Streams / float64(max(1, s.Slots))
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
	return &Choice{Stages: []paths.Stage{{Instance: best.Instance(), Addr: best.Addr}}}
}

// Replace returns a choice that is ch but for the part at a lost server, which
// others take over: the rest of the path keeps its KV cache. It returns nil where
// nobody can, or where the lost server is the first of the path. Its load is
// counted; the load of ch stays until it is released.
func (c *Core) Replace(now time.Duration, r *Request, ch *Choice, lost string) *Choice {
	at := 0
	for i, p := range ch.Stages {
		if p.Addr == lost {
			at = i
		}
	}
	if at == 0 {
		return nil
	}
	q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Layers: ch.Stages[at].Layers,
		Domain: c.domainOf(ch.Stages[at-1]), MaxUtilization: c.mostFull(), LinkUtilization: c.pipeUse(now, r)}
	if at+1 < len(ch.Stages) {
		q.NextDomain = c.domainOf(ch.Stages[at+1])
	}
	onPath := map[backend.ID]bool{}
	for _, p := range ch.Stages {
		onPath[p.Instance.ID] = true
	}
	var holders []paths.Candidate
	for _, h := range c.holders(now, r) {
		if !onPath[h.Instance.ID] {
			holders = append(holders, h)
		}
	}
	piece, ok := paths.Find(c.cfg.Paths, r.Service.Engine, holders, q)
	if !ok || len(ch.Stages)+len(piece.Stages)-1 > paths.MaxStages {
		return nil
	}
	parts := append([]paths.Stage(nil), ch.Stages[:at]...)
	parts = append(append(parts, piece.Stages...), ch.Stages[at+1:]...)
	out := &Choice{Stages: parts, FirstToken: ch.FirstToken, tokens: ch.tokens}
	c.hold(now, out)
	return out
}

func (c *Core) domainOf(p paths.Stage) string {
	if s := c.Backends.Get(p.Instance.ID); s != nil {
		return s.Domain
	}
	return ""
}

// Spec returns the engine of a service in the configuration in force, or nil.
func (c *Core) Spec(service string) *engine.Spec {
	if c.table == nil {
		return nil
	}
	return c.table.Config().Services[service].Engine
}
