package router

import (
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
	"github.com/catkinstair/catkinstair/platform"
)

// setPrompt sets the parts of the prompt that servers may still hold, if that is enabled.
func (x *exchange) setPrompt(model string) {
	if x.r.cfg.Dispatch.Prompts.Retention <= 0 {
		return
	}
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	x.req.Prompt = prefixcache.NewPrompt(model, team, platform.ParsePromptTokens(string(x.ctx.Request.Header.Peek(platform.HeaderPromptParts))))
}

// recordPromptRead records that the servers of a choice have read the prompt: they do so
// before their first event.
func (x *exchange) recordPromptRead(ch *dispatch.Choice) {
	if len(x.req.Prompt) == 0 {
		return
	}
	x.r.locked(func() { x.r.core.RecordPromptRead(x.r.clock.now(), &x.req, ch) })
}

// countHeldPrompt counts a choice that was found while a server was expected to hold a part of
// the prompt.
func (m *routerMetrics) countHeldPrompt(ch *dispatch.Choice) {
	if !ch.HolderKnown {
		return
	}
	m.promptHolderKnown.Inc()
	if ch.HeldTokens > 0 {
		m.promptHolderChosen.Inc()
		m.promptTokensHeld.Add(int(ch.HeldTokens))
	}
}
