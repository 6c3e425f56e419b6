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

// callTable holds the requests and responses of the calls in progress. The core
// refers to requests by ID and to response bodies by reference.
type callTable struct {
	lastID    atomic.Uint64
	mu        sync.Mutex
	open      map[call.RequestID]*openCall
	responses map[call.BodyRef]app.Response
}

// openCall is a call in progress that a caller or another entry sent.
type openCall struct {
	request app.Request
	box     *mailbox
	service ident.Service
	team    ident.Team
	hash    uint64
	// keepResponse is set if the response is stored until the core drops it: this
	// entry is the key's home or holds the call's claim and may need it again.
	keepResponse bool
	// claimed is set for a call whose idempotency key the caller chose.
	claimed bool
}

// answered is the final answer of a call together with the response that it refers to.
type answered struct {
	call.Answer
	response app.Response
	found    bool
}

func (t *callTable) init() {
	t.open = map[call.RequestID]*openCall{}
	t.responses = map[call.BodyRef]app.Response{}
}

func (t *callTable) add(c *openCall) call.RequestID {
	id := call.RequestID(t.lastID.Add(1))
	t.mu.Lock()
	t.open[id] = c
	t.mu.Unlock()
	return id
}

// remove deletes a call after its outcome has been read.
func (t *callTable) remove(id call.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// finalAnswer adds the response to a call's final answer, and deletes the stored
// response unless the core still needs it. It runs on the core's goroutine, so no
// later action can have dropped the response.
func (t *callTable) finalAnswer(a call.Answer) answered {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := answered{Answer: a}
	out.response, out.found = t.responses[a.Body]
	c := t.open[a.ID]
	fromClaim := a.Stored && c != nil && c.claimed
	if c == nil || !c.keepResponse || fromClaim {
		delete(t.responses, a.Body)
	}
	return out
}

func (t *callTable) get(id call.RequestID) *openCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[id]
}

func (t *callTable) storeResponse(ref call.BodyRef, response app.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses[ref] = response
}

// newCopyRef returns a new reference for a copy of a stored response. The copy is kept
// when the original is dropped.
func (t *callTable) newCopyRef(ref call.BodyRef) call.BodyRef {
	return ref + call.BodyRef("@"+strconv.FormatUint(t.lastID.Add(1), 10))
}

func (t *callTable) lookupResponse(ref call.BodyRef) (app.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.responses[ref]
	return r, ok
}

func (t *callTable) dropResponse(ref call.BodyRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.responses, ref)
}

// serveCall handles a caller's call to an application.
func (s *Shell) serveCall(ctx *fasthttp.RequestCtx, id, rest string) {
	service, path, _ := strings.Cut(rest, "/")
	team := ident.Team(ctx.Request.Header.Peek(headerTeam))
	if service == "" || team == "" {
		writeRefusal(ctx, badRequest("use the path /services/{service}/... with the header "+headerTeam))
		return
	}
	timeout, ok := callerTimeout(ctx, s.cfg.CallTimeout)
	if !ok {
		writeRefusal(ctx, badRequest(headerTimeout+" must be a number of milliseconds from 1 to 3600000"))
		return
	}
	c := &openCall{box: newMailbox(), service: ident.Service(service), team: team,
		request: newAppRequest(ctx, path, id)}
	c.hash = requestHash(c.request)
	idempotent := s.idempotent(c.service, c.request.Method)
	_, issued := call.ParseKey(c.request.Key)
	c.claimed = !idempotent && c.request.Key != "" && !issued
	c.keepResponse = c.claimed || !idempotent && s.isHome(c.request.Key)
	callID := s.calls.add(c)
	s.Send(call.Request{ID: callID, Team: team, Service: c.service, Key: c.request.Key, BodyHash: c.hash,
		Idempotent: idempotent, Deadline: s.Now() + timeout})
	s.writeOutcome(ctx, callID, c)
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
	defer s.calls.remove(id)
	items := c.box.receive(s.Ctx.Done())
	if len(items) == 0 {
		return call.Answer{}, app.Response{}, &verdict.Refusal{Verdict: verdict.MayHaveRun,
			Cause: verdict.CauseLeaving, Detail: "the entry process stopped before the call ended"}
	}
	switch item := items[0].(type) {
	case answered:
		if !item.found {
			return item.Answer, item.response, &verdict.Refusal{Verdict: verdict.Ran, Cause: verdict.CauseInternalFailure,
				Detail: "the call ran, but its response is no longer stored"}
		}
		return item.Answer, item.response, nil
	case call.Refuse:
		return call.Answer{}, app.Response{}, &item.Refusal
	}
	return call.Answer{}, app.Response{}, &verdict.Refusal{Verdict: verdict.MayHaveRun,
		Cause: verdict.CauseInternalFailure, Detail: "the call ended without a final answer"}
}

// newAppRequest copies the parts of a caller's request that the application receives.
func newAppRequest(ctx *fasthttp.RequestCtx, path, id string) app.Request {
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

// requestHash returns the hash of method, path and body, which must be equal in all
// requests with the same idempotency key.
func requestHash(req app.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(req.Method + "\n" + req.Path + "\n")
	_, _ = digest.Write(req.Body)
	return digest.Sum64()
}

// idempotent reports whether a call may be retried, from the service's settings and
// the method.
func (s *Shell) idempotent(service ident.Service, method string) bool {
	if slices.Contains(s.cfg.IdempotentServices, string(service)) {
		return true
	}
	readOnly := method == fasthttp.MethodGet || method == fasthttp.MethodHead
	return readOnly && !slices.Contains(s.cfg.NonIdempotentGET, string(service))
}

// isHome reports whether key was issued by this incarnation of the entry process.
func (s *Shell) isHome(key string) bool {
	parsed, issued := call.ParseKey(key)
	return issued && parsed.Home == s.cfg.Self
}

// executeCall carries out an action of the core's calls.
func (s *Shell) executeCall(action call.Action) {
	switch a := action.(type) {
	case call.Send:
		if !s.Submit(func() { s.sendCall(a) }) {
			go s.Send(call.SendEnded{ID: a.ID, Try: a.Try, Result: call.ConnectFailed})
		}
	case call.Answer:
		s.deliver(a.ID, s.calls.finalAnswer(a))
	case call.Refuse:
		s.deliver(a.ID, a)
	case call.Restamp:
		s.deliver(a.ID, a)
	case call.ForwardHome:
		if !s.Submit(func() { s.forwardCall(a) }) {
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
		response, _ := s.calls.lookupResponse(a.Record.Body)
		if !s.Submit(func() { s.recordOutcome(a, response) }) {
			go s.Send(call.OutcomeRecorded{ID: a.ID, Result: call.WriteNotApplied})
		}
	case call.DropBody:
		s.calls.dropResponse(a.Body)
	}
}

func (s *Shell) deliver(id call.RequestID, item any) {
	if c := s.calls.get(id); c != nil {
		c.box.put(item)
	}
}

// sendCall sends a call to a replica, at most once.
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
		s.calls.storeResponse(ended.Body, response)
	}
	s.Send(ended)
}

// bodyRef returns the reference to a call's response. It is unique over all VMs and
// incarnations, because it may be stored in the key-value service.
func (s *Shell) bodyRef(a call.Send) call.BodyRef {
	return call.BodyRef(s.cfg.Self.String() + "/" + strconv.FormatUint(uint64(a.ID), 10) + "/" + strconv.Itoa(a.Try))
}
