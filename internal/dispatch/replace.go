package dispatch

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/paths"
)

// Replace returns a copy of ch in which other servers run the layers of the stage at
// lostAddr; the other stages stay and keep their KV caches. Stages that an engine would
// refuse in the new path are replaced as well: a lost server is often one of several, and
// an order that still names one of them fails. It returns nil if no servers can take the
// layers, or if lostAddr is the first stage or not on the path. The load of the new choice
// is added; that of ch stays until it is released.
func (c *Core) Replace(now time.Duration, r *Request, ch *Choice, lostAddr string) *Choice {
	found := false
	for _, stage := range ch.Stages[1:] {
		found = found || stage.Addr == lostAddr
	}
	if !found {
		return nil
	}
	candidates := c.candidatesOffPath(now, r, ch)
	stages := []paths.Stage{ch.Stages[0]}
	for i := 1; i < len(ch.Stages); {
		if ch.Stages[i].Addr != lostAddr && c.keepsStage(now, r, ch.Stages[i]) {
			stages = append(stages, ch.Stages[i])
			i++
			continue
		}
		end := i + 1
		for end < len(ch.Stages) && (ch.Stages[end].Addr == lostAddr || !c.keepsStage(now, r, ch.Stages[end])) {
			end++
		}
		q := paths.Request{PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens, Layers: backend.Layers{From: ch.Stages[i].Layers.From, To: ch.Stages[end-1].Layers.To},
			Domain: c.domainOf(stages[len(stages)-1]), MaxUtilization: c.maxKVShare(), LinkUtilization: c.linkUtilization(now, r)}
		if end < len(ch.Stages) {
			q.NextDomain = c.domainOf(ch.Stages[end])
		}
		replacement, ok := paths.Find(c.cfg.Paths, r.Service.Engine, c.drawMove(now, r, ch.Stages[i:end], candidates), q)
		if !ok {
			replacement, ok = paths.Find(c.cfg.Paths, r.Service.Engine, candidates, q)
		}
		if !ok {
			return nil
		}
		stages = append(stages, replacement.Stages...)
		if c.dividesMoves(r) {
			// The draws of two parts of a path may name the same server.
			candidates = withoutServers(candidates, replacement.Stages)
		}
		i = end
	}
	if len(stages) > paths.MaxStages || repeatsServer(stages) {
		return nil
	}
	out := &Choice{Stages: stages, FirstToken: ch.FirstToken, tokens: ch.tokens}
	c.addWork(now, out)
	return out
}

// keepsStage reports whether the server of a stage can go on running it in a changed path.
func (c *Core) keepsStage(now time.Duration, r *Request, stage paths.Stage) bool {
	s := c.Backends.Get(stage.Instance.ID)
	return s != nil && s.Instance() == stage.Instance && s.State == backend.Ready && !s.Suspect(now) && !r.Avoid[s.ID] && s.Held.Contains(stage.Layers)
}

// candidatesOffPath returns the candidates that are not on the path of ch.
func (c *Core) candidatesOffPath(now time.Duration, r *Request, ch *Choice) []paths.Candidate {
	return withoutServers(c.candidates(now, r), ch.Stages)
}

// withoutServers returns the candidates that are not among the servers of the given stages.
func withoutServers(candidates []paths.Candidate, stages []paths.Stage) []paths.Candidate {
	out := candidates[:0:0]
	for _, candidate := range candidates {
		if !slices.ContainsFunc(stages, func(s paths.Stage) bool { return s.Instance.ID == candidate.Instance.ID }) {
			out = append(out, candidate)
		}
	}
	return out
}

// repeatsServer reports whether a server occurs twice, which engines refuse. Two replaced
// parts of a path may have got the same server.
func repeatsServer(stages []paths.Stage) bool {
	seen := make(map[backend.ID]bool, len(stages))
	for _, stage := range stages {
		if seen[stage.Instance.ID] {
			return true
		}
		seen[stage.Instance.ID] = true
	}
	return false
}
