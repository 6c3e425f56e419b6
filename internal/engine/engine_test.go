package engine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/engine"
)

func TestLoadsThatRunTogetherTakeLonger(t *testing.T) {
	s := engine.Spec{Layers: 80, FullLoadTime: 8 * time.Second, MaxConcurrentLoads: 6}
	require.Equal(t, time.Second, s.LoadTime(10, 1))
	require.Equal(t, time.Second, s.LoadTime(10, 6))
	require.Equal(t, 2*time.Second, s.LoadTime(10, 12))
	require.Equal(t, 3*time.Second, s.LoadTime(10, 200))
	s.MaxConcurrentLoads = 0
	require.Equal(t, time.Second, s.LoadTime(10, 12))
}
