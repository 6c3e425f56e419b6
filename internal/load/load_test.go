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

// patient is longer than any stall of a busy machine.
const patient = 15 * time.Second

// fakeEntry answers as an entry does, and can be made to answer wrongly.
type fakeEntry struct {
	addr string
	app  string
	apps *app.HTTP
	// refuse, if not empty, is the verdict that completions and reservations
	// are refused with; run says whether they run all the same.
	refuse string
	run    bool
	// double executes reservations twice, drop not at all.
	double, drop bool
	// change alters the text of an answer.
	change func(text string) string
	// cut ends streams in the middle: "event" with an error event, "close"
	// without.
	cut string
}

func startEntry(t *testing.T, e *fakeEntry) (control string) {
	t.Helper()
	stands, err := standin.Start(standin.Topology{
		Control:        "127.0.0.1:0",
		FailureDomains: []string{"stord"},
		Apps:           []standin.AppSpec{{Service: "ordrebok", Replicas: 1, IP: "127.0.0.1", Capacity: 100}},
	})
	require.NoError(t, err)
	t.Cleanup(stands.Close)
	e.app = stands.Servers()[0].Addr
	calls := httpcall.NewDefault()
	t.Cleanup(calls.Close)
	e.apps = app.NewHTTP(calls)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.addr = l.Addr().String()
	server := &fasthttp.Server{Handler: e.serve}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return stands.Addresses().Control
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
	case e.double:
		times = 2
	case e.drop, e.refuse != "" && !e.run:
		times = 0
	}
	for range times {
		if _, err := e.apps.Do(e.app, call, httpcall.Within(patient)); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			return
		}
	}
	if e.refuse != "" && !ctx.IsGet() {
		e.refuseWith(ctx)
		return
	}
	ctx.SetBody(standin.AppResponse(call.Method, path, call.Body))
}

func (e *fakeEntry) refuseWith(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(503)
	ctx.Response.Header.Set(headerVerdict, e.refuse)
	ctx.Response.Header.Set(headerCause, "leaving")
}

func (e *fakeEntry) serveCompletion(ctx *fasthttp.RequestCtx) {
	if e.refuse != "" {
		e.refuseWith(ctx)
		return
	}
	var in completion
	_ = json.Unmarshal(ctx.PostBody(), &in)
	text, finish := model.ExpectedCompletion(in.Prompt, in.Seed, in.MaxTokens, 24)
	if e.change != nil {
		text = e.change(text)
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
		if e.cut != "" && i == len(tokens)/2 {
			if e.cut == "event" {
				fmt.Fprint(w, "event: error\ndata: {\"error\":{\"verdict\":\"may-have-run\",\"cause\":\"backend-server-lost\"}}\n\n")
			}
			return
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", token)
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", finish)
}

// offer runs a short load against one fake entry.
func offer(t *testing.T, e *fakeEntry, change func(*Config)) report.LoadTest {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Control = startEntry(t, e)
	cfg.Entries = []string{e.addr}
	cfg.Duration, cfg.Warmup = 300*time.Millisecond, 0
	cfg.Settle = 20 * time.Millisecond
	cfg.Patience, cfg.MaxAttempts = 500*time.Millisecond, 2
	cfg.CompletionsPerS, cfg.ReadsPerS, cfg.ReservationsPerS = 100, 100, 100
	if change != nil {
		change(&cfg)
	}
	got, err := Run(cfg)
	require.NoError(t, err)
	return got
}

func TestHonestEntryPassesEveryCheck(t *testing.T) {
	// A caller that gives up leaves its reservation unresolved, however honest
	// the entry is: its patience outlasts a busy machine.
	got := offer(t, &fakeEntry{}, func(c *Config) { c.Patience = patient })
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Positive(t, got.Checks.Answers)
	require.Positive(t, got.Checks.Reservations)
	require.Equal(t, got.Requests, got.Attempts)
	require.Zero(t, got.Checks.Unresolved)
	for _, name := range []string{"completion", "read", "reservation", "first_token", "between_tokens"} {
		require.Positive(t, got.LatencyMillis[name].Count, name)
	}
}

func TestHonestRefusalsAndCutsPass(t *testing.T) {
	got := offer(t, &fakeEntry{refuse: "not-run"}, nil)
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Positive(t, got.Outcomes["reservation not-run"])
	got = offer(t, &fakeEntry{refuse: "may-have-run", run: true}, nil)
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Positive(t, got.Checks.Unresolved)
	got = offer(t, &fakeEntry{cut: "event"}, func(c *Config) { c.StreamShare = 1 })
	require.Zero(t, got.Checks.Faults(), got.Checks.Samples)
	require.Zero(t, got.Outcomes["completion ok"])
	got = offer(t, &fakeEntry{cut: "close"}, func(c *Config) { c.StreamShare = 1 })
	require.Zero(t, got.Outcomes["completion ok"])
	require.Positive(t, got.Verdicts[causeNoAnswer])
}

func TestEveryDoctoredAnswerIsFound(t *testing.T) {
	wrong := offer(t, &fakeEntry{change: func(s string) string { return s[:len(s)-1] + "z" }}, nil)
	require.Positive(t, wrong.Checks.WrongAnswers)
	short := offer(t, &fakeEntry{change: func(s string) string { return s[:len(s)-6] }}, nil)
	require.Positive(t, short.Checks.Incomplete)
	doubled := offer(t, &fakeEntry{double: true}, nil)
	require.Positive(t, doubled.Checks.Doubled)
	lost := offer(t, &fakeEntry{drop: true}, nil)
	require.Positive(t, lost.Checks.Lost)
	lied := offer(t, &fakeEntry{refuse: "not-run", run: true}, nil)
	require.Positive(t, lied.Checks.WrongNotRun)
	blind := offer(t, &fakeEntry{}, func(c *Config) { c.Control = "" })
	require.True(t, blind.Checks.LedgerMissing)
	require.Positive(t, blind.Checks.Faults())
}

func TestRefusedCompletionThatWasPrefilledIsFound(t *testing.T) {
	r := &record{}
	r.refusedPrompt("aa")
	r.refusedPrompt("bb")
	var checks report.Checks
	r.compare(standin.Ledger{Prefills: map[string]int{"bb": 1}}, &checks)
	require.Equal(t, 1, checks.WrongNotRun)
}

func TestRecoveryIsTheEndOfTheDip(t *testing.T) {
	at, end := 10*time.Second, 20*time.Second
	c := counts{planned: make([]int, 200), succeeded: make([]int, 200)}
	for i := range c.planned {
		c.planned[i], c.succeeded[i] = 100, 100
	}
	calm := recovery(c, 0, at, end, "calm")
	require.Zero(t, calm.RecoveryS)
	require.True(t, calm.Recovered)
	for i := 150; i < 170; i++ {
		c.planned[i], c.succeeded[i] = 20, 20
	}
	require.Zero(t, recovery(c, 0, at, end, "fewer arrivals").RecoveryS)
	for i := 100; i < 115; i++ {
		c.succeeded[i] = 0
	}
	dip := recovery(c, 0, at, end, "dip")
	require.InDelta(t, 1.5, dip.RecoveryS, 0.11)
	require.Zero(t, dip.WorstRatio)
	require.InDelta(t, 1000, dip.BeforePerS, 1)
	for i := 100; i < len(c.succeeded); i++ {
		c.succeeded[i] = 0
	}
	require.False(t, recovery(c, 0, at, end, "gone").Recovered)
}

func TestValidateNamesEveryFault(t *testing.T) {
	err := Config{}.Validate()
	for _, field := range []string{"Entries", "Teams", "Duration", "Callers", "MaxAttempts"} {
		require.ErrorContains(t, err, field)
	}
}

// FuzzReadEvents reads any event stream: only one that says [DONE] ends as
// whole.
func FuzzReadEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\" w0001\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	f.Add("event: error\ndata: {\"error\":{\"verdict\":\"not-run\"}}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		var done completed
		err := readEvents(strings.NewReader(body), &done)
		if err == nil && done.refused == nil {
			require.Contains(t, body, "[DONE]")
		}
	})
}

// FuzzReadAnswer reads any answer body without a panic; without a verdict the
// request may have run.
func FuzzReadAnswer(f *testing.F) {
	f.Add(200, `{"choices":[{"text":"a","finish_reason":"stop"}]}`)
	f.Add(503, `{"error":{"verdict":"not-run","retry_after_ms":10}}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		var resp fasthttp.Response
		resp.SetStatusCode(status)
		resp.SetBodyString(body)
		got := readCompletion(&resp)
		if got.refused != nil {
			require.Equal(t, "may-have-run", got.refused.label())
		}
		_, _ = io.WriteString(io.Discard, got.text)
	})
}
