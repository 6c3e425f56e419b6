package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
)

func TestWaitQueueIsFIFOAndBounded(t *testing.T) {
	q := dispatch.NewWaitQueue(dispatch.WaitQueueConfig{MaxWaiting: 3})
	a, b, c := q.Join(), q.Join(), q.Join()
	require.Nil(t, q.Join(), "queue is full")
	require.True(t, q.IsHead(a))
	q.Leave(b) // times out
	require.Empty(t, c.AtHead)
	q.Leave(a)
	require.Len(t, c.AtHead, 1, "new head is signalled")
	require.True(t, q.IsHead(c))
	q.Leave(a) // a second Leave has no effect
	require.NotNil(t, q.Join())
	q.Leave(c)
	require.False(t, q.IsHead(c))
}
