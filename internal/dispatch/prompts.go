package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
)

// RecordPromptRead records that all servers of a choice have read the prompt of r. Without
// prompts to record it does nothing.
func (c *Core) RecordPromptRead(now time.Duration, r *Request, ch *Choice) {
	if len(r.Prompt) == 0 || ch.IsPeer() {
		return
	}
	for _, stage := range ch.Stages {
		s := c.Backends.Get(stage.Instance.ID)
		if s != nil && s.Instance() == stage.Instance && s.Held.Contains(stage.Layers) {
			c.Prompts.Record(now, stage.Instance, stage.Layers, r.Prompt)
		}
	}
}

// lookUpPrompt sets what the candidates still hold of the prompt of r, and reports whether one
// holds any. Only new paths count it: streams that move off a lost server are spread by the
// servers' capacity alone.
func (c *Core) lookUpPrompt(now time.Duration, r *Request, candidates []paths.Candidate) bool {
	if len(r.Prompt) == 0 || c.Prompts.Len() == 0 {
		return false
	}
	found := false
	spec := r.Service.Engine
	for i := range candidates {
		candidate := &candidates[i]
		info := prefixcache.Server{Instance: candidate.Instance, Layers: candidate.Held,
			FreeKV: spec.KVCapacity(candidate.Accelerator, candidate.Held.Len()) - candidate.TokenLayers}
		candidate.HeldPrompt = c.Prompts.Lookup(now, info, c.vmCount, r.Prompt)
		found = found || len(candidate.HeldPrompt) > 0
	}
	return found
}
