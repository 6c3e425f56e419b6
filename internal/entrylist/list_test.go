package entrylist

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
)

func TestLeavingEntryIsUnlistedAtOnceAndStopsAfterGrantsExpire(t *testing.T) {
	l, err := New(DefaultConfig(ident.Instance{VM: "a", Incarnation: 1}, "127.0.0.1:1", "d1"))
	require.NoError(t, err)
	answer := l.IssueAddresses(10*time.Second, "clubs")
	require.Len(t, answer.Addresses, 1)
	require.Equal(t, "ck1.a.1.10.", answer.KeyPrefix)
	l.Step(11*time.Second, Opened{})
	require.Equal(t, []Action{AnnounceLeaving{}}, l.Step(12*time.Second, Drain{}))
	require.Empty(t, l.IssueAddresses(13*time.Second, "clubs").Addresses)
	require.Empty(t, l.Step(40*time.Second, Tick{}))
	require.Equal(t, []Action{CloseListener{}}, l.Step(42*time.Second, Tick{}))
	require.Equal(t, []Action{Stop{}}, l.Step(50*time.Second, Closed{}))
}

func TestValidateReportsInvalidFields(t *testing.T) {
	err := Config{RetryEvery: -1}.Validate()
	require.ErrorContains(t, err, "Self.VM")
	require.ErrorContains(t, err, "RetryEvery")
}
