package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (v *vm) requireServed(t *testing.T, id, parts string) {
	t.Helper()
	status, _ := v.callWithPrompt(t, id, parts)
	require.Equal(t, 200, status)
}

func (v *vm) recordedParts() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.core.Prompts.Len()
}

// Guards against prompts that are not recorded for --prompt-retention, or recorded without.
func TestPromptRetention(t *testing.T) {
	s := newSite(t)
	off := s.vm("a1")
	on := s.vmWith("a2", func(cfg *Config) { cfg.Dispatch.Prompts.Retention = time.Minute })
	s.configure(7)
	s.engines(on, 5, time.Millisecond)
	off.awaitReady(t)
	on.awaitReady(t)
	off.requireServed(t, "off", "rules:700,own:100")
	require.Zero(t, off.recordedParts())

	on.requireServed(t, "first", "rules:700,own:100")
	require.Positive(t, on.recordedParts())
	chosen, held := on.metrics.promptHolderChosen.Get(), on.metrics.promptTokensHeld.Get()
	const requests = 10 // while loads are unknown, each request leaves out some servers at random
	for i := range requests {
		on.requireServed(t, fmt.Sprint("later", i), fmt.Sprintf("rules:700,other%d:100", i))
	}
	require.Greater(t, on.metrics.promptHolderChosen.Get(), chosen)
	saved := on.metrics.promptTokensHeld.Get() - held
	require.Positive(t, saved)
	require.LessOrEqual(t, saved, 700*(on.metrics.promptHolderChosen.Get()-chosen))
}
