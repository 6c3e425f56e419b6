package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
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

// heldPrompt returns what the candidates still hold of the prompt of r; nil if none holds any.
// Only new paths count it: streams that move off a lost server are spread by the servers'
// capacity alone.
func (c *Core) heldPrompt(now time.Duration, r *Request, candidates []paths.Candidate) map[backend.ID][]prefixcache.Held {
	if len(r.Prompt) == 0 || c.Prompts.Len() == 0 {
		return nil
	}
	var out map[backend.ID][]prefixcache.Held
	for i := range candidates {
		candidate := &candidates[i]
		held := c.Prompts.Lookup(now, prefixcache.Server{Instance: candidate.Instance, Layers: candidate.Held,
			FreeKV: r.Service.Engine.KVCapacity(candidate.Accelerator, candidate.Held.Len()) - candidate.TokenLayers}, r.Prompt)
		if len(held) == 0 {
			continue
		}
		if out == nil {
			out = map[backend.ID][]prefixcache.Held{}
		}
		out[candidate.Instance.ID] = held
	}
	return out
}
