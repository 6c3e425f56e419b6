package node

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/admission"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/routing"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// callState is the routing and admission state of one call.
type callState struct {
	request call.PickReplica
	// admitted is set once the call has passed the limits and the queue.
	admitted bool
	// routeIDs are the router's pipeline IDs by try.
	routeIDs map[int]uint64
	// servers are the chosen replicas by try.
	servers map[int]ident.BackendServer
}

// callPrefix distinguishes the IDs of calls from those of completions in the admission
// queue, which both share.
const callPrefix = "call/"

func queueID(id call.RequestID) string {
	return callPrefix + strconv.FormatUint(uint64(id), 10)
}

func parseQueueID(id string) (call.RequestID, bool) {
	text, ok := strings.CutPrefix(id, callPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return call.RequestID(n), err == nil
}

func (e *Entry) stepCalls(now time.Duration, ev call.Event) {
	switch ev := ev.(type) {
	case call.Request:
		if e.refuseCall(ev) {
			return
		}
		e.requestOpened(now)
	case call.SendEnded:
		e.handleSendEnded(now, ev)
	}
	for _, a := range slices.Clone(e.calls.Step(now, ev)) {
		e.handleCallAction(now, a)
	}
}

// refuseCall refuses a call if its team has no limit on the service, and reports whether
// it did. A forwarded call was checked by the entry that received it from the caller. A
// non-idempotent call with an idempotency key is refused with MayHaveRun, because another
// entry may have sent a call with that key before.
func (e *Entry) refuseCall(ev call.Request) bool {
	if ev.Forwarded != nil {
		return false
	}
	refusal, refused := e.refuseWithoutLimit(ev.Team, ev.Service)
	if !refused {
		return false
	}
	if ev.Key != "" && !ev.Idempotent {
		refusal = call.AtLeastMayHaveRun(refusal)
	}
	e.emit(call.Refuse{ID: ev.ID, Refusal: refusal})
	return true
}

func (e *Entry) handleCallAction(now time.Duration, a call.Action) {
	switch a := a.(type) {
	case call.PickReplica:
		e.pickReplica(now, a)
		return
	case call.Release:
		e.releaseTry(now, a)
		return
	case call.Answer:
		e.emit(a)
		e.finishCall(now, a.ID)
		return
	case call.Refuse:
		e.emit(a)
		e.finishCall(now, a.ID)
		return
	}
	e.emit(a)
}

// pickReplica requests admission, unless an earlier try was admitted. An admitted call is
// routed at once, a queued one by startQueuedCall.
func (e *Entry) pickReplica(now time.Duration, request call.PickReplica) {
	state, ok := e.callState[request.ID]
	if !ok {
		state = &callState{routeIDs: map[int]uint64{}, servers: map[int]ident.BackendServer{}}
		e.callState[request.ID] = state
	}
	state.request = request
	if state.admitted {
		e.route(now, state)
		return
	}
	decision := e.queue.Offer(now, admission.Request{
		ID: queueID(request.ID), Team: request.Team, Service: request.Service, Cost: 1,
		Deadline: request.Deadline, ExpectedDuration: e.cfg.CallTime,
	})
	switch decision.Outcome {
	case admission.Admitted:
		state.admitted = true
		e.route(now, state)
	case admission.Refused:
		e.stepCalls(now, call.NonePicked{ID: request.ID, Try: request.Try, Refusal: decision.Refusal})
	}
}

// route chooses a replica for the pending try.
func (e *Entry) route(now time.Duration, state *callState) {
	picked, ok := e.router.Pick(now, routing.Request{Service: state.request.Service, Exclude: state.request.Exclude})
	if !ok || len(picked.Stages) != 1 {
		if ok {
			e.stepRouter(now, routing.Done{ID: picked.ID})
		}
		e.stepCalls(now, call.NonePicked{ID: state.request.ID, Try: state.request.Try, Refusal: verdict.Refusal{
			Verdict: verdict.NotRun, Cause: verdict.CauseNoBackend, RetryAfter: time.Second,
			Detail: "no replica of " + string(state.request.Service) + " takes work"}})
		return
	}
	state.routeIDs[state.request.Try] = picked.ID
	state.servers[state.request.Try] = picked.Stages[0].Server
	e.stepCalls(now, call.Picked{ID: state.request.ID, Try: state.request.Try, Server: picked.Stages[0].Server})
}

func (e *Entry) startQueuedCall(now time.Duration, id string) {
	requestID, ok := parseQueueID(id)
	state := e.callState[requestID]
	if !ok || state == nil {
		e.handleQueueActions(now, e.queue.Step(now, admission.Done{ID: id}))
		return
	}
	state.admitted = true
	e.route(now, state)
}

func (e *Entry) refuseQueuedCall(now time.Duration, a admission.Refuse) {
	requestID, ok := parseQueueID(a.ID)
	state := e.callState[requestID]
	if !ok || state == nil {
		return
	}
	e.stepCalls(now, call.NonePicked{ID: requestID, Try: state.request.Try, Refusal: a.Refusal})
}

func (e *Entry) releaseTry(now time.Duration, a call.Release) {
	if state := e.callState[a.ID]; state != nil {
		e.endRoute(now, state, a.Try)
	}
}

func (e *Entry) endRoute(now time.Duration, state *callState, try int) {
	if routeID, ok := state.routeIDs[try]; ok {
		delete(state.routeIDs, try)
		e.stepRouter(now, routing.Done{ID: routeID})
	}
}

// handleSendEnded reports the result of a send to the router, and a failed connection or
// lost reply also to the control process.
func (e *Entry) handleSendEnded(now time.Duration, ev call.SendEnded) {
	state := e.callState[ev.ID]
	if state == nil {
		return
	}
	server := state.servers[ev.Try]
	e.endRoute(now, state, ev.Try)
	switch ev.Result {
	case call.Replied:
		e.stepRouter(now, routing.Worked{Server: server})
	case call.NotRunByServer:
		e.stepRouter(now, routing.Failed{Server: server})
	case call.ConnectFailed, call.ReplyLost:
		e.stepRouter(now, routing.Failed{Server: server})
		e.emit(Observed{Observation: peer.BackendObservation{Server: server, Unreachable: ev.Result == call.ConnectFailed}})
	}
}

// finishCall releases the resources of a call after its final reply.
func (e *Entry) finishCall(now time.Duration, id call.RequestID) {
	e.requestClosed(now)
	state, ok := e.callState[id]
	if !ok {
		return
	}
	delete(e.callState, id)
	for try := range state.request.Try + 1 {
		e.endRoute(now, state, try)
	}
	done := admission.Event(admission.Done{ID: queueID(id)})
	if !state.admitted {
		done = admission.GiveUp{ID: queueID(id)}
	}
	e.handleQueueActions(now, e.queue.Step(now, done))
}
