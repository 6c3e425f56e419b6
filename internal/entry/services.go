package entry

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// callBook holds the requests and the answers of the calls in progress, which
// the core names by number and reference.
type callBook struct {
	last   atomic.Uint64
	mu     sync.Mutex
	open   map[call.RequestID]*openCall
	bodies map[call.BodyRef]app.Response
}

// openCall is a call that was accepted here, from a caller or another entry.
type openCall struct {
	request app.Request
	box     *mailbox
	service ident.Service
	team    ident.Team
	hash    uint64
	// kept answers stay until the core drops them: those that a home or the
	// holder of a claim still has use for.
	kept bool
	// claimed calls have a key that the caller chose.
	claimed bool
}

// answered is the final answer of a call with the reply that it names.
type answered struct {
	call.Answer
	response app.Response
	found    bool
}

func (b *callBook) init() {
	b.open = map[call.RequestID]*openCall{}
	b.bodies = map[call.BodyRef]app.Response{}
}

func (b *callBook) begin(c *openCall) call.RequestID {
	id := call.RequestID(b.last.Add(1))
	b.mu.Lock()
	b.open[id] = c
	b.mu.Unlock()
	return id
}

// end forgets a call.
func (b *callBook) end(id call.RequestID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, id)
}

// finish joins a call's final answer to its reply, and forgets the reply unless
// the core keeps it. It runs on the core's goroutine, so no later action can
// have dropped the reply.
func (b *callBook) finish(a call.Answer) answered {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := answered{Answer: a}
	out.response, out.found = b.bodies[a.Body]
	c := b.open[a.ID]
	fromRecord := a.Stored && c != nil && c.claimed
	if c == nil || !c.kept || fromRecord {
		delete(b.bodies, a.Body)
	}
	return out
}

func (b *callBook) get(id call.RequestID) *openCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open[id]
}

func (b *callBook) store(ref call.BodyRef, response app.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies[ref] = response
}

// copyRef names a copy of a stored reply, so that whoever drops the reply does
// not drop the copy.
func (b *callBook) copyRef(ref call.BodyRef) call.BodyRef {
	return ref + call.BodyRef("@"+strconv.FormatUint(b.last.Add(1), 10))
}

func (b *callBook) body(ref call.BodyRef) (app.Response, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.bodies[ref]
	return r, ok
}

func (b *callBook) drop(ref call.BodyRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.bodies, ref)
}

// serveService passes a call on to an application.
func (s *Shell) serveService(ctx *fasthttp.RequestCtx, id, rest string) {
	service, path, _ := strings.Cut(rest, "/")
	team := ident.Team(ctx.Request.Header.Peek(headerTeam))
	if service == "" || team == "" {
		writeRefusal(ctx, badRequest("want /services/{service}/... and the header "+headerTeam))
		return
	}
	wait, ok := timeout(ctx, s.cfg.CallTimeout)
	if !ok {
		writeRefusal(ctx, badRequest(headerTimeout+" wants a number of milliseconds from 1 to 3600000"))
		return
	}
	c := &openCall{box: newMailbox(), service: ident.Service(service), team: team,
		request: requestOf(ctx, path, id)}
	c.hash = hashOf(c.request)
	idempotent := s.idempotent(c.service, c.request.Method)
	_, issued := call.ParseKey(c.request.Key)
	c.claimed = !idempotent && c.request.Key != "" && !issued
	c.kept = c.claimed || !idempotent && s.isHome(c.request.Key)
	name := s.calls.begin(c)
	s.Send(call.Request{ID: name, Team: team, Service: c.service, Key: c.request.Key, BodyHash: c.hash,
		Idempotent: idempotent, Deadline: s.Now() + wait})
	s.writeOutcome(ctx, name, c)
}

// writeOutcome waits for the final answer of a call and writes it.
func (s *Shell) writeOutcome(ctx *fasthttp.RequestCtx, id call.RequestID, c *openCall) {
	answer, response, refusal := s.outcome(id, c)
	if refusal != nil {
		writeRefusal(ctx, *refusal)
		return
	}
	ctx.SetStatusCode(answer.Status)
	for _, h := range response.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	if answer.Status >= fasthttp.StatusBadRequest {
		ctx.Response.Header.Set(headerVerdict, verdict.Ran.String())
	}
	ctx.SetBody(response.Body)
}

// outcome waits for the final answer of a call.
func (s *Shell) outcome(id call.RequestID, c *openCall) (call.Answer, app.Response, *verdict.Refusal) {
	defer s.calls.end(id)
	items := c.box.take(s.Ctx.Done())
	if len(items) == 0 {
		return call.Answer{}, app.Response{}, &verdict.Refusal{Verdict: verdict.MayHaveRun,
			Cause: verdict.CauseLeaving, Detail: "the entry ended"}
	}
	switch item := items[0].(type) {
	case answered:
		if !item.found {
			return item.Answer, item.response, &verdict.Refusal{Verdict: verdict.Ran, Cause: verdict.CauseInternalFailure,
				Detail: "the call ran; its reply is no longer kept"}
		}
		return item.Answer, item.response, nil
	case call.Refuse:
		return call.Answer{}, app.Response{}, &item.Refusal
	}
	return call.Answer{}, app.Response{}, &verdict.Refusal{Verdict: verdict.MayHaveRun,
		Cause: verdict.CauseInternalFailure, Detail: "no final answer"}
}

// requestOf copies what is passed on to the application.
func requestOf(ctx *fasthttp.RequestCtx, path, id string) app.Request {
	req := app.Request{
		Method: string(ctx.Method()),
		Path:   "/" + path,
		Body:   append([]byte(nil), ctx.PostBody()...),
		Key:    string(ctx.Request.Header.Peek(headerKey)),
	}
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		req.Path += "?" + string(query)
	}
	for name, value := range ctx.Request.Header.All() {
		if string(name) != headerKey && !app.IsHopByHopHeader(string(name)) {
			req.Headers = append(req.Headers, app.Header{Name: string(name), Value: string(value)})
		}
	}
	req.Headers = append(req.Headers, app.Header{Name: headerRequestID, Value: id})
	return req
}

// hashOf covers what must be equal where a key is used again.
func hashOf(req app.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(req.Method + "\n" + req.Path + "\n")
	_, _ = digest.Write(req.Body)
	return digest.Sum64()
}

// idempotent says whether a call may be repeated, by route setting and method.
func (s *Shell) idempotent(service ident.Service, method string) bool {
	if slices.Contains(s.cfg.IdempotentServices, string(service)) {
		return true
	}
	reads := method == fasthttp.MethodGet || method == fasthttp.MethodHead
	return reads && !slices.Contains(s.cfg.NonIdempotentGET, string(service))
}

func (s *Shell) isHome(key string) bool {
	parsed, issued := call.ParseKey(key)
	return issued && parsed.Home == s.cfg.Self
}

// doCall carries out an action of the core's calls.
func (s *Shell) doCall(action call.Action) {
	switch a := action.(type) {
	case call.Send:
		if !s.Submit(func() { s.sendCall(a) }) {
			go s.Send(call.SendEnded{ID: a.ID, Try: a.Try, Result: call.ConnectFailed})
		}
	case call.Answer:
		s.final(a.ID, s.calls.finish(a))
	case call.Refuse:
		s.final(a.ID, a)
	case call.Restamp:
		s.final(a.ID, a)
	case call.ForwardHome:
		if !s.Submit(func() { s.forward(a) }) {
			go s.Send(call.HomeUnreachable{Home: a.Home, ID: a.ID})
		}
	case call.AskClock:
		if !s.Submit(func() { s.askClock(a) }) {
			go s.Send(call.HomeUnreachable{Home: a.Home})
		}
	case call.Claim:
		if !s.Submit(func() { s.claim(a) }) {
			go s.Send(call.ClaimEnded{ID: a.ID, Result: call.WriteNotApplied})
		}
	case call.RecordOutcome:
		response, _ := s.calls.body(a.Record.Body)
		if !s.Submit(func() { s.recordOutcome(a, response) }) {
			go s.Send(call.OutcomeRecorded{ID: a.ID, Result: call.WriteNotApplied})
		}
	case call.DropBody:
		s.calls.drop(a.Body)
	}
}

func (s *Shell) final(id call.RequestID, item any) {
	if c := s.calls.get(id); c != nil {
		c.box.put(item)
	}
}

// sendCall sends a call to a replica, once.
func (s *Shell) sendCall(a call.Send) {
	c := s.calls.get(a.ID)
	server, ok := s.directory.server(a.Server)
	if c == nil || !ok {
		s.Send(call.SendEnded{ID: a.ID, Try: a.Try, Result: call.ConnectFailed})
		return
	}
	opt := httpcall.Options{Deadline: s.Start.Add(a.Deadline)}
	switch {
	case a.ReuseWithin == 0:
		opt.NewConnection = true
	case a.ReuseWithin > 0:
		opt.MaxIdleTime = a.ReuseWithin
	}
	response, err := s.apps.Do(server.Addr, c.request, opt)
	ended := call.SendEnded{ID: a.ID, Try: a.Try}
	switch {
	case err != nil && httpcall.SentOf(err) == httpcall.NotSent:
		ended.Result = call.ConnectFailed
	case err != nil:
		ended.Result = call.ReplyLost
	case response.NotRun:
		ended.Result = call.NotRunByServer
	default:
		ended.Result = call.Replied
		ended.Status = response.Status
		ended.Bytes = len(response.Body)
		ended.Body = s.bodyRef(a)
		s.calls.store(ended.Body, response)
	}
	s.Send(ended)
}

// bodyRef names an answer uniquely over all VMs and lives: it can stand in the
// key-value service.
func (s *Shell) bodyRef(a call.Send) call.BodyRef {
	return call.BodyRef(s.cfg.Self.String() + "/" + strconv.FormatUint(uint64(a.ID), 10) + "/" + strconv.Itoa(a.Try))
}
