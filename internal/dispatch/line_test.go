package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
)

func TestLineIsFirstComeFirstServedAndBounded(t *testing.T) {
	l := dispatch.NewWaitQueue(dispatch.WaitQueueConfig{MaxWaiting: 3})
	a, b, c := l.Join(), l.Join(), l.Join()
	require.Nil(t, l.Join(), "a full line takes nobody")
	require.True(t, l.IsHead(a))
	l.Leave(b) // gave up
	require.Empty(t, c.AtHead)
	l.Leave(a)
	require.Len(t, c.AtHead, 1, "the next one is told")
	require.True(t, l.IsHead(c))
	l.Leave(a) // twice changes nothing
	require.NotNil(t, l.Join())
	l.Leave(c)
	require.False(t, l.IsHead(c))
}
