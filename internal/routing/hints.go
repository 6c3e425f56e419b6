package routing

import "time"

// initialTrust is how much a hint is believed before any was tried.
const initialTrust = 0.5

// luckTrust is the share of hints that may prove true by luck.
const luckTrust = 0.25

// trustWeight is the weight of a new hint's outcome.
const trustWeight = 0.05

// hints is what cache events said about one server. It may be wrong.
type hints struct {
	seq    uint64
	known  map[uint64]struct{}
	oldest []uint64
}

// longest returns the tokens of the longest prefix that is hoped to be cached.
func (h *hints) longest(prefixes []Prefix) int {
	for _, p := range prefixes {
		if _, ok := h.known[p.Hash]; ok {
			return p.Tokens
		}
	}
	return 0
}

func (h *hints) add(prefix uint64, limit int) {
	if _, ok := h.known[prefix]; ok || limit == 0 {
		return
	}
	if h.known == nil {
		h.known = map[uint64]struct{}{}
	}
	for len(h.oldest) >= limit {
		delete(h.known, h.oldest[0])
		h.oldest = h.oldest[1:]
	}
	h.known[prefix] = struct{}{}
	h.oldest = append(h.oldest, prefix)
}

// cacheEvent takes an event. A gap may hide removals, so it forgets the older
// half of what was hoped for.
func (r *Router) cacheEvent(ev CacheEvent) {
	s, ok := r.servers[ev.Server]
	if !ok || ev.Seq <= s.hints.seq {
		return
	}
	h := &s.hints
	if h.seq > 0 && ev.Seq != h.seq+1 {
		r.stats.HintGaps++
		h.forgetOlderHalf()
	}
	h.seq = ev.Seq
	if ev.Added {
		h.add(ev.Prefix, r.cfg.HintsPerServer)
		return
	}
	delete(h.known, ev.Prefix)
}

func (h *hints) forgetOlderHalf() {
	half := len(h.oldest) / 2
	for _, prefix := range h.oldest[:half] {
		delete(h.known, prefix)
	}
	h.oldest = h.oldest[half:]
}

// judgeHint learns from a prefill that was hoped to be short: whether it was,
// and if not, how long a whole one takes. It reports whether the prefill was
// whole.
func (r *Router) judgeHint(f *flight, perToken time.Duration) bool {
	if f.lead.seen.prefill == 0 && r.kinds[f.lead.kind()].prefill == 0 {
		return true
	}
	hoped := float64(f.hinted) / float64(f.req.PromptTokens)
	halfway := (1 - hoped/2) * float64(r.prefillTimeOf(f.lead))
	if float64(perToken) < halfway {
		r.trust += trustWeight * (1 - r.trust)
		return false
	}
	r.trust -= trustWeight * r.trust
	return true
}

// believed is the share of a hoped-for prefill that is counted on: none below
// what luck alone would prove true.
func (r *Router) believed() float64 {
	return max(0, r.trust-luckTrust) / (1 - luckTrust)
}
