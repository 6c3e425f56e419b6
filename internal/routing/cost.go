package routing

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// observeWeight is the weight of a new observation in its moving average.
const observeWeight = 0.2

// link returns the one-way time to a failure domain.
func (r *Router) link(to ident.FailureDomain) time.Duration {
	if oneWay, ok := r.links[to]; ok {
		return oneWay
	}
	if to == r.cfg.Place.FailureDomain {
		return 0
	}
	return r.cfg.LinkDefault
}

// kind is the accelerators of one kind under one service.
type kind struct {
	service     ident.Service
	accelerator string
}

// times are observed averages at no load; zero means not observed.
type times struct {
	token   time.Duration // through all stages, without the links
	prefill time.Duration // per prompt token
}

// tokenTimeOf returns the expected time of one token at no load, without the
// links: as observed at the server, else at its kind, else as configured.
func (r *Router) tokenTimeOf(s *server) time.Duration {
	if s.seen.token > 0 {
		return s.seen.token
	}
	if seen := r.kinds[s.kind()].token; seen > 0 {
		return seen
	}
	return r.scaled(r.cfg.TokenTime, s)
}

func (r *Router) prefillTimeOf(s *server) time.Duration {
	if s.seen.prefill > 0 {
		return s.seen.prefill
	}
	if seen := r.kinds[s.kind()].prefill; seen > 0 {
		return seen
	}
	return r.scaled(r.cfg.PrefillTime, s)
}

func (s *server) kind() kind {
	return kind{service: s.Service, accelerator: s.Accelerator}
}

// scaled divides a time by the speed of the server's accelerator.
func (r *Router) scaled(d time.Duration, s *server) time.Duration {
	if speed, ok := r.cfg.Speeds[s.Accelerator]; ok {
		return time.Duration(float64(d) / speed)
	}
	return d
}

// slowdown is by how much a batch of the given load is slower than none.
func (r *Router) slowdown(s *server, load float64) float64 {
	return 1 + r.cfg.BatchSlowdown*min(1, load/float64(s.capacity))
}

// replicaCost returns the expected time of a request at a set of stages: that
// of its slowest stage, since a replica's stages share its requests.
func (r *Router) replicaCost(now time.Duration, stages []*server, req Request) time.Duration {
	var worst time.Duration
	for _, s := range stages {
		worst = max(worst, r.stageCost(now, s, req))
	}
	return worst
}

// stageCost returns the expected time until the last token: waiting for a
// place in the batch, prefill, and the tokens.
func (r *Router) stageCost(now time.Duration, s *server, req Request) time.Duration {
	tokens := req.ExpectedTokens
	if tokens == 0 {
		tokens = r.cfg.ExpectedTokens
	}
	load := r.estimate(now, s)
	token := float64(r.tokenTimeOf(s))*r.slowdown(s, load+1) + 2*float64(r.link(s.Place.FailureDomain))
	prompt := float64(req.PromptTokens) - r.believed()*float64(s.hints.longest(req.Prefixes))
	hold := float64(r.prefillTimeOf(s))*max(0, prompt) + token*float64(tokens)
	wait := max(0, load+1-float64(s.capacity)) / float64(s.capacity) * hold
	return time.Duration(wait + hold)
}

// observe learns from a request that is over.
func (r *Router) observe(now time.Duration, f *flight, ev Done) {
	if ev.TokenTime > 0 {
		r.observeToken(now, f, ev.TokenTime)
	}
	if ev.FirstToken <= 0 || f.req.PromptTokens <= 0 || f.queued {
		return
	}
	perToken := ev.FirstToken / time.Duration(f.req.PromptTokens)
	if f.hinted > 0 && !r.judgeHint(f, perToken) {
		return
	}
	f.lead.seen.prefill = average(f.lead.seen.prefill, perToken)
	seen := r.kinds[f.lead.kind()]
	seen.prefill = average(seen.prefill, perToken)
	r.kinds[f.lead.kind()] = seen
}

// observeToken learns from the time between two tokens of a whole pipeline.
func (r *Router) observeToken(now time.Duration, f *flight, took time.Duration) {
	for _, s := range f.servers {
		compute := max(0, took-2*r.link(s.Place.FailureDomain))
		atNoLoad := time.Duration(float64(compute) / r.slowdown(s, r.estimate(now, s)))
		s.seen.token = average(s.seen.token, atNoLoad)
		seen := r.kinds[s.kind()]
		seen.token = average(seen.token, atNoLoad)
		r.kinds[s.kind()] = seen
	}
}

func average(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return time.Duration((1-observeWeight)*float64(old) + observeWeight*float64(seen))
}
