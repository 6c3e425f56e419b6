package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/loads"
)

const (
	// targetVMs, targetServers and targetBytes are the users' target size (letter 1):
	// VMs, backend servers, and bytes a second for control on each VM.
	targetVMs     = 330
	targetServers = 600
	targetBytes   = 10_000
)

// What a member of a failure domain receives at the target size: one sum of all work
// an interval.
func TestLoadsOfTheTargetSizeFitAMembersShare(t *testing.T) {
	var members []loads.Member
	for i := range targetVMs {
		members = append(members, loads.Member{VM: fmt.Sprintf("vm%03d", i), Domain: fmt.Sprint("d", i%7)})
	}
	head := loads.New(loads.DefaultConfig(), members[0], 1)
	head.SetMembers(members)
	own := map[loads.Key]loads.Load{}
	for i := range targetServers {
		key := dispatch.LoadKey(backend.Instance{ID: backend.ID(fmt.Sprint("i-", i)), StartedMs: 1})
		own[key] = loads.Load{Streams: 150, FirstStage: float64(i % 10 / 9 * 150), TokenLayers: 1.5e6}
	}
	sends := head.Tick(0, own)
	for _, s := range sends {
		if s.Message.Scope == loads.ScopeAll {
			body, err := cbor.Marshal(s.Message)
			require.NoError(t, err)
			perSecond := float64(len(body)) / head.Interval().Seconds()
			require.Less(t, perSecond, float64(targetBytes), "%d bytes each %v", len(body), head.Interval().Round(time.Millisecond))
			return
		}
	}
	require.Fail(t, "no sum of all")
}
