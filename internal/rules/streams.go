package rules

import (
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// layerChecker checks that each token sent to a caller passed through all layers
// in order: starting at layer 0, the input of each stage is the output of the previous
// one, and the output of the last layer is the token. The first input of a stream
// is the prompt. If the stream starts over, the tokens already sent follow the prompt.
type layerChecker struct {
	checkerBase
	// inputs and outputs hold the data sent and the result received, by step.
	inputs  map[step]string
	outputs map[step]stream.StepDone
	// ranges holds each stage's first layer and end of layers, by stream.
	ranges map[string]map[int]int
	// modelLayers is the number of layers, by service.
	modelLayers map[string]int
	// offset is the number of answer tokens in the first input, by stream.
	offset map[string]int
	// prompts and emitted hold the prompt and the tokens sent, by request.
	prompts map[string]string
	emitted map[string][]string
}

// step is one token through one range of layers of one stream, in any attempt.
type step struct {
	stream   string
	token    int
	from, to int
}

func newLayerChecker() *layerChecker {
	return &layerChecker{checkerBase: checkerBase{name: "layers-once-in-order"},
		inputs: map[step]string{}, outputs: map[step]stream.StepDone{},
		ranges: map[string]map[int]int{}, modelLayers: map[string]int{},
		offset: map[string]int{}, prompts: map[string]string{}, emitted: map[string][]string{}}
}

// Observe implements Checker.
func (l *layerChecker) Observe(now time.Duration, event any, actions []any) {
	l.observeEvent(event)
	for _, a := range actions {
		switch a := a.(type) {
		case stream.SendStep:
			l.recordStep(now, a)
		case stream.EmitToken:
			l.checkToken(now, a)
			l.emitted[a.Request] = append(l.emitted[a.Request], a.Text)
		}
	}
}

func (l *layerChecker) observeEvent(event any) {
	switch ev := event.(type) {
	case stream.StepDone:
		l.outputs[step{ev.Stream, ev.Token, ev.From, ev.To}] = ev
	case node.CompletionAsked:
		l.prompts[ev.Request] = ev.Prompt
	case node.Snapshot:
		if ev.Reply.Backends == nil {
			return
		}
		for _, s := range ev.Reply.Backends.Servers {
			l.modelLayers[string(s.Service)] = max(l.modelLayers[string(s.Service)], s.LayersTotal)
		}
	}
}

// checkFirstInput checks that the first input of a stream is the prompt, followed by any
// of the tokens already sent in order.
func (l *layerChecker) checkFirstInput(now time.Duration, a stream.SendStep) {
	request := stream.RequestOf(a.Stream)
	rest, ok := strings.CutPrefix(a.Data, l.prompts[request])
	matched := 0
	for ok && rest != "" && matched < len(l.emitted[request]) {
		rest, ok = strings.CutPrefix(rest, l.emitted[request][matched])
		matched++
	}
	if !ok || rest != "" {
		l.addViolation(now, "the first input of stream %s is neither the prompt nor the prompt followed by sent tokens", a.Stream)
	}
	l.offset[a.Stream] = matched
}

func (l *layerChecker) recordStep(now time.Duration, a stream.SendStep) {
	if a.Token == 0 && a.From == 0 {
		l.checkFirstInput(now, a)
	}
	l.inputs[step{a.Stream, a.Token, a.From, a.To}] = a.Data
	if l.ranges[a.Stream] == nil {
		l.ranges[a.Stream] = map[int]int{}
	}
	l.ranges[a.Stream][a.From] = a.To
}

// checkToken checks that one of the request's streams produced the token through
// all its layers.
func (l *layerChecker) checkToken(now time.Duration, a stream.EmitToken) {
	l.checked++
	reason := "no stream of the request produced it"
	for name := range l.ranges {
		if stream.RequestOf(name) != a.Request {
			continue
		}
		failure, ok := l.checkStream(name, a)
		if ok {
			return
		}
		reason = failure
	}
	l.addViolation(now, "token %d of %s: %s", a.Index, a.Request, reason)
}

// checkStream reports whether the stream produced the token, and if not, why.
func (l *layerChecker) checkStream(name string, a stream.EmitToken) (string, bool) {
	layer := 0
	previous := ""
	for {
		to, ok := l.ranges[name][layer]
		if !ok {
			break
		}
		key := step{name, a.Index - l.offset[name], layer, to}
		done, ran := l.outputs[key]
		if !ran {
			return "a range of layers did not run", false
		}
		if layer > 0 && l.inputs[key] != previous {
			return "a stage's input is not the output of the stage before it", false
		}
		previous = done.Data
		layer = to
	}
	if previous != a.Text {
		return "the text is not the output of the last stage", false
	}
	return "", layer > 0 && l.isLayerCount(layer)
}

// isLayerCount reports whether a model has that many layers.
func (l *layerChecker) isLayerCount(layer int) bool {
	for _, total := range l.modelLayers {
		if total == layer {
			return true
		}
	}
	return false
}

// answerChecker checks that no completion ends twice and that a finished answer has
// every token in order.
type answerChecker struct {
	checkerBase
	tokens map[string]int // request -> tokens
	ended  map[string]bool
}

func newAnswerChecker() *answerChecker {
	return &answerChecker{checkerBase: checkerBase{name: "whole-answers"}, tokens: map[string]int{}, ended: map[string]bool{}}
}

// Observe implements Checker.
func (c *answerChecker) Observe(now time.Duration, event any, actions []any) {
	if completion, ok := event.(node.CompletionAsked); ok {
		c.tokens[completion.Request] = 0
	}
	for _, a := range actions {
		switch a := a.(type) {
		case stream.EmitToken:
			c.checkToken(now, a)
		case stream.Finish:
			if a.Tokens != c.tokens[a.Request] {
				c.addViolation(now, "%s finished with %d tokens, but %d were sent", a.Request, a.Tokens, c.tokens[a.Request])
			}
			c.recordEnd(now, a.Request)
		case stream.Cut:
			c.recordEnd(now, a.Request)
		case node.Refused:
			c.recordEnd(now, a.Request)
		}
	}
}

func (c *answerChecker) checkToken(now time.Duration, a stream.EmitToken) {
	emitted, known := c.tokens[a.Request]
	if !known || c.ended[a.Request] {
		c.addViolation(now, "a token was sent for %s, which is not open", a.Request)
		return
	}
	if a.Index != emitted {
		c.addViolation(now, "%s received token %d, expected %d", a.Request, a.Index, emitted)
	}
	c.tokens[a.Request]++
}

func (c *answerChecker) recordEnd(now time.Duration, request string) {
	c.checked++
	if c.ended[request] {
		c.addViolation(now, "%s ended twice", request)
	}
	if _, known := c.tokens[request]; !known {
		c.addViolation(now, "%s ended, but was never requested", request)
	}
	c.ended[request] = true
}

// leavingGrace is how long a backend server may still receive new streams after the
// first event that reports it as leaving.
const leavingGrace = 3 * time.Second

// leavingChecker checks that leaving backend servers receive no new streams.
type leavingChecker struct {
	checkerBase
	leavingSince map[ident.BackendServer]time.Duration
	usedServers  map[string]map[ident.BackendServer]bool // stream -> servers it used
}

func newLeavingChecker() *leavingChecker {
	return &leavingChecker{checkerBase: checkerBase{name: "leaving-gets-no-new-work"},
		leavingSince: map[ident.BackendServer]time.Duration{},
		usedServers:  map[string]map[ident.BackendServer]bool{}}
}

// Observe implements Checker.
func (l *leavingChecker) Observe(now time.Duration, event any, actions []any) {
	l.observeEvent(now, event)
	for _, a := range actions {
		if send, ok := a.(stream.SendStep); ok {
			l.checkStep(now, send)
		}
	}
}

func (l *leavingChecker) observeEvent(now time.Duration, event any) {
	switch ev := event.(type) {
	case stream.StepFailed:
		if ev.Kind == stream.FailureLeaving {
			l.markLeaving(now, ev.Server)
		}
	case node.Snapshot:
		if ev.Reply.Backends == nil {
			return
		}
		for _, s := range ev.Reply.Backends.Servers {
			if s.AcceptsWork {
				delete(l.leavingSince, s.ID)
			} else {
				l.markLeaving(now, s.ID)
			}
		}
	}
}

func (l *leavingChecker) markLeaving(now time.Duration, id ident.BackendServer) {
	if _, ok := l.leavingSince[id]; !ok {
		l.leavingSince[id] = now
	}
}

func (l *leavingChecker) checkStep(now time.Duration, a stream.SendStep) {
	used := l.usedServers[a.Stream]
	if used == nil {
		used = map[ident.BackendServer]bool{}
		l.usedServers[a.Stream] = used
	}
	since, isLeaving := l.leavingSince[a.Server]
	if isLeaving && !used[a.Server] {
		l.checked++
		if now > since+leavingGrace {
			l.addViolation(now, "%s received the new stream %s although leaving since %s", a.Server, a.Stream, since)
		}
	}
	used[a.Server] = true
}

// Finish implements Checker. It counts each server that is leaving at the end as a check.
func (l *leavingChecker) Finish() { l.checked += len(l.leavingSince) }

// forEachNotRunCompletion calls fn for each completion refused or cut as not run.
func forEachNotRunCompletion(actions []any, fn func(request string)) {
	for _, a := range actions {
		switch a := a.(type) {
		case node.Refused:
			if a.Refusal.Verdict == verdict.NotRun {
				fn(a.Request)
			}
		case stream.Cut:
			if a.Refusal.Verdict == verdict.NotRun {
				fn(a.Request)
			}
		}
	}
}
