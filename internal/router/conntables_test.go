package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/connbudget"
)

// Guards against a limit of the settings that is not read.
func TestLimitsOfConnectionsFollowTheSettings(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	require.Equal(t, connbudget.Split(0, 0, callerConnBytes), v.connLimits)
	s.configure(7)
	v.awaitReady(t)
	require.Equal(t, v.core.Table().Config().IdleTimeout, v.idleTimeout(connbudget.Callers))
	require.Equal(t, defaultIdleTimeout, v.idleTimeout(connbudget.Peers))
}
