package stream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// TestTraces replays the event sequences under testdata/ and compares the actions with
// the recorded ones.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/trace", func(t *testing.T, path string) {
		cfg := DefaultConfig()
		var table *Table
		var now time.Duration
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "config" {
				cfg = traceConfig(t, d)
				table = nil
				return ""
			}
			if table == nil {
				var err error
				table, err = New(cfg)
				require.NoError(t, err)
			}
			if d.HasArg("at") {
				now = millis(t, d, "at")
			}
			if d.Cmd == "stats" {
				return fmt.Sprintf("%+v", table.Stats())
			}
			return render(table.Step(now, traceEvent(t, d)))
		})
	})
}

func traceConfig(t *testing.T, d *datadriven.TestData) Config {
	cfg := DefaultConfig()
	d.MaybeScanArgs(t, "checkpoint-every", &cfg.CheckpointEvery)
	d.MaybeScanArgs(t, "keep", &cfg.KeepBytesPerStream)
	d.MaybeScanArgs(t, "full-retries", &cfg.FullRetries)
	var methods string
	if d.MaybeScanArgs(t, "resume", &methods) {
		cfg.Resume = nil
		for _, method := range strings.Split(methods, "+") {
			cfg.Resume = append(cfg.Resume, ResumeMethod(method))
		}
	}
	return cfg
}

func millis(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var ms int
	d.MaybeScanArgs(t, key, &ms)
	return time.Duration(ms) * time.Millisecond
}

func traceEvent(t *testing.T, d *datadriven.TestData) Event {
	var stream, data, server string
	var attempt, token, from, to, stage, position int
	d.MaybeScanArgs(t, "stream", &stream)
	d.MaybeScanArgs(t, "data", &data)
	d.MaybeScanArgs(t, "server", &server)
	d.MaybeScanArgs(t, "attempt", &attempt)
	d.MaybeScanArgs(t, "token", &token)
	d.MaybeScanArgs(t, "stage", &stage)
	d.MaybeScanArgs(t, "position", &position)
	if d.HasArg("layers") {
		d.ScanArgs(t, "layers", &from, &to)
	}
	serverID := ident.BackendServer(server)
	attemptNumber := uint32(attempt)
	switch d.Cmd {
	case "open":
		return traceOpen(t, d, stream)
	case "done":
		return StepDone{Stream: stream, Server: serverID, Attempt: attemptNumber, Token: token, From: from, To: to, Data: data, EOS: d.HasArg("eos")}
	case "replacement":
		return Replacement{Stream: stream, Stage: stage, Server: serverID}
	case "exported":
		return ExportDone{Stream: stream, Stage: stage, Attempt: attemptNumber, Position: position, Blob: data}
	case "export-failed":
		return ExportFailed{Stream: stream, Stage: stage, Attempt: attemptNumber}
	case "imported":
		return ImportDone{Stream: stream, Stage: stage, Attempt: attemptNumber}
	case "import-failed":
		return ImportFailed{Stream: stream, Stage: stage, Attempt: attemptNumber}
	case "cancel":
		return Cancel{Request: stream}
	case "tick":
		return Tick{}
	default: // a failure kind
		return StepFailed{Stream: stream, Server: serverID, Attempt: attemptNumber, Token: token, From: from, To: to, Kind: FailureKind(d.Cmd), Position: position}
	}
}

// traceOpen returns the Open event for a pipeline of two servers, a and b, with four
// layers each.
func traceOpen(t *testing.T, d *datadriven.TestData, request string) Event {
	ev := Open{Request: request, Prompt: "P", Layers: 8, Deadline: millis(t, d, "deadline")}
	ev.Pipeline = []Stage{{0, 4, "a"}, {4, 8, "b"}}
	d.ScanArgs(t, "tokens", &ev.MaxTokens)
	d.MaybeScanArgs(t, "layers-total", &ev.Layers)
	return ev
}

func render(actions []Action) string {
	var b strings.Builder
	for _, a := range actions {
		name := strings.TrimPrefix(fmt.Sprintf("%T", a), "stream.")
		switch a := a.(type) {
		case SendStep:
			fmt.Fprintf(&b, "%s %s#%d token %d layers [%d,%d) to %s data %q", name, a.Stream, a.Attempt, a.Token, a.From, a.To, a.Server, a.Data)
			if a.NewConnection {
				b.WriteString(" on a new connection")
			}
			b.WriteString("\n")
		case Cut:
			fmt.Fprintf(&b, "%s %s %s\n", name, a.Request, a.Refusal.Error())
		default:
			fmt.Fprintf(&b, "%s %+v\n", name, a)
		}
	}
	return b.String()
}
