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

// callWork is what routing and admission hold for one call.
type callWork struct {
	want call.PickReplica
	// admitted is set once limits and queue let the call pass.
	admitted bool
	// routes are the router's numbers by try.
	routes map[int]uint64
	// servers are the replicas by try.
	servers map[int]ident.BackendServer
}

// callPrefix starts the names of calls in the admission queue, which
// completions share.
const callPrefix = "call/"

func queueID(id call.RequestID) string {
	return callPrefix + strconv.FormatUint(uint64(id), 10)
}

func callOf(id string) (call.RequestID, bool) {
	text, ok := strings.CutPrefix(id, callPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return call.RequestID(n), err == nil
}

func (e *Entry) callEvent(now time.Duration, ev call.Event) {
	switch ev := ev.(type) {
	case call.Request:
		if e.refusedCall(ev) {
			return
		}
		e.opened(now)
	case call.SendEnded:
		e.sendEnded(now, ev)
	}
	for _, a := range slices.Clone(e.calls.Step(now, ev)) {
		e.callDo(now, a)
	}
}

// refusedCall refuses a call that no limit allows. A forwarded call was judged
// where it was accepted.
func (e *Entry) refusedCall(ev call.Request) bool {
	if ev.Forwarded != nil {
		return false
	}
	refusal, refused := e.refuseUnready(ev.Team, ev.Service)
	if !refused {
		return false
	}
	if ev.Key != "" && !ev.Idempotent {
		refusal = call.AtLeastMayHaveRun(refusal)
	}
	e.emit(call.Refuse{ID: ev.ID, Refusal: refusal})
	return true
}

func (e *Entry) callDo(now time.Duration, a call.Action) {
	switch a := a.(type) {
	case call.PickReplica:
		e.pickReplica(now, a)
		return
	case call.Release:
		e.released(now, a)
		return
	case call.Answer:
		e.emit(a)
		e.callOver(now, a.ID)
		return
	case call.Refuse:
		e.emit(a)
		e.callOver(now, a.ID)
		return
	}
	e.emit(a)
}

// pickReplica admits a call on its first try, then chooses a replica.
func (e *Entry) pickReplica(now time.Duration, want call.PickReplica) {
	w, ok := e.callWork[want.ID]
	if !ok {
		w = &callWork{routes: map[int]uint64{}, servers: map[int]ident.BackendServer{}}
		e.callWork[want.ID] = w
	}
	w.want = want
	if w.admitted {
		e.route(now, w)
		return
	}
	decision := e.queue.Offer(now, admission.Request{
		ID: queueID(want.ID), Team: want.Team, Service: want.Service, Cost: 1,
		Deadline: want.Deadline, ExpectedDuration: e.cfg.CallTime,
	})
	switch decision.Outcome {
	case admission.Admitted:
		w.admitted = true
		e.route(now, w)
	case admission.Refused:
		e.callEvent(now, call.NonePicked{ID: want.ID, Try: want.Try, Refusal: decision.Refusal})
	}
}

// route chooses a replica for the try that waits for one.
func (e *Entry) route(now time.Duration, w *callWork) {
	picked, ok := e.router.Pick(now, routing.Request{Service: w.want.Service, Exclude: w.want.Exclude})
	if !ok || len(picked.Stages) != 1 {
		if ok {
			e.routeEvent(now, routing.Done{ID: picked.ID})
		}
		e.callEvent(now, call.NonePicked{ID: w.want.ID, Try: w.want.Try, Refusal: verdict.Refusal{
			Verdict: verdict.NotRun, Cause: verdict.CauseNoBackend, RetryAfter: time.Second,
			Detail: "no replica of " + string(w.want.Service) + " takes work"}})
		return
	}
	w.routes[w.want.Try] = picked.ID
	w.servers[w.want.Try] = picked.Stages[0].Server
	e.callEvent(now, call.Picked{ID: w.want.ID, Try: w.want.Try, Server: picked.Stages[0].Server})
}

func (e *Entry) callAdmitted(now time.Duration, id string) {
	request, ok := callOf(id)
	w := e.callWork[request]
	if !ok || w == nil {
		e.queueDo(now, e.queue.Step(now, admission.Done{ID: id}))
		return
	}
	w.admitted = true
	e.route(now, w)
}

func (e *Entry) callRefused(now time.Duration, a admission.Refuse) {
	request, ok := callOf(a.ID)
	w := e.callWork[request]
	if !ok || w == nil {
		return
	}
	e.callEvent(now, call.NonePicked{ID: request, Try: w.want.Try, Refusal: a.Refusal})
}

func (e *Entry) released(now time.Duration, a call.Release) {
	if w := e.callWork[a.ID]; w != nil {
		e.endRoute(now, w, a.Try)
	}
}

func (e *Entry) endRoute(now time.Duration, w *callWork, try int) {
	if route, ok := w.routes[try]; ok {
		delete(w.routes, try)
		e.routeEvent(now, routing.Done{ID: route})
	}
}

// sendEnded tells the router what a send says about its replica.
func (e *Entry) sendEnded(now time.Duration, ev call.SendEnded) {
	w := e.callWork[ev.ID]
	if w == nil {
		return
	}
	server := w.servers[ev.Try]
	e.endRoute(now, w, ev.Try)
	switch ev.Result {
	case call.Replied:
		e.routeEvent(now, routing.Worked{Server: server})
	case call.NotRunByServer:
		e.routeEvent(now, routing.Failed{Server: server})
	case call.ConnectFailed, call.ReplyLost:
		e.routeEvent(now, routing.Failed{Server: server})
		e.emit(Observed{Observation: peer.BackendObservation{Server: server, Unreachable: ev.Result == call.ConnectFailed}})
	}
}

// callOver frees what a call holds, once it has its final answer.
func (e *Entry) callOver(now time.Duration, id call.RequestID) {
	e.closed(now)
	w, ok := e.callWork[id]
	if !ok {
		return
	}
	delete(e.callWork, id)
	for try := range w.want.Try + 1 {
		e.endRoute(now, w, try)
	}
	done := admission.Event(admission.Done{ID: queueID(id)})
	if !w.admitted {
		done = admission.GiveUp{ID: queueID(id)}
	}
	e.queueDo(now, e.queue.Step(now, done))
}
