package process

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/settings"
)

func newProcess(t *testing.T, cfg Config) *Process {
	t.Helper()
	cfg.Name = "test"
	p, err := New(cfg, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(func() {
		p.Cancel()
		p.Close()
	})
	return p
}

func TestFullInboxAndPoolReturnFalse(t *testing.T) {
	p := newProcess(t, Config{InboxSize: 1, Workers: 1})
	require.True(t, p.TrySend("first"))
	require.False(t, p.TrySend("second"))
	require.Equal(t, 1, p.PendingEvents())

	release := make(chan struct{})
	require.True(t, p.Submit(func() { <-release }))
	require.False(t, p.Submit(func() {}))
	close(release)
}

func TestSendReturnsAfterCancel(t *testing.T) {
	p := newProcess(t, Config{InboxSize: 1, Workers: 1})
	p.Send("fills the queue")
	p.Cancel()
	p.Send("is dropped")
	require.Equal(t, 1, p.PendingEvents())
}

func TestStartTraceReportsOpenError(t *testing.T) {
	p := newProcess(t, Config{InboxSize: 1, Workers: 1, Trace: filepath.Join(t.TempDir(), "none", "trace")})
	require.ErrorContains(t, p.StartTrace(struct{}{}), "open the trace")
	Record(p, time.Second, "event", []string{"action"})
}

func TestIdentityReportsEveryProblem(t *testing.T) {
	var id Identity
	cmd := Command("test", "test", func(set *settings.Set) { id.Declare(set) }, func(*cobra.Command) error { return nil })
	cmd.SetArgs([]string{"--log-level=loud"})
	err := cmd.Execute()
	for _, want := range []string{"--vm", "--failure-domain", "--region", "--log-level", "loud"} {
		require.ErrorContains(t, err, want)
	}
}

func TestDefaultIncarnationNeverDecreases(t *testing.T) {
	var id Identity
	first := id.Instance()
	require.Positive(t, first.Incarnation)
	require.GreaterOrEqual(t, id.Instance().Incarnation, first.Incarnation)
}
