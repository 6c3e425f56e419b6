package routing

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// observationWeight is the weight of a new observation in its moving average.
const observationWeight = 0.2

// linkTime returns the one-way time to a failure domain.
func (r *Router) linkTime(to ident.FailureDomain) time.Duration {
	if oneWay, ok := r.links[to]; ok {
		return oneWay
	}
	if to == r.cfg.Place.FailureDomain {
		return 0
	}
	return r.cfg.LinkDefault
}

// acceleratorKey identifies one kind of accelerator that runs one service.
type acceleratorKey struct {
	service     ident.Service
	accelerator string
}

// computeTimes holds averages of observed times, corrected to no load. Zero means not
// observed.
type computeTimes struct {
	token   time.Duration // through all stages, without the links
	prefill time.Duration // per prompt token
}

// expectedTokenTime returns the expected time of one token at no load, without the
// links: the server's average, else that of its kind of accelerator, else the
// configured time.
func (r *Router) expectedTokenTime(s *server) time.Duration {
	if s.observed.token > 0 {
		return s.observed.token
	}
	if observed := r.byAccelerator[s.acceleratorKey()].token; observed > 0 {
		return observed
	}
	return r.scaleBySpeed(r.cfg.TokenTime, s)
}

// expectedPrefillTime is the counterpart of expectedTokenTime for one prompt token.
func (r *Router) expectedPrefillTime(s *server) time.Duration {
	if s.observed.prefill > 0 {
		return s.observed.prefill
	}
	if observed := r.byAccelerator[s.acceleratorKey()].prefill; observed > 0 {
		return observed
	}
	return r.scaleBySpeed(r.cfg.PrefillTime, s)
}

func (s *server) acceleratorKey() acceleratorKey {
	return acceleratorKey{service: s.Service, accelerator: s.Accelerator}
}

// scaleBySpeed divides a time by the speed of the server's accelerator.
func (r *Router) scaleBySpeed(d time.Duration, s *server) time.Duration {
	if speed, ok := r.cfg.Speeds[s.Accelerator]; ok {
		return time.Duration(float64(d) / speed)
	}
	return d
}

// batchSlowdown returns the factor by which the given load lengthens a token time.
func (r *Router) batchSlowdown(s *server, load float64) float64 {
	return 1 + r.cfg.BatchSlowdown*min(1, load/float64(s.capacity))
}

// replicaCost returns the expected time of a request at a replica: the highest of its
// stages' costs. They are not added up, since each is an estimate for the complete request
// and a replica's stages share its requests.
func (r *Router) replicaCost(now time.Duration, stages []*server, req Request) time.Duration {
	var highest time.Duration
	for _, s := range stages {
		highest = max(highest, r.stageCost(now, s, req))
	}
	return highest
}

// stageCost returns the expected time until the last token, judged by the state of one
// stage: the wait for a place in the batch, the prefill and the tokens.
func (r *Router) stageCost(now time.Duration, s *server, req Request) time.Duration {
	tokens := req.ExpectedTokens
	if tokens == 0 {
		tokens = r.cfg.ExpectedTokens
	}
	load := r.estimateLoad(now, s)
	tokenTime := float64(r.expectedTokenTime(s))*r.batchSlowdown(s, load+1) + 2*float64(r.linkTime(s.Place.FailureDomain))
	promptTokens := float64(req.PromptTokens) - r.hintConfidence()*float64(s.hints.longestMatch(req.Prefixes))
	serviceTime := float64(r.expectedPrefillTime(s))*max(0, promptTokens) + tokenTime*float64(tokens)
	wait := max(0, load+1-float64(s.capacity)) / float64(s.capacity) * serviceTime
	return time.Duration(wait + serviceTime)
}

// recordTimes updates the averages from a finished request. The prefill of a request
// that probably queued, or that the cache probably shortened, is not counted.
func (r *Router) recordTimes(now time.Duration, picked *pickedRequest, ev Done) {
	if ev.TokenTime > 0 {
		r.recordTokenTime(now, picked, ev.TokenTime)
	}
	if ev.FirstToken <= 0 || picked.req.PromptTokens <= 0 || picked.expectedToQueue {
		return
	}
	perToken := ev.FirstToken / time.Duration(picked.req.PromptTokens)
	if picked.hintedTokens > 0 && !r.evaluateHint(picked, perToken) {
		return
	}
	picked.firstStage.observed.prefill = movingAverage(picked.firstStage.observed.prefill, perToken)
	observed := r.byAccelerator[picked.firstStage.acceleratorKey()]
	observed.prefill = movingAverage(observed.prefill, perToken)
	r.byAccelerator[picked.firstStage.acceleratorKey()] = observed
}

// recordTokenTime updates the averages from the time between two tokens, which is that
// of the complete pipeline.
func (r *Router) recordTokenTime(now time.Duration, picked *pickedRequest, tokenTime time.Duration) {
	for _, s := range picked.servers {
		compute := max(0, tokenTime-2*r.linkTime(s.Place.FailureDomain))
		atNoLoad := time.Duration(float64(compute) / r.batchSlowdown(s, r.estimateLoad(now, s)))
		s.observed.token = movingAverage(s.observed.token, atNoLoad)
		observed := r.byAccelerator[s.acceleratorKey()]
		observed.token = movingAverage(observed.token, atNoLoad)
		r.byAccelerator[s.acceleratorKey()] = observed
	}
}

func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return time.Duration((1-observationWeight)*float64(old) + observationWeight*float64(observed))
}
