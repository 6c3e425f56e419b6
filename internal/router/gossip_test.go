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
	// targetVMs, targetServers and targetBytesPerSecond are the users' target size: VMs,
	// backend servers, and bytes per second for control messages on each VM.
	targetVMs            = 330
	targetServers        = 600
	targetBytesPerSecond = 10_000
)

// At the target size, a member of a failure domain receives one message with the sum of all
// loads per interval, which has to fit the bandwidth for control messages.
func TestLoadsFitBandwidthAtTargetSize(t *testing.T) {
	var members []loads.Member
	for i := range targetVMs {
		members = append(members, loads.Member{VM: fmt.Sprintf("vm%03d", i), Domain: fmt.Sprint("d", i%7)})
	}
	aggregator := loads.New(loads.DefaultConfig(), members[0], 1)
	aggregator.SetMembers(members)
	own := map[loads.Key]loads.Load{}
	for i := range targetServers {
		key := dispatch.LoadKey(backend.Instance{ID: backend.ID(fmt.Sprint("i-", i)), StartedMs: 1})
		own[key] = loads.Load{Streams: 150, FirstStage: float64(i % 10 / 9 * 150), TokenLayers: 1.5e6}
	}
	sends := aggregator.Tick(0, own)
	for _, s := range sends {
		if s.Message.Scope == loads.ScopeAll {
			body, err := cbor.Marshal(s.Message)
			require.NoError(t, err)
			perSecond := float64(len(body)) / aggregator.Interval().Seconds()
			require.Less(t, perSecond, float64(targetBytesPerSecond), "%d bytes every %v", len(body), aggregator.Interval().Round(time.Millisecond))
			return
		}
	}
	require.Fail(t, "no message with the sum of all loads")
}
