package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
)

func TestLineIsFirstComeFirstServedAndBounded(t *testing.T) {
	l := dispatch.NewLine(dispatch.LineConfig{Most: 3})
	a, b, c := l.Join(), l.Join(), l.Join()
	require.Nil(t, l.Join(), "a full line takes nobody")
	require.True(t, l.IsFirst(a))
	l.Leave(b) // gave up
	require.Empty(t, c.First)
	l.Leave(a)
	require.Len(t, c.First, 1, "the next one is told")
	require.True(t, l.IsFirst(c))
	l.Leave(a) // twice changes nothing
	require.NotNil(t, l.Join())
	l.Leave(c)
	require.False(t, l.IsFirst(c))
}
