package dispatch

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/backpressure"
	"github.com/catkinstair/catkinstair/internal/classes"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/internal/retry"
	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Config holds the settings of a Core.
type Config struct {
	// VM is this VM's name. Incarnation must increase with each start of the VM.
	VM          string
	Incarnation uint64
	// Domain is the failure domain of this VM.
	Domain   string
	Loads    loads.Config
	Paths    paths.Config
	Backends backend.Config
	Retry    retry.Config
	Poison   poison.Config
	// Reach holds the settings for judging this VM's own links.
	Reach reach.Config
	// Backpressure holds the settings for the limits that servers name.
	Backpressure backpressure.Config
	// Prompts holds the settings for prompts that servers still hold. Default off.
	Prompts prefixcache.Config
	// Classes holds the settings for services whose routes or teams differ in priority.
	Classes classes.Config
	// SoftKVShare is the share, 0 to 1, of a server's KV cache that any request may fill.
	// Each send of a request gets a random limit between SoftKVShare and the maximum
	// share; the maximum is used only if no path exists within that limit. Without random
	// limits, VMs that see the same load, some hundred milliseconds old, would all choose
	// the fastest servers until those overflow. Default 0.8.
	SoftKVShare float64
	// KVReservePerSecond is the share of a KV cache kept free for each second of age of
	// the other VMs' loads. If streams take three seconds, a third of the cache is
	// released and filled again in a second. Default 0.05.
	KVReservePerSecond float64
	// UnknownLoadShare is the share, 0 to 1, of the servers of its failure domain that a
	// request leaves out at random while the load of the other VMs is unknown; it also leaves
	// out those of other failure domains. 0 disables both. Default 0.35.
	UnknownLoadShare float64
	// MoveTimeShare is the share of the pause objective (routes.Route.MaxGap) in which the
	// servers that take over a lost server's layers read the tokens of the moved streams
	// again; the rest is for the finding, the order and the next step. The lost server's
	// streams are divided by what each server can take in that time. 0 disables this.
	// Default 0.5.
	MoveTimeShare float64
	// LoadsSettleTime is how long the sum of all VMs' loads has to be known before it is
	// relied upon. Default 1 s.
	LoadsSettleTime time.Duration
	// LoadReportTTL is how long a server's own load report takes precedence over the sum
	// of the VMs' loads. Default 300 ms.
	LoadReportTTL time.Duration
	// LostSuspicion is the minimum time for which a server is avoided after another
	// engine got no answer from it: it is dead, or unreachable for longer than a brief
	// network fault. Default 2 s.
	LostSuspicion time.Duration
	// FailingSuspicion is the minimum time for which a replica of a plain service is
	// avoided after any VM recorded a failure. A flapping replica is down for about that
	// long. Default 1 s.
	FailingSuspicion time.Duration
	// RetryAfter is the Retry-After time of a refusal. By then, other servers have loaded
	// the layers of a dead backend server. Default 1.2 s.
	RetryAfter time.Duration
	// BlockedRetryAfter is the Retry-After time of a request that is blocked, or whose prompt
	// is. Default 30 s.
	BlockedRetryAfter time.Duration
}

// DefaultConfig returns the defaults documented on Config. The caller sets VM,
// Incarnation, Domain and Retry.
func DefaultConfig() Config {
	return Config{Loads: loads.DefaultConfig(), Paths: paths.DefaultConfig(), Backends: backend.DefaultConfig(), Poison: poison.DefaultConfig(), Reach: reach.DefaultConfig(), Backpressure: backpressure.DefaultConfig(), Prompts: prefixcache.DefaultConfig(), Classes: classes.DefaultConfig(),
		SoftKVShare: 0.8, KVReservePerSecond: 0.05, UnknownLoadShare: 0.35, MoveTimeShare: 0.5, LoadsSettleTime: time.Second, LoadReportTTL: 300 * time.Millisecond, LostSuspicion: 2 * time.Second, FailingSuspicion: time.Second, RetryAfter: 1200 * time.Millisecond, BlockedRetryAfter: 30 * time.Second}
}

// Core holds the dispatch state of one VM. It is not safe for concurrent use.
type Core struct {
	cfg             Config
	table           *routes.Table
	Backends        *backend.Registry
	Loads           *loads.Core
	Poison          *poison.Guard
	Reach           *reach.Core
	peerLinks       *reach.Peers
	Backpressure    *backpressure.Core
	Prompts         *prefixcache.Core
	Classes         *classes.Core
	corrections     []classes.Correction   // of the configuration in force
	observedUse     map[string]observedUse // by service
	peers           []Peer
	peerRefusals    map[peerRefusal]time.Duration // until when
	peerStates      map[string]peerState          // of all peers, by VM
	unconfirmed     unconfirmedFailures
	budgets         map[string]*retry.Budget
	vmCount         int
	crossDomainLink linkMeter
	loadsUnknownAt  time.Duration // last time at which the load of the other VMs was unknown
	poisonSent      poison.Mark   // of the last messages to other VMs
	moves           map[backend.Instance]*move
}

// New returns a Core without a configuration.
func New(cfg Config) *Core {
	self := loads.Member{VM: cfg.VM, Domain: cfg.Domain}
	return &Core{cfg: cfg, Backends: backend.New(cfg.Backends), Loads: loads.New(cfg.Loads, self, cfg.Incarnation), Poison: poison.New(cfg.Poison), Reach: reach.New(cfg.Reach), peerLinks: reach.NewPeers(), peerRefusals: map[peerRefusal]time.Duration{},
		Backpressure: backpressure.New(cfg.Backpressure, uint32(xxhash.Sum64String(cfg.VM))), Prompts: prefixcache.New(cfg.Prompts), Classes: classes.New(cfg.Classes), observedUse: map[string]observedUse{}, budgets: map[string]*retry.Budget{}, vmCount: 1, moves: map[backend.Instance]*move{}}
}

// Table returns the configuration in force, or nil.
func (c *Core) Table() *routes.Table { return c.table }

// Apply replaces the current table by t if t is newer, and reports whether it did.
func (c *Core) Apply(t *routes.Table) bool {
	if !t.Newer(c.table) {
		return false
	}
	c.table = t
	c.corrections = c.Classes.Apply(t.Config())
	return true
}

// Corrections returns the invalid priorities and objectives of the configuration in force.
func (c *Core) Corrections() []classes.Correction { return c.corrections }

// SetRetryBudget changes the settings of the retry budgets of all services.
func (c *Core) SetRetryBudget(now time.Duration, cfg retry.Config) {
	c.cfg.Retry = cfg
	for _, b := range c.budgets {
		b.SetConfig(now, cfg)
	}
}

// idleShare is the share of a backend server's connection limit that idle connections
// of all VMs together may use. Above its limit, the server resets connections, also those
// with requests that must not run twice.
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
	// PromptTokens and AnswerTokens are predicted sizes; zero for plain services.
	PromptTokens, AnswerTokens float64
	// Prompt is the prompt's parts, of which servers may hold some; nil if unknown or if
	// that is disabled.
	Prompt prefixcache.Prompt
	// Class is nil if the priorities of the service's routes and teams do not differ.
	Class *classes.Request
	// Subject is what may crash a server in the request.
	Subject poison.Subject
	// Trial is set if the request is blocked, and let through to see whether it still crashes
	// servers.
	Trial bool
	// Sends counts the sends so far. SentTo holds the backend servers that they went to;
	// Route.MaxAttempts limits their number.
	Sends  int
	SentTo map[backend.ID]bool
	// Begun is set once the caller has received part of the answer.
	Begun bool
	// Avoid holds the backend servers, and the VMs it was passed on to, that failed this
	// request.
	Avoid map[backend.ID]bool
	// FromPeer is set if another VM has passed the request on. PeerSends counts the VMs that
	// did not take it from this one.
	FromPeer  bool
	PeerSends int
	// PeersOnly is set once this VM has tried enough servers that it could not reach.
	PeersOnly bool
	// CountedSends is the value of Sends up to which sends are counted against the retry
	// budget, of this VM or of the one that passed the request on.
	CountedSends int
}

// Choice is the path chosen for one send of a request. Its load is counted until
// Core.Release.
type Choice struct {
	// Stages is the path. For a plain service it is one stage without layers.
	Stages []paths.Stage
	// FirstToken is the predicted time to the first token; zero for plain services.
	FirstToken time.Duration
	// HolderKnown reports that a server that could have taken a stage was expected to hold a
	// part of the prompt. HeldTokens is the predicted number of prompt tokens that the chosen
	// servers need not read, as a mean over the layers.
	HolderKnown bool
	HeldTokens  float64
	tokens      float64 // predicted tokens of prompt and answer
}

// Target returns the first stage, to which the request is sent.
func (ch *Choice) Target() paths.Stage { return ch.Stages[0] }

// StageAt returns the stage of the server at addr, false if the path does not include it. A server's
// address outlives it: the record may be gone by now, or be that of another one.
func (ch *Choice) StageAt(addr string) (paths.Stage, bool) {
	for _, stage := range ch.Stages {
		if stage.Addr == addr {
			return stage, true
		}
	}
	return paths.Stage{}, false
}

// RequestArrived counts a caller's request, which raises the retry budget of its service.
func (c *Core) RequestArrived(now time.Duration, service string) { c.budget(service).CountRequest(now) }

func (c *Core) budget(service string) *retry.Budget {
	b := c.budgets[service]
	if b == nil {
		b = retry.New(c.cfg.Retry)
		c.budgets[service] = b
	}
	return b
}

// Choose picks the backend servers for the next send of r and adds its load to them, or the
// VM to pass it on to, or returns the refusal. Sends after the first are counted against the
// retry budget of the VM that decides on them.
func (c *Core) Choose(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	if refusal := c.refuseBlocked(now, r); refusal != nil {
		return nil, refusal
	}
	if ch, refusal := c.chooseReachable(now, r); ch != nil || refusal != nil {
		return ch, refusal
	}
	ch, refusal := c.findChoice(now, r)
	if refusal != nil {
		if refusal.Cause == verdict.CauseNoCapacity && r.Sends == 0 {
			c.Classes.Missed(now, r.Class)
		}
		if otherVMMayServe(refusal.Cause) {
			if ch, _ := c.choosePeer(now, r); ch != nil {
				return ch, nil
			}
		}
		return nil, refusal
	}
	if refusal := c.spendRetry(now, r); refusal != nil {
		return nil, refusal
	}
	c.begin(now, r, ch)
	return ch, nil
}

// begin records that r is about to be sent over ch.
func (c *Core) begin(now time.Duration, r *Request, ch *Choice) {
	if ch.IsPeer() {
		return // the other VM counts it
	}
	c.addWork(now, ch)
	c.Classes.Started(now, r.Class, ch.FirstToken)
	c.Backpressure.Sent(limitKey(ch.Target().Instance))
}

// spendRetry counts the next send of r against the retry budget, unless it is the first or the
// one before it never left this VM, or returns the refusal.
func (c *Core) spendRetry(now time.Duration, r *Request) *verdict.Refusal {
	if r.Sends <= r.CountedSends {
		return nil
	}
	if !c.budget(r.Service.Name).Spend(now, purposeOf(r), c.vmCount) {
		return c.notRun(verdict.CauseRetryBudget, "retry budget exhausted")
	}
	r.CountedSends = r.Sends
	return nil
}

// purposeOf returns what a further send of r is for.
func purposeOf(r *Request) retry.Purpose {
	if r.Begun {
		return retry.Resume
	}
	return retry.Retry
}

func withID(set map[backend.ID]bool, id backend.ID) map[backend.ID]bool {
	out := maps.Clone(set)
	out[id] = true
	return out
}

func (c *Core) notRun(cause verdict.Cause, detail string) *verdict.Refusal {
	return &verdict.Refusal{Verdict: verdict.NotRun, Cause: cause, RetryAfter: c.cfg.RetryAfter, Detail: detail}
}

// findChoice returns the best choice without adding its load, or the refusal if there is
// none.
func (c *Core) findChoice(now time.Duration, r *Request) (*Choice, *verdict.Refusal) {
	c.Backends.Expire(now)
	if r.Service.Engine == nil {
		if ch := c.leastLoadedReplica(now, r); ch != nil {
			return ch, nil
		}
		if refusal := c.refuseWithoutFirst(now, r); refusal != nil {
			return nil, refusal
		}
		return nil, c.notRun(verdict.CauseNoBackend, "no ready replica of "+r.Service.Name+" left to try")
	}
	candidates := c.candidates(now, r)
	q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Domain: c.cfg.Domain, HeldPrompt: c.heldPrompt(now, r, candidates)}
	if len(r.SentTo) >= r.Route.MaxAttempts {
		q.AllowedFirst = r.SentTo
	}
	q.LinkUtilization = c.linkUtilization(now, r)
	use := c.observeUse(now, r, candidates)
	classShare := c.classShare(now, r)
	q.MaxUtilization = classShare * (c.cfg.SoftKVShare + (c.maxKVShare()-c.cfg.SoftKVShare)*requestFraction(r.ID, r.Sends))
	spreadFirst := r.Route.Resumable && r.Route.MaxGap > 0 && use < maxUseToSpread
	path, ok := c.findPath(r, spreadFirst, c.spread(now, r.Service.Engine, r, candidates), q)
	if !ok {
		q.MaxUtilization = classShare * c.maxKVShare()
		path, ok = c.findPath(r, spreadFirst, candidates, q)
	}
	switch {
	case ok:
		return &Choice{Stages: path.Stages, FirstToken: path.FirstToken, tokens: r.PromptTokens + r.AnswerTokens, HolderKnown: len(q.HeldPrompt) > 0, HeldTokens: path.HeldTokens}, nil
	case paths.Covered(r.Service.Engine, candidates):
		if refusal := c.refuseWithoutFirst(now, r); refusal != nil {
			return nil, refusal
		}
		uncovered := paths.MissingLayers(r.Service.Engine, candidates, q)
		return nil, c.notRun(verdict.CauseNoCapacity, fmt.Sprintf("%.0f tokens fit nowhere in layers %d to %d; the pipe is at %.2f of its share",
			r.PromptTokens+r.AnswerTokens, uncovered.From, uncovered.To, q.LinkUtilization))
	default:
		return nil, c.notRun(verdict.CauseLayersMissing, "some layers of "+r.Service.Name+" are held by no server that this VM may use")
	}
}

const (
	// maxFirstTokenShare and maxPauseShare are the shares of the route's latency and pause
	// objectives up to which a path may be slower because of the bound on first stages.
	maxFirstTokenShare = 0.25
	maxPauseShare      = 0.5
	// maxUseToSpread is the used share of a service's capacity up to which the bound on first
	// stages applies. It makes streams slower by some 5 in 100, so that they hold memory
	// longer, which is missing when capacity is short.
	maxUseToSpread = 0.5
)

// findPath returns the best path of a request. The bound on the streams that start at one
// server counts only for streams that can be resumed, and only if the path that it leads to
// stays well within the route's objectives.
func (c *Core) findPath(r *Request, spreadFirst bool, candidates []paths.Candidate, q paths.Request) (paths.Path, bool) {
	q.SpreadFirst = spreadFirst
	path, ok := paths.Find(c.cfg.Paths, r.Service.Engine, candidates, q)
	if !ok || !path.AboveFirstShare {
		return path, ok
	}
	if (r.Route.TargetLatency <= 0 || float64(path.FirstToken) <= maxFirstTokenShare*float64(r.Route.TargetLatency)) &&
		float64(path.Pause) <= maxPauseShare*float64(r.Route.MaxGap) {
		return path, true
	}
	q.SpreadFirst = false
	return paths.Find(c.cfg.Paths, r.Service.Engine, candidates, q)
}

// maxKVShare returns the largest share of a KV cache that requests may fill. The other
// VMs' loads are up to two intervals old: one until the aggregator of the failure domain
// has them, one until it sends the sum.
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

// candidates returns the servers that a path may use now, with the estimated work of all
// VMs.
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
			Slots: float64(spec.Slots), FirstStageStreams: c.firstStageStreams(now, s, others), NotFirst: !c.takesRequests(now, s)})
		c.addMoved(now, &out[len(out)-1])
	}
	return out
}

const (
	// otherDomainLoad is added to the load per slot of a replica in another failure
	// domain, so that it is chosen only if it has that much less work.
	otherDomainLoad = 0.5
	// suspectPenalty is added to the load per slot of a suspect replica, so that it is
	// chosen only if all are suspect.
	suspectPenalty = 1000
)

// leastLoadedReplica returns the replica of a plain service with the least work from this
// VM per slot, or nil if none is left to try.
func (c *Core) leastLoadedReplica(now time.Duration, r *Request) *Choice {
	var leastLoaded *backend.Server
	lowest := 0.0
	for _, s := range c.Backends.ByService(r.Service.Name) {
		if s.State != backend.Ready || r.Avoid[s.ID] || (len(r.SentTo) >= r.Route.MaxAttempts && !r.SentTo[s.ID]) {
			continue
		}
		if !c.takesRequests(now, s) {
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

// domainOf returns the failure domain of a stage's server, "" if the server is unknown.
func (c *Core) domainOf(stage paths.Stage) string {
	if s := c.Backends.Get(stage.Instance.ID); s != nil {
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
