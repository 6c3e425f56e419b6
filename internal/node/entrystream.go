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

// completion is a caller's request for a model completion.
type completion struct {
	request  CompletionAsked
	estimate int // reserved tokens
	// routeID is the router's ID of the pipeline; zero while the request waits.
	routeID      uint64
	servers      []ident.BackendServer
	startedAt    time.Duration
	firstTokenAt time.Duration
	tokens       int
}

func (c *completion) key() teamService {
	return teamService{team: c.request.Team, service: c.request.Model}
}

// bytesPerToken is the approximate length of a prompt token, for estimates only.
const bytesPerToken = 4

func (e *Entry) handleCompletion(now time.Duration, request CompletionAsked) {
	if _, taken := e.completions[request.Request]; taken {
		return
	}
	if refusal, ok := e.refuseInvalid(request); ok {
		e.emit(Refused{Request: request.Request, Refusal: refusal})
		return
	}
	c := &completion{request: request, estimate: min(request.MaxTokens, e.cfg.TokenEstimate)}
	e.completions[request.Request] = c
	e.requestOpened(now)
	decision := e.queue.Offer(now, admission.Request{
		ID: request.Request, Team: request.Team, Service: request.Model, Priority: request.Priority, Cost: c.estimate,
		Deadline: request.Deadline, ExpectedDuration: time.Duration(min(request.MaxTokens, 2)) * e.cfg.TokenTime,
	})
	switch decision.Outcome {
	case admission.Admitted:
		e.startCompletion(now, c)
	case admission.Refused:
		e.refuseCompletion(now, c, decision.Refusal)
	}
}

// refuseInvalid returns a refusal, and true, if a completion is malformed, has no accepted
// limit or names a service that is not a model.
func (e *Entry) refuseInvalid(request CompletionAsked) (verdict.Refusal, bool) {
	invalid := func(detail string) (verdict.Refusal, bool) {
		return verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseBadRequest, Detail: detail}, true
	}
	switch {
	case request.Team == "":
		return invalid("header Catkin-Team is missing: name the team")
	case request.MaxTokens < 1 || request.MaxTokens > e.cfg.Stream.MaxTokens:
		return invalid("max_tokens is " + strconv.Itoa(request.MaxTokens) + ": want 1 to " + strconv.Itoa(e.cfg.Stream.MaxTokens))
	}
	if refusal, ok := e.refuseWithoutLimit(request.Team, request.Model); ok {
		return refusal, true
	}
	if isModel, known := e.serviceIsModel[request.Model]; known && !isModel {
		return invalid(string(request.Model) + " is not a model: call it under /services/" + string(request.Model) + "/")
	}
	return verdict.Refusal{}, false
}

// refuseCompletion ends a completion that never started.
func (e *Entry) refuseCompletion(now time.Duration, c *completion, refusal verdict.Refusal) {
	delete(e.completions, c.request.Request)
	e.emit(Refused{Request: c.request.Request, Refusal: refusal})
	e.requestClosed(now)
}

// startCompletion routes an admitted completion and opens its stream.
func (e *Entry) startCompletion(now time.Duration, c *completion) {
	pipeline, ok := e.router.Pick(now, routing.Request{
		Service:        c.request.Model,
		PromptTokens:   len(c.request.Prompt)/bytesPerToken + 1,
		ExpectedTokens: c.request.MaxTokens,
		Prefixes:       c.request.Prefixes,
	})
	if !ok {
		e.refund(now, c.key(), c.estimate)
		e.refuseCompletion(now, c, verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoBackend,
			RetryAfter: time.Second, Detail: "no set of backend servers covers model " + string(c.request.Model)})
		e.handleQueueActions(now, e.queue.Step(now, admission.Done{ID: c.request.Request}))
		return
	}
	c.routeID = pipeline.ID
	c.startedAt = now
	open := stream.Open{
		Request: c.request.Request, Model: c.request.Model, Prompt: c.request.Prompt, MaxTokens: c.request.MaxTokens,
		Seed: uint64(c.request.Seed), Priority: c.request.Priority, Deadline: c.request.Deadline, Layers: pipeline.Layers,
	}
	for _, s := range pipeline.Stages {
		open.Pipeline = append(open.Pipeline, stream.Stage(s))
		c.servers = append(c.servers, s.Server)
	}
	e.stepStreams(now, open)
}

func (e *Entry) handleCallerGone(now time.Duration, request string) {
	c, ok := e.completions[request]
	if !ok {
		return
	}
	if c.routeID == 0 {
		e.handleQueueActions(now, e.queue.Step(now, admission.GiveUp{ID: request}))
		return
	}
	e.stepStreams(now, stream.Cancel{Request: request})
}

// stepStreams steps the streams. Before that it reports the success or failure of a
// backend server to the router.
func (e *Entry) stepStreams(now time.Duration, ev stream.Event) {
	switch ev := ev.(type) {
	case stream.StepDone:
		e.stepRouter(now, routing.Worked{Server: ev.Server})
	case stream.StepFailed:
		e.handleStepFailed(now, ev)
	}
	actions := e.streams.Step(now, ev)
	if len(actions) == 1 { // the common case: saves the clone
		e.handleStreamAction(now, actions[0])
		return
	}
	for _, a := range slices.Clone(actions) {
		e.handleStreamAction(now, a)
	}
}

func (e *Entry) handleStepFailed(now time.Duration, ev stream.StepFailed) {
	switch ev.Kind {
	case stream.FailureNotSent, stream.FailureLost:
		e.stepRouter(now, routing.Failed{Server: ev.Server})
		e.emit(Observed{Observation: peer.BackendObservation{Server: ev.Server, Unreachable: ev.Kind == stream.FailureNotSent}})
	case stream.FailureLeaving:
		e.serverLeaving(now, ev.Server)
	}
}

// serverLeaving stops new work to a backend server and reports it to the control process.
func (e *Entry) serverLeaving(now time.Duration, id ident.BackendServer) {
	e.stepRouter(now, routing.Leaving{Server: id})
	e.emit(Observed{Observation: peer.BackendObservation{Server: id, Leaving: true}})
}

func (e *Entry) handleStreamAction(now time.Duration, a stream.Action) {
	switch a := a.(type) {
	case stream.EmitToken:
		e.countToken(now, a)
	case stream.WantReplacement:
		e.replaceStage(now, a)
		return
	case stream.Finish:
		e.emit(a)
		e.finishCompletion(now, a.Request, a.Tokens)
		return
	case stream.Cut:
		e.emit(a)
		e.handleCut(now, a)
		return
	}
	e.emit(a)
}

func (e *Entry) countToken(now time.Duration, a stream.EmitToken) {
	c, ok := e.completions[a.Request]
	if !ok {
		return
	}
	c.tokens++
	if c.tokens == 1 {
		c.firstTokenAt = now
	}
}

// replaceStage picks a replacement server for a stage that a stream lost.
func (e *Entry) replaceStage(now time.Duration, want stream.WantReplacement) {
	server, _ := e.router.PickReplacement(now, want.Model, want.From, want.To, want.Exclude)
	if c := e.completionForStream(want.Stream); c != nil && server != "" && want.Stage < len(c.servers) {
		e.stepRouter(now, routing.Moved{ID: c.routeID, From: c.servers[want.Stage], To: server})
		c.servers[want.Stage] = server
	}
	e.stepStreams(now, stream.Replacement{Stream: want.Stream, Stage: want.Stage, Server: server})
}

// completionForStream returns the completion that a stream belongs to, or nil.
func (e *Entry) completionForStream(streamName string) *completion {
	return e.completions[stream.RequestOf(streamName)]
}

func (e *Entry) handleCut(now time.Duration, a stream.Cut) {
	c, ok := e.completions[a.Request]
	if !ok {
		return
	}
	if a.Refusal.Verdict == verdict.NotRun {
		e.refund(now, c.key(), c.estimate)
		c.estimate = 0
	}
	e.finishCompletion(now, a.Request, c.tokens)
}

// finishCompletion releases the resources of a completion whose stream has ended.
func (e *Entry) finishCompletion(now time.Duration, request string, tokens int) {
	c, ok := e.completions[request]
	if !ok {
		return
	}
	delete(e.completions, request)
	e.settle(now, c.key(), c.estimate, tokens)
	e.stepRouter(now, c.routingResult(now))
	e.handleQueueActions(now, e.queue.Step(now, admission.Done{ID: request}))
	e.requestClosed(now)
}

// routingResult returns the measured latencies for the router's estimates.
func (c *completion) routingResult(now time.Duration) routing.Done {
	done := routing.Done{ID: c.routeID}
	if c.tokens > 0 {
		done.FirstToken = c.firstTokenAt - c.startedAt
	}
	if c.tokens > 1 {
		done.TokenTime = (now - c.firstTokenAt) / time.Duration(c.tokens-1)
	}
	return done
}

// startQueued starts a queued request that was admitted.
func (e *Entry) startQueued(now time.Duration, id string) {
	if c, ok := e.completions[id]; ok {
		e.startCompletion(now, c)
		return
	}
	e.startQueuedCall(now, id)
}

func (e *Entry) refuseQueued(now time.Duration, a admission.Refuse) {
	if c, ok := e.completions[a.ID]; ok {
		e.refuseCompletion(now, c, a.Refusal)
		return
	}
	e.refuseQueuedCall(now, a)
}
