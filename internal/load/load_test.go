package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/report"
	"github.com/catkinstair/catkinstair/internal/standin"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

// longTimeout is longer than any scheduling stall on a busy host.
const longTimeout = 15 * time.Second

// fakeEntry answers like an entry and can inject incorrect answers.
type fakeEntry struct {
	addr      string
	appAddr   string
	appClient *app.HTTP
	// refusalVerdict, if not empty, is the verdict of the refusals that completions and
	// reservations get. With runRefused, refused reservations are executed nevertheless.
	refusalVerdict string
	runRefused     bool
	// executeTwice executes service calls twice, skipExecution not at all.
	executeTwice, skipExecution bool
	// alterText changes the text of a completion.
	alterText func(text string) string
	// cutStreams ends streams in the middle: "event" with an error event, "close"
	// without one.
	cutStreams string
}

// startFakeEntry starts e with a stand-in application and returns the address of the
// stand-ins' fault control.
func startFakeEntry(t *testing.T, e *fakeEntry) (control string) {
	t.Helper()
	standIns, err := standin.Start(standin.Topology{
		Control:        "127.0.0.1:0",
		FailureDomains: []string{"stord"},
		Apps:           []standin.AppSpec{{Service: "ordrebok", Replicas: 1, IP: "127.0.0.1", Capacity: 100}},
	})
	require.NoError(t, err)
	t.Cleanup(standIns.Close)
	e.appAddr = standIns.Servers()[0].Addr
	client := httpcall.NewDefault()
	t.Cleanup(client.Close)
	e.appClient = app.NewHTTP(client)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.addr = l.Addr().String()
	server := &fasthttp.Server{Handler: e.serve}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return standIns.Addresses().Control
}

func (e *fakeEntry) serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/addresses":
		fmt.Fprintf(ctx, `{"addresses":[{"vm":"a","addr":%q}],"lifetime_ms":60000,"key_prefix":"ck1.a.1.1."}`, e.addr)
	case path == "/v1/completions":
		e.serveCompletion(ctx)
	default:
		e.serveService(ctx, strings.TrimPrefix(path, "/services/ordrebok"))
	}
}

func (e *fakeEntry) serveService(ctx *fasthttp.RequestCtx, path string) {
	call := app.Request{
		Method: string(ctx.Method()), Path: path, Body: ctx.PostBody(),
		Key: string(ctx.Request.Header.Peek(headerKey)),
	}
	times := 1
	switch {
	case e.executeTwice:
		times = 2
	case e.skipExecution, e.refusalVerdict != "" && !e.runRefused:
		times = 0
	}
	for range times {
		if _, err := e.appClient.Do(e.appAddr, call, httpcall.Within(longTimeout)); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			return
		}
	}
	if e.refusalVerdict != "" && !ctx.IsGet() {
		e.writeRefusal(ctx)
		return
	}
	ctx.SetBody(standin.AppResponse(call.Method, path, call.Body))
}

func (e *fakeEntry) writeRefusal(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(503)
	ctx.Response.Header.Set(headerVerdict, e.refusalVerdict)
	ctx.Response.Header.Set(headerCause, "leaving")
}

func (e *fakeEntry) serveCompletion(ctx *fasthttp.RequestCtx) {
	if e.refusalVerdict != "" {
		e.writeRefusal(ctx)
		return
	}
	var in completionRequest
	_ = json.Unmarshal(ctx.PostBody(), &in)
	text, finish := model.ExpectedCompletion(in.Prompt, in.Seed, in.MaxTokens, 24)
	if e.alterText != nil {
		text = e.alterText(text)
	}
	if !in.Stream {
		fmt.Fprintf(ctx, `{"choices":[{"index":0,"text":%q,"finish_reason":%q}]}`, text, finish)
		return
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, text, finish) })
}

func (e *fakeEntry) stream(w *bufio.Writer, text, finish string) {
	tokens := model.Tokenize(text)
	for i, token := range tokens {
		if e.cutStreams != "" && i == len(tokens)/2 {
			if e.cutStreams == "event" {
				fmt.Fprint(w, "event: error\ndata: {\"error\":{\"verdict\":\"may-have-run\",\"cause\":\"backend-server-lost\"}}\n\n")
			}
			return
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", token)
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", finish)
}

// runLoad runs a short load against one fake entry.
func runLoad(t *testing.T, e *fakeEntry, change func(*Config)) report.LoadTest {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Control = startFakeEntry(t, e)
	cfg.Entries = []string{e.addr}
	cfg.Duration, cfg.Warmup = 300*time.Millisecond, 0
	cfg.LedgerDelay = 20 * time.Millisecond
	cfg.RequestTimeout, cfg.MaxAttempts = 500*time.Millisecond, 2
	cfg.CompletionsPerSecond, cfg.ReadsPerSecond, cfg.ReservationsPerSecond = 100, 100, 100
	if change != nil {
		change(&cfg)
	}
	got, err := Run(cfg)
	require.NoError(t, err)
	return got
}

func TestCorrectEntryPassesAllChecks(t *testing.T) {
	// A reservation is unresolved after its caller timed out, even if the entry is
	// correct. The timeout is long so that a busy host doesn't cause that.
	got := runLoad(t, &fakeEntry{}, func(c *Config) { c.RequestTimeout = longTimeout })
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Positive(t, got.Checks.Answers)
	require.Positive(t, got.Checks.Reservations)
	require.Equal(t, got.Requests, got.Attempts)
	require.Zero(t, got.Checks.Unresolved)
	for _, name := range []string{"completion", "read", "reservation", "first_token", "between_tokens"} {
		require.Positive(t, got.LatencyMillis[name].Count, name)
	}
}

func TestRefusalsAndCutStreamsAreNotFaults(t *testing.T) {
	got := runLoad(t, &fakeEntry{refusalVerdict: "not-run"}, nil)
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Positive(t, got.Outcomes["reservation not-run"])
	got = runLoad(t, &fakeEntry{refusalVerdict: "may-have-run", runRefused: true}, nil)
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Positive(t, got.Checks.Unresolved)
	got = runLoad(t, &fakeEntry{cutStreams: "event"}, func(c *Config) { c.StreamShare = 1 })
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Zero(t, got.Outcomes["completion ok"])
	got = runLoad(t, &fakeEntry{cutStreams: "close"}, func(c *Config) { c.StreamShare = 1 })
	require.Zero(t, got.Outcomes["completion ok"])
	require.Positive(t, got.Verdicts[causeNoAnswer])
}

func TestFaultyAnswersAreDetected(t *testing.T) {
	wrong := runLoad(t, &fakeEntry{alterText: func(s string) string { return s[:len(s)-1] + "z" }}, nil)
	require.Positive(t, wrong.Checks.WrongAnswers)
	short := runLoad(t, &fakeEntry{alterText: func(s string) string { return s[:len(s)-6] }}, nil)
	require.Positive(t, short.Checks.Incomplete)
	doubled := runLoad(t, &fakeEntry{executeTwice: true}, nil)
	require.Positive(t, doubled.Checks.Doubled)
	lost := runLoad(t, &fakeEntry{skipExecution: true}, nil)
	require.Positive(t, lost.Checks.Lost)
	falseNotRun := runLoad(t, &fakeEntry{refusalVerdict: "not-run", runRefused: true}, nil)
	require.Positive(t, falseNotRun.Checks.WrongNotRun)
	noLedger := runLoad(t, &fakeEntry{}, func(c *Config) { c.Control = "" })
	require.True(t, noLedger.Checks.LedgerMissing)
	require.Positive(t, noLedger.Checks.Faults())
}

func TestPrefilledCompletionRefusedAsNotRunIsDetected(t *testing.T) {
	l := &outcomeLog{}
	l.addNotRunPrompt("aa")
	l.addNotRunPrompt("bb")
	var checks report.Checks
	l.compare(standin.Ledger{Prefills: map[string]int{"bb": 1}}, &checks)
	require.Equal(t, 1, checks.WrongNotRun)
}

func TestRecoveryTimeIsEndOfThroughputDip(t *testing.T) {
	at, end := 10*time.Second, 20*time.Second
	c := counts{arrivals: make([]int, 200), succeeded: make([]int, 200)}
	for i := range c.arrivals {
		c.arrivals[i], c.succeeded[i] = 100, 100
	}
	noDip := measureRecovery(c, 0, at, end, "calm")
	require.Zero(t, noDip.RecoveryS)
	require.True(t, noDip.Recovered)
	for i := 150; i < 170; i++ {
		c.arrivals[i], c.succeeded[i] = 20, 20
	}
	require.Zero(t, measureRecovery(c, 0, at, end, "fewer arrivals").RecoveryS)
	for i := 100; i < 115; i++ {
		c.succeeded[i] = 0
	}
	dip := measureRecovery(c, 0, at, end, "dip")
	require.InDelta(t, 1.5, dip.RecoveryS, 0.11)
	require.Zero(t, dip.WorstRatio)
	require.InDelta(t, 1000, dip.BeforePerS, 1)
	for i := 100; i < len(c.succeeded); i++ {
		c.succeeded[i] = 0
	}
	require.False(t, measureRecovery(c, 0, at, end, "gone").Recovered)
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	err := Config{}.Validate()
	for _, field := range []string{"Entries", "Teams", "Duration", "Callers", "MaxAttempts"} {
		require.ErrorContains(t, err, field)
	}
}

// FuzzReadEvents checks that only a stream with [DONE] counts as complete.
func FuzzReadEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\" w0001\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	f.Add("event: error\ndata: {\"error\":{\"verdict\":\"not-run\"}}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		var result completionResult
		err := readEvents(strings.NewReader(body), &result)
		if err == nil && result.refused == nil {
			require.Contains(t, body, "[DONE]")
		}
	})
}

// FuzzParseCompletion checks that no response makes parseCompletion panic, and that a
// refusal without a verdict counts as may-have-run.
func FuzzParseCompletion(f *testing.F) {
	f.Add(200, `{"choices":[{"text":"a","finish_reason":"stop"}]}`)
	f.Add(503, `{"error":{"verdict":"not-run","retry_after_ms":10}}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		var resp fasthttp.Response
		resp.SetStatusCode(status)
		resp.SetBodyString(body)
		got := parseCompletion(&resp)
		if got.refused != nil {
			require.Equal(t, "may-have-run", got.refused.label())
		}
		_, _ = io.WriteString(io.Discard, got.text)
	})
}
