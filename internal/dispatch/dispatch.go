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
	// VM is this VM's name. Incarnation increases with each start of the VM.
	VM          string
	Incarnation uint64
	// Domain is the failure domain of this VM.
	Domain   string
	Loads    loads.Config
	Paths    paths.Config
	Backends backend.Config
	Retry    retry.Config
	// SoftKVShare is the share of a server's KV cache that any request may fill. Each
	// request draws a limit between SoftKVShare and the maximum share; the maximum is
	// used only if no path exists below the drawn limit. The random limits keep VMs that
	// see the same load, some hundred milliseconds old, from all choosing the fastest
	// servers until those overflow. Default 0.8.
	SoftKVShare float64
	// KVReservePerSecond is the share of a KV cache kept free for each second of age of
	// the other VMs' loads. Streams of three seconds turn over a third of the cache in a
	// second. Default 0.05.
	KVReservePerSecond float64
	// LoadReportTTL is how long a server's own load report takes precedence over the sum
	// of the VMs' loads. Default 300 ms.
	LoadReportTTL time.Duration
	// LostSuspicion is the minimum time for which a server is avoided after an engine
	// waited for it without an answer: it is dead, or unreachable for longer than a
	// brief network fault. Default 2 s.
	LostSuspicion time.Duration
	// FailingSuspicion is the minimum time for which a replica of a plain service is
	// avoided after a failure seen by any VM. A flapping replica is down for about that
	// long. Default 1 s.
	FailingSuspicion time.Duration
	// RetryAfter is the Retry-After time of a refusal. Within it, the layers of a dead
	// backend server are loaded elsewhere. Default 1.2 s.
	RetryAfter time.Duration
}

// DefaultConfig returns the defaults documented on Config. The caller sets VM,
// Incarnation, Domain and Retry.
func DefaultConfig() Config {
	return Config{Loads: loads.DefaultConfig(), Paths: paths.DefaultConfig(), Backends: backend.DefaultConfig(),
		SoftKVShare: 0.8, KVReservePerSecond: 0.05, LoadReportTTL: 300 * time.Millisecond, LostSuspicion: 2 * time.Second, FailingSuspicion: time.Second, RetryAfter: 1200 * time.Millisecond}
}

// Core holds the dispatch state of one VM.
type Core struct {
	cfg         Config
	table       *routes.Table
	Backends    *backend.Registry
	Loads       *loads.Core
	budgets     map[string]*retry.Budget
	vmCount     int
	crossDomain linkMeter
}

// New returns a Core without a configuration.
func New(cfg Config) *Core {
	self := loads.Member{VM: cfg.VM, Domain: cfg.Domain}
	return &Core{cfg: cfg, Backends: backend.New(cfg.Backends), Loads: loads.New(cfg.Loads, self, cfg.Incarnation), budgets: map[string]*retry.Budget{}, vmCount: 1}
}

// Table returns the configuration in force, or nil.
func (c *Core) Table() *routes.Table { return c.table }

// Apply puts t in force if it is newer than the current table, and reports whether
// it did.
func (c *Core) Apply(t *routes.Table) bool {
	if !t.Newer(c.table) {
		return false
	}
	c.table = t
	return true
}

// SetRetryBudget changes the retry budget of all services.
func (c *Core) SetRetryBudget(now time.Duration, cfg retry.Config) {
	c.cfg.Retry = cfg
	for _, b := range c.budgets {
		b.SetConfig(now, cfg)
	}
}

// idleShare is the share of a backend server's connection limit that idle connections
// of all VMs together may use. The server resets connections above its limit, including
// those that carry non-retryable requests.
const idleShare = 0.25

// IdleConnections returns how many idle connections this VM may keep to one backend
// server of a service.
func (c *Core) IdleConnections(s routes.Service) int {
	return int(idleShare * float64(s.MaxConns) / float64(c.vmCount))
}

// SetVMCount sets the number of VMs that share the work and the retry budgets.
func (c *Core) SetVMCount(n int) { c.vmCount = max(1, n) }

// Request describes one caller's request across all of its sends.
type Request struct {
	ID      string
	Route   *routes.Route
	Service routes.Service
	// PromptTokens and AnswerTokens are predictions; zero for plain requests.
	PromptTokens, AnswerTokens float64
	// Sends counts the sends. SentTo holds the distinct backend servers sent to, whose
	// number the route limits.
	Sends  int
	SentTo map[backend.ID]bool
	// Begun is set once the caller has received part of the answer.
	Begun bool
	// Avoid holds the backend servers that failed this request.
	Avoid map[backend.ID]bool
}

// Choice is the path chosen for a request. Release removes its load.
type Choice struct {
	// Stages is the path. A plain service has one stage without layers.
	Stages []paths.Stage
	// FirstToken is the predicted time to the first token; zero for plain requests.
	FirstToken time.Duration
	tokens     float64
}

// Target returns the first stage, to which the request is sent.
func (ch *Choice) Target() paths.Stage { return ch.Stages[0] }

// RequestArrived counts a caller's request toward the retry budget of its service.
func (c *Core) RequestArrived(now time.Duration, service string) { c.budget(service).CountRequest(now) }

func (c *Core) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		b = retry.New(c.cfg.Retry)
		c.budgets[service] = b
	}
	return b
}

// Choose picks the backend servers for the next send of r and adds its load to them.
// The first send is always allowed; later ones draw on the retry budget.
func (c *Core) Choose(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	ch, refusal := c.findChoice(now, r)
	if refusal != nil {
		return nil, refusal
	}
	need := retry.Retry
	if r.Begun {
		need = retry.Resume
	}
	if r.Sends > 0 && !c.budget(r.Service.Name).Spend(now, need, c.vmCount) {
		return nil, c.notRun(verdict.CauseRetryBudget, "retry budget exhausted")
	}
	c.addWork(now, ch)
	return ch, nil
}

// CanSendElsewhere reports whether a request that was sent to sentTo could now be sent
// to another server.
func (c *Core) CanSendElsewhere(now time.Duration, r *Request, sentTo backend.ID) bool {
	if !c.budget(r.Service.Name).Allows(now, retry.Retry, c.vmCount) {
		return false
	}
	retried := *r
	retried.Sends++
	retried.SentTo, retried.Avoid = withID(r.SentTo, sentTo), withID(r.Avoid, sentTo)
	_, refusal := c.findChoice(now, &retried)
	return refusal == nil
}

func withID(set map[backend.ID]bool, id backend.ID) map[backend.ID]bool {
	out := maps.Clone(set)
	out[id] = true
	return out
}

func (c *Core) notRun(cause verdict.Cause, detail string) *verdict.Refusal {
	return &verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.RetryAfter, Detail: detail}
}

// findChoice returns a choice, or the refusal if there is none. It adds no load.
func (c *Core) findChoice(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	c.Backends.Expire(now)
	if r.Service.Engine == nil {
		if ch := c.leastLoadedReplica(now, r); ch != nil {
			return ch, nil
		}
		return nil, c.notRun(verdict.CauseNoBackend, "no ready replica of "+r.Service.Name+" left to try")
	}
	candidates := c.candidates(now, r)
	q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Domain: c.cfg.Domain}
	if len(r.SentTo) >= r.Route.MaxAttempts {
		q.AllowedFirst = r.SentTo
	}
	q.LinkUtilization = c.linkUse(now, r)
	q.MaxUtilization = c.cfg.SoftKVShare + (c.maxKVShare()-c.cfg.SoftKVShare)*requestFraction(r.ID, r.Sends)
	p, ok := paths.Find(c.cfg.Paths, r.Service.Engine, candidates, q)
	if !ok {
		q.MaxUtilization = c.maxKVShare()
		p, ok = paths.Find(c.cfg.Paths, r.Service.Engine, candidates, q)
	}
	switch {
	case ok:
		return &Choice{Stages: p.Stages, FirstToken: p.FirstToken, tokens: r.PromptTokens + r.AnswerTokens}, nil
	case paths.Covered(r.Service.Engine, candidates):
		uncovered := paths.MissingLayers(r.Service.Engine, candidates, q)
		return nil, c.notRun(verdict.CauseNoCapacity, fmt.Sprintf("%.0f tokens fit nowhere in layers %d to %d; the pipe is at %.2f of its share",
			r.PromptTokens+r.AnswerTokens, uncovered.From, uncovered.To, q.LinkUtilization))
	default:
		return nil, c.notRun(verdict.CauseLayersMissing, "some layers of "+r.Service.Name+" are not held by any server")
	}
}

// maxKVShare returns the largest share of a KV cache that requests may fill. Loads are
// up to two intervals old: one to the aggregator of the failure domain, one from there.
func (c *Core) maxKVShare() float64 {
	return max(c.cfg.SoftKVShare, 1-c.cfg.KVReservePerSecond*2*c.Loads.Interval().Seconds())
}

// requestFraction returns a pseudo-random number in [0, 1), fixed for each send of a
// request.
func requestFraction(id string, sends int) float64 {
	d := xxhash.NewWithSeed(uint64(sends))
	_, _ = d.WriteString(id) // a Digest's Write never fails
	return float64(d.Sum64()>>11) / (1 << 53)
}

// candidates returns the servers that a path may use now, with the work of all VMs.
func (c *Core) candidates(now time.Duration, r *Request) []paths.Candidate {
	spec := r.Service.Engine
	servers := c.Backends.ByService(r.Service.Name)
	out := make([]paths.Candidate, 0, len(servers))
	for _, s := range servers {
		accelerator, known := spec.Accelerators[s.Accelerator]
		if s.State != backend.Ready || s.Held.Len() == 0 || !known || r.Avoid[s.ID] || s.Suspect(now) {
			continue
		}
		own := loadOf(s.OwnWork)
		others := c.Loads.EstimateOthers(now, LoadKey(s.Instance()), own)
		out = append(out, paths.Candidate{Instance: s.Instance(), Addr: s.Addr, Domain: s.Domain, Accelerator: accelerator, Held: s.Held,
			Streams: own.Streams + others.Streams, TokenLayers: own.TokenLayers + others.TokenLayers, Slowdown: s.SlowdownFactor(now),
			Slots: float64(spec.Slots), FirstStageStreams: c.firstStageStreams(now, s, others)})
	}
	return out
}

const (
	// otherDomainLoad is added to the load per slot of a replica in another failure
	// domain.
	otherDomainLoad = 0.5
	// suspectPenalty makes suspects the last resort.
	suspectPenalty = 1000
)

// leastLoadedReplica picks the replica of a plain service with the least work from this
// VM per slot, or nil.
func (c *Core) leastLoadedReplica(now time.Duration, r *Request) *Choice {
	var leastLoaded *backend.Server
	lowest := 0.0
	for _, s := range c.Backends.ByService(r.Service.Name) {
		if s.State != backend.Ready || r.Avoid[s.ID] || (len(r.SentTo) >= r.Route.MaxAttempts && !r.SentTo[s.ID]) {
			continue
		}
		load := s.OwnWork.Streams / float64(max(1, s.Slots))
		if s.Domain != c.cfg.Domain {
			load += otherDomainLoad
		}
		if s.Suspect(now) {
			load += suspectPenalty
		}
		if leastLoaded == nil || load < lowest {
			leastLoaded, lowest = s, load
		}
	}
	if leastLoaded == nil {
		return nil
	}
	return &Choice{Stages: []paths.Stage{{Instance: leastLoaded.Instance(), Addr: leastLoaded.Addr}}}
}

// Replace returns a copy of ch in which other servers take over the stage at lostAddr;
// the remaining stages keep their KV cache. It returns nil if no server can, or if the
// lost server is the first stage. The load of the new choice is added; that of ch stays
// until it is released.
func (c *Core) Replace(now time.Duration, r *Request, ch *Choice, lostAddr string) *Choice {
	lostStage := 0
	for i, p := range ch.Stages {
		if p.Addr == lostAddr {
			lostStage = i
		}
	}
	if lostStage == 0 {
		return nil
	}
	q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Layers: ch.Stages[lostStage].Layers,
		Domain: c.domainOf(ch.Stages[lostStage-1]), MaxUtilization: c.maxKVShare(), LinkUtilization: c.linkUse(now, r)}
	if lostStage+1 < len(ch.Stages) {
		q.NextDomain = c.domainOf(ch.Stages[lostStage+1])
	}
	onPath := map[backend.ID]bool{}
	for _, p := range ch.Stages {
		onPath[p.Instance.ID] = true
	}
	var candidates []paths.Candidate
	for _, h := range c.candidates(now, r) {
		if !onPath[h.Instance.ID] {
			candidates = append(candidates, h)
		}
	}
	replacement, ok := paths.Find(c.cfg.Paths, r.Service.Engine, candidates, q)
	if !ok || len(ch.Stages)+len(replacement.Stages)-1 > paths.MaxStages {
		return nil
	}
	stages := append([]paths.Stage(nil), ch.Stages[:lostStage]...)
	stages = append(append(stages, replacement.Stages...), ch.Stages[lostStage+1:]...)
	out := &Choice{Stages: stages, FirstToken: ch.FirstToken, tokens: ch.tokens}
	c.addWork(now, out)
	return out
}

func (c *Core) domainOf(p paths.Stage) string {
	if s := c.Backends.Get(p.Instance.ID); s != nil {
		return s.Domain
	}
	return ""
}

// Spec returns the engine of a service in the current configuration, or nil.
func (c *Core) Spec(service string) *engine.Spec {
	if c.table == nil {
		return nil
	}
	return c.table.Config().Services[service].Engine
}
