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

// tokenTimeOf returns the expected time of one token at no load.
func (r *Router) tokenTimeOf(s *server) time.Duration {
	if s.tokenTime > 0 {
		return s.tokenTime
	}
	return r.scaled(r.cfg.TokenTime, s) + 2*r.link(s.Place.FailureDomain)
}

func (r *Router) prefillTimeOf(s *server) time.Duration {
	if s.prefillTime > 0 {
		return s.prefillTime
	}
	return r.scaled(r.cfg.PrefillTime, s)
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
	tokens := req.Tokens
	if tokens == 0 {
		tokens = r.cfg.ExpectedTokens
	}
	load := r.estimate(now, s)
	token := float64(r.tokenTimeOf(s)) * r.slowdown(s, load+1)
	prompt := float64(req.PromptTokens) - r.trust*float64(s.hints.longest(req.Prefixes))
	hold := float64(r.prefillTimeOf(s))*max(0, prompt) + token*float64(tokens)
	wait := max(0, load+1-float64(s.capacity)) / float64(s.capacity) * hold
	return time.Duration(wait + hold)
}

// observe learns from a request that is over.
func (r *Router) observe(now time.Duration, f *flight, ev Done) {
	for _, s := range f.servers {
		if ev.TokenTime > 0 {
			atNoLoad := float64(ev.TokenTime) / r.slowdown(s, r.estimate(now, s))
			s.tokenTime = average(s.tokenTime, time.Duration(atNoLoad))
		}
	}
	if ev.FirstToken <= 0 || f.req.PromptTokens <= 0 {
		return
	}
	perToken := ev.FirstToken / time.Duration(f.req.PromptTokens)
	if f.hinted > 0 {
		r.judgeHint(f, perToken)
		return
	}
	f.lead.prefillTime = average(f.lead.prefillTime, perToken)
}

func average(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return time.Duration((1-observeWeight)*float64(old) + observeWeight*float64(seen))
}
