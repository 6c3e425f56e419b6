package routing

import "time"

// initialHintTrust is the trust in hints before the first one is evaluated.
const initialHintTrust = 0.5

// chanceTrust is the share of hints that may be right by chance.
const chanceTrust = 0.25

// hintTrustWeight is the weight of a newly evaluated hint in the moving average.
const hintTrustWeight = 0.05

// hints holds the prefixes that one server probably has cached according to its cache
// events, which may be late or lost.
type hints struct {
	lastSeq        uint64
	cached         map[uint64]struct{}
	insertionOrder []uint64
}

// longestMatch returns the length in tokens of the longest prefix that is probably
// cached. The prefixes are ordered from the longest.
func (h *hints) longestMatch(prefixes []Prefix) int {
	for _, p := range prefixes {
		if _, ok := h.cached[p.Hash]; ok {
			return p.Tokens
		}
	}
	return 0
}

func (h *hints) add(prefix uint64, limit int) {
	if _, ok := h.cached[prefix]; ok || limit == 0 {
		return
	}
	if h.cached == nil {
		h.cached = map[uint64]struct{}{}
	}
	for len(h.insertionOrder) >= limit {
		delete(h.cached, h.insertionOrder[0])
		h.insertionOrder = h.insertionOrder[1:]
	}
	h.cached[prefix] = struct{}{}
	h.insertionOrder = append(h.insertionOrder, prefix)
}

// cacheEvent applies an event. A gap may hide removals, so it drops the older half of
// the hints.
func (r *Router) cacheEvent(ev CacheEvent) {
	s, ok := r.servers[ev.Server]
	if !ok || ev.Seq <= s.hints.lastSeq {
		return
	}
	h := &s.hints
	if h.lastSeq > 0 && ev.Seq != h.lastSeq+1 {
		r.stats.HintGaps++
		h.dropOlderHalf()
	}
	h.lastSeq = ev.Seq
	if ev.Added {
		h.add(ev.Prefix, r.cfg.HintsPerServer)
		return
	}
	delete(h.cached, ev.Prefix)
}

func (h *hints) dropOlderHalf() {
	half := len(h.insertionOrder) / 2
	for _, prefix := range h.insertionOrder[:half] {
		delete(h.cached, prefix)
	}
	h.insertionOrder = h.insertionOrder[half:]
}

// evaluateHint compares the prefill time of a hinted request with the expected one and
// updates the trust in hints. It reports whether the time may enter the averages: not if
// the cache shortened the prefill.
func (r *Router) evaluateHint(picked *pickedRequest, perToken time.Duration) bool {
	if picked.firstStage.observed.prefill == 0 && r.byAccelerator[picked.firstStage.acceleratorKey()].prefill == 0 {
		return true
	}
	hintedShare := float64(picked.hintedTokens) / float64(picked.req.PromptTokens)
	threshold := (1 - hintedShare/2) * float64(r.expectedPrefillTime(picked.firstStage))
	if float64(perToken) < threshold {
		r.hintTrust += hintTrustWeight * (1 - r.hintTrust)
		return false
	}
	r.hintTrust -= hintTrustWeight * r.hintTrust
	return true
}

// hintConfidence returns the share of a hinted saving that cost estimates use: 0 at or
// below chanceTrust, 1 at full trust.
func (r *Router) hintConfidence() float64 {
	return max(0, r.hintTrust-chanceTrust) / (1 - chanceTrust)
}
