package router

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/catkinstair/catkinstair/internal/classes"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
)

// setClass sets the class of a request to a service whose routes or teams differ in priority.
func (x *exchange) setClass(receivedAt time.Duration) {
	x.r.locked(func() {
		x.req.Class = x.r.core.Classes.NewRequest(receivedAt, x.req.ID, x.req.Route, x.team, x.req.Service.Name, x.deadline-receivedAt)
	})
	if x.req.Class != nil {
		x.req.Class.PromptTokens, x.req.Class.Tokens = x.req.PromptTokens, x.req.PromptTokens+x.req.AnswerTokens
	}
}

// urgency returns the urgency of the request for its servers.
func (x *exchange) urgency() int {
	if x.req.Class == nil {
		return platform.UrgencyUnset
	}
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	return x.r.core.Classes.Urgency(x.r.clock.now(), x.req.Class, x.req.Begun)
}

// recordClass updates the metrics of a request's class with the result of a choice. The
// caller holds Router.mu.
func (x *exchange) recordClass(started bool) {
	if x.req.Class == nil {
		return
	}
	if started && !x.started {
		x.started = true
		classCounter("catkin_router_class_started_total", x.req.Class).Inc()
	}
	short := x.r.core.Classes.Shortness(x.r.clock.now(), x.req.Class.Service)
	metrics.GetOrCreateGauge(`catkin_router_capacity_short{service="`+x.req.Class.Service+`"}`, nil).Set(short)
}

// chooseOrWaitByClass is chooseOrWait for the first send of a request to a service with
// several classes. While requests of at least its urgency wait, a new one does not try before
// them.
func (x *exchange) chooseOrWaitByClass() (*dispatch.Choice, *verdict.Refusal) {
	mayTry := false
	x.r.locked(func() { mayTry = x.r.core.Classes.MayTry(x.r.clock.now(), x.req.Class) })
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Cause: verdict.CauseNoCapacity, RetryAfter: x.r.cfg.Dispatch.RetryAfter, Detail: "other requests wait for capacity"}
	if mayTry {
		var ch *dispatch.Choice
		ch, refusal = x.choose()
		if refusal != nil && lacksServers(refusal.Cause) {
			ch, refusal = x.awaitRecords(refusal)
		}
		if refusal == nil || refusal.Cause != verdict.CauseNoCapacity {
			return ch, refusal
		}
	}
	return x.awaitCapacityByClass(refusal)
}

// awaitCapacityByClass waits while the request can still meet its objective, and calls choose
// again while it goes first of those that wait.
func (x *exchange) awaitCapacityByClass(refusal *verdict.Refusal) (*dispatch.Choice, *verdict.Refusal) {
	r := x.r
	var w *classes.Waiter
	var reason string
	began := r.clock.now()
	r.locked(func() { w, reason = r.core.Classes.Join(began, x.req.Class, len(x.ctx.Request.Body())) })
	if w == nil {
		refusal.Detail = joinDetails(refusal.Detail, reason)
		return nil, refusal
	}
	classCounter("catkin_router_class_waited_total", x.req.Class).Inc()
	defer func() {
		x.waited = r.clock.now() - began
		r.locked(func() { r.core.Classes.Leave(r.clock.now(), w) })
	}()
	timeout := time.NewTimer(w.StartBy - began)
	defer timeout.Stop()
	retryTicker := time.NewTicker(r.cfg.WaitQueue.RetryInterval)
	defer retryTicker.Stop()
	for {
		select {
		case <-timeout.C:
			return nil, refusal
		case <-x.callerCtx.Done():
			return nil, refusal
		case <-w.Wake:
		case <-retryTicker.C:
		}
		isHead, evicted := false, false
		r.locked(func() { isHead, evicted = r.core.Classes.IsHead(r.clock.now(), w), w.Evicted })
		if evicted {
			refusal.Detail = joinDetails(refusal.Detail, "a more urgent request took its place")
			return nil, refusal
		}
		if !isHead {
			continue
		}
		var ch *dispatch.Choice
		if ch, refusal = x.choose(); refusal == nil || refusal.Cause != verdict.CauseNoCapacity {
			r.log.Info().Str("request", x.req.ID).Int("class", x.req.Class.Rank).Dur("after", time.Since(x.receivedAt)).Bool("room", refusal == nil).Msg("waited for room")
			return ch, refusal
		}
	}
}

func joinDetails(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}

// refuseByClass counts the refusal of a request with a class, sets its Retry-After, and adds
// the class and the wait to the log line.
func (x *exchange) refuseByClass(logLine *zerolog.Event, refusal *verdict.Refusal) *zerolog.Event {
	if x.req.Class == nil {
		return logLine
	}
	x.r.locked(func() { x.r.core.RefuseByClass(x.r.clock.now(), &x.req, refusal) })
	classCounter("catkin_router_class_refused_total", x.req.Class).Inc()
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	return logLine.Str("route", x.req.Route.Name).Str("team", team).Int("class", x.req.Class.Rank).Dur("waited", x.waited)
}

func classCounter(name string, r *classes.Request) *metrics.Counter {
	return metrics.GetOrCreateCounter(name + `{class="` + strconv.Itoa(r.Rank) + `"}`)
}

// logCorrections logs the invalid priorities and objectives of a configuration, once for each
// route and team of a version. The caller holds mu.
func (r *Router) logCorrections(version int64) {
	for _, c := range r.core.Corrections() {
		r.metrics.configCorrections.Inc()
		r.log.Warn().Int64("version", version).Str("route", c.Route).Str("team", c.Team).Str("reason", c.Reason).
			Msg("configuration: invalid value; its requests get the default class")
	}
}
