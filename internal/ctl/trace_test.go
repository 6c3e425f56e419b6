package ctl

import (
	"compress/gzip"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/entrylist"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/replay"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/trace"
)

// TestRecordedTraces replays traces that real processes recorded during injected
// failures (testdata/record.sh) and compares the outcomes with testdata/replay.
func TestRecordedTraces(t *testing.T) {
	datadriven.RunTest(t, "testdata/replay", func(t *testing.T, d *datadriven.TestData) string {
		var file string
		d.ScanArgs(t, "file", &file)
		var observed observedOutcomes
		replayRecorded(t, file, observed.observe)
		return observed.String()
	})
}

func replayRecorded(t *testing.T, file string, observe func(time.Duration, any, []any)) {
	in, err := os.Open(filepath.Join("testdata", "traces", file+".jsonl.gz"))
	require.NoError(t, err)
	defer in.Close()
	unzipped, err := gzip.NewReader(in)
	require.NoError(t, err)
	reader, err := trace.NewReader(unzipped)
	require.NoError(t, err)
	registry, core, _, err := replay.Rebuild(reader.Header)
	require.NoError(t, err)
	_, err = trace.Replay(reader, registry, core, observe)
	require.NoError(t, err)
}

// observedOutcomes lists what callers, operators and replicas observed, in order.
type observedOutcomes struct {
	lines []string
	// keySuffixes holds the part of each request's idempotency key after its last dot.
	keySuffixes map[call.RequestID]string
	tokens      int
}

func (o *observedOutcomes) String() string { return strings.Join(o.lines, "\n") + "\n" }

func (o *observedOutcomes) add(format string, args ...any) {
	o.lines = append(o.lines, fmt.Sprintf(format, args...))
}

func (o *observedOutcomes) observe(_ time.Duration, event any, actions []any) {
	if request, ok := event.(call.Request); ok {
		if o.keySuffixes == nil {
			o.keySuffixes = map[call.RequestID]string{}
		}
		o.keySuffixes[request.ID] = request.Key[strings.LastIndexByte(request.Key, '.')+1:]
	}
	for _, action := range actions {
		o.addAction(action)
	}
}

func (o *observedOutcomes) addAction(action any) {
	switch a := action.(type) {
	case call.Send:
		o.add("%s: sent, try %d", o.keySuffixes[a.ID], a.Try)
	case call.ForwardHome:
		o.add("%s: forwarded", o.keySuffixes[a.ID])
	case call.Answer:
		o.add("%s: answered %d, stored %v", o.keySuffixes[a.ID], a.Status, a.Stored)
	case call.Refuse:
		o.add("%s: %s %s", o.keySuffixes[a.ID], a.Refusal.Verdict, a.Refusal.Cause)
	case node.ApplyEnded:
		o.add("sheet: %s, version %d, %d faults", a.Outcome.Kind, a.Outcome.Version, len(a.Outcome.Faults))
	case node.AddressesAnswered:
		o.addAddresses(a)
	case stream.EmitToken:
		o.tokens++
	case stream.Finish:
		o.add("stream: finished after %d tokens", o.tokens)
	case stream.Cut:
		o.add("stream: cut after %d tokens", o.tokens)
	case entrylist.AnnounceLeaving, entrylist.CloseListener, entrylist.Stop:
		o.add("%T", a)
	case node.SnapshotAnswered:
		o.addSnapshot(a)
	}
}

func (o *observedOutcomes) addAddresses(a node.AddressesAnswered) {
	listsSelf := slices.ContainsFunc(a.List.Addresses, func(x entrylist.Address) bool { return x.VM == "bergen-a-1" })
	o.add("addresses: names itself %v", listsSelf)
}

// addSnapshot adds the configuration version that the entry process received.
func (o *observedOutcomes) addSnapshot(a node.SnapshotAnswered) {
	if a.Reply.Config != nil {
		o.add("in force: version %d", a.Reply.Config.Version)
	}
}
