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
	"github.com/catkinstair/catkinstair/internal/poison"
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

// Findings that arrive one after the other at an aggregator stay within their budget. Passing
// each of them on at once, with all loads and all evidence, filled the link of a small VM
// (4.7 MB/s of 2.5) until it could not read the store for seconds.
func TestFindingsStayWithinTheirBudget(t *testing.T) {
	const members, perSecond, seconds = 24, 200, 5
	cfg := dispatch.DefaultConfig()
	cfg.VM, cfg.Domain = "vm00", "d0"
	aggregator := dispatch.New(cfg)
	var vms []loads.Member
	for i := range members {
		vms = append(vms, loads.Member{VM: fmt.Sprintf("vm%02d", i), Domain: "d0"})
	}
	aggregator.Loads.SetMembers(vms)
	sent, messages, delayed := 0, 0, 0
	for i := range perSecond * seconds {
		now := time.Duration(i) * time.Second / perSecond
		run := poison.CutRun{Server: uint32(i), SentAt: now - time.Millisecond, EndedAt: now}
		run.Request, run.Prompt = poison.Part(fmt.Sprint("request", i)), poison.NewPrompt([]string{fmt.Sprint("shared", i%7), fmt.Sprint("own", i)})
		aggregator.Poison.RecordCrash(now, run)
		if delay, allowed := aggregator.Loads.FindingsDelay(now); !allowed || delay > 0 {
			delayed++
			continue
		}
		bytes := 0
		for _, s := range aggregator.TickFindings(now) {
			body, err := cbor.Marshal(s.Message)
			require.NoError(t, err)
			bytes += len(body)
			messages++
		}
		aggregator.Loads.FindingsSent(now, bytes)
		sent += bytes
	}
	t.Logf("%d messages, %d bytes/s, %d of %d findings waited", messages, sent/seconds, delayed, perSecond*seconds)
	budget := cfg.Loads.FindingBytesPerSecond * (seconds + 1) // the first second's worth is there at the start
	require.LessOrEqual(t, float64(sent), budget*1.05)
	require.Positive(t, messages)

	now := (seconds + 2) * time.Second
	delay, allowed := aggregator.Loads.FindingsDelay(now)
	require.True(t, allowed, "a finding after a quiet second goes at once")
	require.Zero(t, delay)
}

// Evidence is in the first message after it was learned and no longer in the next one; the
// regular messages repeat it.
func TestFindingsCarryNewEvidenceOnly(t *testing.T) {
	cfg := dispatch.DefaultConfig()
	cfg.VM, cfg.Domain = "vm0", "d0"
	core := dispatch.New(cfg)
	core.Loads.SetMembers([]loads.Member{{VM: "vm0", Domain: "d0"}, {VM: "vm1", Domain: "d0"}})
	core.Poison.RecordCrash(time.Second, poison.CutRun{Server: 1, Subject: poison.Subject{Request: "r"}, SentAt: time.Second, EndedAt: time.Second})
	first, second := core.TickFindings(time.Second+1), core.TickFindings(time.Second+2)
	require.Len(t, first[0].Message.Poison.Runs, 1)
	require.Nil(t, second[0].Message.Poison)
	require.Empty(t, first[0].Message.Loads)
	require.Len(t, core.Tick(time.Second + 3)[0].Message.Poison.Runs, 1)
}
