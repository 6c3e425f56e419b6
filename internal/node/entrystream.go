package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/catkinstair/catkinstair/internal/admission"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// completion is a caller's request for an answer of a model.
type completion struct {
	ask      CompletionAsked
	estimate int
	// route is the router's number of the pipeline; zero while it waits.
	route   uint64
	servers []ident.BackendServer
	started time.Duration
	first   time.Duration
	tokens  int
}

func (c *completion) key() workKey {
	return workKey{team: c.ask.Team, service: c.ask.Model}
}

// bytesPerToken is a rough length of a prompt's token, for estimates only.
const bytesPerToken = 4

func (e *Entry) completionAsked(now time.Duration, ask CompletionAsked) {
	if _, taken := e.completions[ask.Request]; taken {
		return
	}
	if refusal, ok := e.unfit(ask); ok {
		e.emit(Refused{Request: ask.Request, Refusal: refusal})
		return
	}
	c := &completion{ask: ask, estimate: min(ask.MaxTokens, e.cfg.TokenEstimate)}
	e.completions[ask.Request] = c
	e.opened(now)
	decision := e.queue.Offer(now, admission.Request{
		ID: ask.Request, Team: ask.Team, Service: ask.Model, Priority: ask.Priority, Cost: c.estimate,
		Deadline: ask.Deadline, ExpectedDuration: time.Duration(min(ask.MaxTokens, 2)) * e.cfg.TokenTime,
	})
	switch decision.Outcome {
	case admission.Admitted:
		e.start(now, c)
	case admission.Refused:
		e.refuse(now, c, decision.Refusal)
	}
}

// unfit refuses a completion that can't be taken on whatever the load is.
func (e *Entry) unfit(ask CompletionAsked) (verdict.Refusal, bool) {
	bad := func(detail string) (verdict.Refusal, bool) {
		return verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseBadRequest, Detail: detail}, true
	}
	switch {
	case ask.Team == "":
		return bad("header Catkin-Team is missing: name the team")
	case ask.MaxTokens < 1 || ask.MaxTokens > e.cfg.Stream.MaxTokens:
		return bad("max_tokens is " + strconv.Itoa(ask.MaxTokens) + ": want 1 to " + strconv.Itoa(e.cfg.Stream.MaxTokens))
	}
	if refusal, ok := e.refuseUnready(ask.Team, ask.Model); ok {
		return refusal, true
	}
	if isModel, known := e.models[ask.Model]; known && !isModel {
		return bad(string(ask.Model) + " is not a model: call it under /services/" + string(ask.Model) + "/")
	}
	return verdict.Refusal{}, false
}

// refuse ends a completion that never started.
func (e *Entry) refuse(now time.Duration, c *completion, refusal verdict.Refusal) {
	delete(e.completions, c.ask.Request)
	e.emit(Refused{Request: c.ask.Request, Refusal: refusal})
	e.closed(now)
}

// start routes an admitted completion and opens its stream.
func (e *Entry) start(now time.Duration, c *completion) {
	pipeline, ok := e.router.Pick(now, routing.Request{
		Service:        c.ask.Model,
		PromptTokens:   len(c.ask.Prompt)/bytesPerToken + 1,
		ExpectedTokens: c.ask.MaxTokens,
		Prefixes:       c.ask.Prefixes,
	})
	if !ok {
		e.giveBack(now, c.key(), c.estimate)
		e.refuse(now, c, verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoBackend,
			RetryAfter: time.Second, Detail: "no set of backend servers covers model " + string(c.ask.Model)})
		e.queueDo(now, e.queue.Step(now, admission.Done{ID: c.ask.Request}))
		return
	}
	c.route = pipeline.ID
	c.started = now
	open := stream.Open{
		Request: c.ask.Request, Model: c.ask.Model, Prompt: c.ask.Prompt, MaxTokens: c.ask.MaxTokens,
		Seed: uint64(c.ask.Seed), Priority: c.ask.Priority, Deadline: c.ask.Deadline, Layers: pipeline.Layers,
	}
	for _, s := range pipeline.Stages {
		open.Pipeline = append(open.Pipeline, stream.Stage(s))
		c.servers = append(c.servers, s.Server)
	}
	e.streamEvent(now, open)
}

func (e *Entry) completionGone(now time.Duration, request string) {
	c, ok := e.completions[request]
	if !ok {
		return
	}
	if c.route == 0 {
		e.queueDo(now, e.queue.Step(now, admission.GiveUp{ID: request}))
		return
	}
	e.streamEvent(now, stream.Cancel{Request: request})
}

// streamEvent hands an event to the streams, and first to the router what it
// says about a backend server.
func (e *Entry) streamEvent(now time.Duration, ev stream.Event) {
	switch ev := ev.(type) {
	case stream.StepDone:
		e.routeEvent(now, routing.Worked{Server: ev.Server})
	case stream.StepFailed:
		e.stepFailed(now, ev)
	}
	actions := e.streams.Step(now, ev)
	if len(actions) == 1 { // most steps: no need to keep the slice apart
		e.streamDo(now, actions[0])
		return
	}
	for _, a := range slices.Clone(actions) {
		e.streamDo(now, a)
	}
}

func (e *Entry) stepFailed(now time.Duration, ev stream.StepFailed) {
	switch ev.Kind {
	case stream.FailureNotSent, stream.FailureLost:
		e.routeEvent(now, routing.Failed{Server: ev.Server})
		e.emit(Observed{Observation: peer.BackendObservation{Server: ev.Server, Unreachable: ev.Kind == stream.FailureNotSent}})
	case stream.FailureLeaving:
		e.serverLeaves(now, ev.Server)
	}
}

// serverLeaves stops new work to a backend server and tells the control process.
func (e *Entry) serverLeaves(now time.Duration, id ident.BackendServer) {
	e.routeEvent(now, routing.Leaving{Server: id})
	e.emit(Observed{Observation: peer.BackendObservation{Server: id, Leaving: true}})
}

func (e *Entry) streamDo(now time.Duration, a stream.Action) {
	switch a := a.(type) {
	case stream.EmitToken:
		e.tokenOut(now, a)
	case stream.WantReplacement:
		e.replace(now, a)
		return
	case stream.Finish:
		e.emit(a)
		e.ended(now, a.Request, a.Tokens)
		return
	case stream.Cut:
		e.emit(a)
		e.cut(now, a)
		return
	}
	e.emit(a)
}

func (e *Entry) tokenOut(now time.Duration, a stream.EmitToken) {
	c, ok := e.completions[a.Request]
	if !ok {
		return
	}
	c.tokens++
	if c.tokens == 1 {
		c.first = now
	}
}

// replace answers a stream that lost a stage.
func (e *Entry) replace(now time.Duration, want stream.WantReplacement) {
	server, _ := e.router.PickReplacement(now, want.Model, want.From, want.To, want.Exclude)
	if c := e.completionOf(want.Stream); c != nil && server != "" && want.Stage < len(c.servers) {
		e.routeEvent(now, routing.Moved{ID: c.route, From: c.servers[want.Stage], To: server})
		c.servers[want.Stage] = server
	}
	e.streamEvent(now, stream.Replacement{Stream: want.Stream, Stage: want.Stage, Server: server})
}

// completionOf finds the completion that drives a stream.
func (e *Entry) completionOf(name string) *completion {
	return e.completions[stream.RequestOf(name)]
}

func (e *Entry) cut(now time.Duration, a stream.Cut) {
	c, ok := e.completions[a.Request]
	if !ok {
		return
	}
	if a.Refusal.Verdict == verdict.NotRun {
		e.giveBack(now, c.key(), c.estimate)
		c.estimate = 0
	}
	e.ended(now, a.Request, c.tokens)
}

// ended closes a completion whose stream is over.
func (e *Entry) ended(now time.Duration, request string, tokens int) {
	c, ok := e.completions[request]
	if !ok {
		return
	}
	delete(e.completions, request)
	e.settle(now, c.key(), c.estimate, tokens)
	e.routeEvent(now, c.observation(now))
	e.queueDo(now, e.queue.Step(now, admission.Done{ID: request}))
	e.closed(now)
}

// observation is what the router learns from a stream.
func (c *completion) observation(now time.Duration) routing.Done {
	done := routing.Done{ID: c.route}
	if c.tokens > 0 {
		done.FirstToken = c.first - c.started
	}
	if c.tokens > 1 {
		done.TokenTime = (now - c.first) / time.Duration(c.tokens-1)
	}
	return done
}

// admitted starts work that waited in the queue.
func (e *Entry) admitted(now time.Duration, id string) {
	if c, ok := e.completions[id]; ok {
		e.start(now, c)
		return
	}
	e.callAdmitted(now, id)
}

func (e *Entry) refusedWaiting(now time.Duration, a admission.Refuse) {
	if c, ok := e.completions[a.ID]; ok {
		e.refuse(now, c, a.Refusal)
		return
	}
	e.callRefused(now, a)
}
