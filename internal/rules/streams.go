package rules

import (
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/stream"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// layers holds each token that reaches a caller to its way through the layers:
// from layer 0 on, each stage's input is the output of the stage before it, up
// to the last layer, whose output is the token. A stream's first input is the
// prompt, followed by the tokens that the caller has had where the stream starts
// over.
type layers struct {
	base
	// inputs and outputs hold, by step, what was sent and what came back.
	inputs  map[step]string
	outputs map[step]stream.StepDone
	ranges  map[string]map[int]int
	model   map[string]int
	// offset is, by stream, the number of the answer's tokens in its first input.
	offset  map[string]int
	prompts map[string]string
	emitted map[string][]string
}

// step is one token through one range of layers of one stream, in any attempt.
type step struct {
	stream   string
	token    int
	from, to int
}

func newLayers() *layers {
	return &layers{base: base{name: "layers-once-in-order"}, inputs: map[step]string{}, outputs: map[step]stream.StepDone{},
		ranges: map[string]map[int]int{}, model: map[string]int{},
		offset: map[string]int{}, prompts: map[string]string{}, emitted: map[string][]string{}}
}

// Observe implements Checker.
func (l *layers) Observe(now time.Duration, event any, actions []any) {
	l.learn(event)
	for _, a := range actions {
		switch a := a.(type) {
		case stream.SendStep:
			l.sent(now, a)
		case stream.EmitToken:
			l.token(now, a)
			l.emitted[a.Request] = append(l.emitted[a.Request], a.Text)
		}
	}
}

func (l *layers) learn(event any) {
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
			l.model[string(s.Service)] = max(l.model[string(s.Service)], s.LayersTotal)
		}
	}
}

// started checks a stream's first input.
func (l *layers) started(now time.Duration, a stream.SendStep) {
	request := stream.RequestOf(a.Stream)
	rest, ok := strings.CutPrefix(a.Data, l.prompts[request])
	given := 0
	for ok && rest != "" && given < len(l.emitted[request]) {
		rest, ok = strings.CutPrefix(rest, l.emitted[request][given])
		given++
	}
	if !ok || rest != "" {
		l.broke(now, "stream %s starts with neither the prompt nor the prompt and the tokens given", a.Stream)
	}
	l.offset[a.Stream] = given
}

func (l *layers) sent(now time.Duration, a stream.SendStep) {
	if a.Token == 0 && a.From == 0 {
		l.started(now, a)
	}
	l.inputs[step{a.Stream, a.Token, a.From, a.To}] = a.Data
	if l.ranges[a.Stream] == nil {
		l.ranges[a.Stream] = map[int]int{}
	}
	l.ranges[a.Stream][a.From] = a.To
}

// token follows a token from the first layer to the last, in whichever of the
// request's streams gave it.
func (l *layers) token(now time.Duration, a stream.EmitToken) {
	l.judged++
	reason := "no stream of the request ran it"
	for name := range l.ranges {
		if stream.RequestOf(name) != a.Request {
			continue
		}
		why, ok := l.follow(name, a)
		if ok {
			return
		}
		reason = why
	}
	l.broke(now, "token %d of %s: %s", a.Index, a.Request, reason)
}

func (l *layers) follow(name string, a stream.EmitToken) (string, bool) {
	at := 0
	previous := ""
	for {
		to, ok := l.ranges[name][at]
		if !ok {
			break
		}
		key := step{name, a.Index - l.offset[name], at, to}
		done, ran := l.outputs[key]
		if !ran {
			return "a range of layers did not run", false
		}
		if at > 0 && l.inputs[key] != previous {
			return "a stage's input is not the output of the stage before it", false
		}
		previous = done.Data
		at = to
	}
	if previous != a.Text {
		return "the text is not the output of the last stage", false
	}
	return "", at > 0 && l.complete(at)
}

// complete reports whether at is the number of layers of a model.
func (l *layers) complete(at int) bool {
	for _, total := range l.model {
		if total == at {
			return true
		}
	}
	return false
}

// answers holds every completion to one end, and whole answers to every token
// in order.
type answers struct {
	base
	open map[string]int // request -> tokens
	over map[string]bool
}

func newAnswers() *answers {
	return &answers{base: base{name: "whole-answers"}, open: map[string]int{}, over: map[string]bool{}}
}

// Observe implements Checker.
func (w *answers) Observe(now time.Duration, event any, actions []any) {
	if ask, ok := event.(node.CompletionAsked); ok {
		w.open[ask.Request] = 0
	}
	for _, a := range actions {
		switch a := a.(type) {
		case stream.EmitToken:
			w.token(now, a)
		case stream.Finish:
			if a.Tokens != w.open[a.Request] {
				w.broke(now, "%s ended as whole with %d tokens, %d were given", a.Request, a.Tokens, w.open[a.Request])
			}
			w.end(now, a.Request)
		case stream.Cut:
			w.end(now, a.Request)
		case node.Refused:
			w.end(now, a.Request)
		}
	}
}

func (w *answers) token(now time.Duration, a stream.EmitToken) {
	given, asked := w.open[a.Request]
	if !asked || w.over[a.Request] {
		w.broke(now, "a token for %s, which is not open", a.Request)
		return
	}
	if a.Index != given {
		w.broke(now, "%s got token %d, expected %d", a.Request, a.Index, given)
	}
	w.open[a.Request]++
}

func (w *answers) end(now time.Duration, request string) {
	w.judged++
	if w.over[request] {
		w.broke(now, "%s ended twice", request)
	}
	if _, asked := w.open[request]; !asked {
		w.broke(now, "%s ended, nobody asked for it", request)
	}
	w.over[request] = true
}

// leavingGrace is the time in which a leaving backend server may still get new
// work.
const leavingGrace = 3 * time.Second

// leaving holds backend servers that are leaving to getting no new work.
type leaving struct {
	base
	since map[ident.BackendServer]time.Duration
	known map[string]map[ident.BackendServer]bool // stream -> servers it used
}

func newLeaving() *leaving {
	return &leaving{base: base{name: "leaving-gets-no-new-work"}, since: map[ident.BackendServer]time.Duration{},
		known: map[string]map[ident.BackendServer]bool{}}
}

// Observe implements Checker.
func (l *leaving) Observe(now time.Duration, event any, actions []any) {
	l.learn(now, event)
	for _, a := range actions {
		if send, ok := a.(stream.SendStep); ok {
			l.sent(now, send)
		}
	}
}

func (l *leaving) learn(now time.Duration, event any) {
	switch ev := event.(type) {
	case stream.StepFailed:
		if ev.Kind == stream.FailureLeaving {
			l.mark(now, ev.Server)
		}
	case node.Snapshot:
		if ev.Reply.Backends == nil {
			return
		}
		for _, s := range ev.Reply.Backends.Servers {
			if s.AcceptsWork {
				delete(l.since, s.ID)
			} else {
				l.mark(now, s.ID)
			}
		}
	}
}

func (l *leaving) mark(now time.Duration, id ident.BackendServer) {
	if _, ok := l.since[id]; !ok {
		l.since[id] = now
	}
}

func (l *leaving) sent(now time.Duration, a stream.SendStep) {
	used := l.known[a.Stream]
	if used == nil {
		used = map[ident.BackendServer]bool{}
		l.known[a.Stream] = used
	}
	since, isLeaving := l.since[a.Server]
	if isLeaving && !used[a.Server] {
		l.judged++
		if now > since+leavingGrace {
			l.broke(now, "%s got the new stream %s, leaving since %s", a.Server, a.Stream, since)
		}
	}
	used[a.Server] = true
}

// Finish implements Checker: a server that left and got nothing new counts.
func (l *leaving) Finish() { l.judged += len(l.since) }

// refusedCompletions notes which completions were said not to have run.
func refusedCompletions(actions []any, note func(request string)) {
	for _, a := range actions {
		switch a := a.(type) {
		case node.Refused:
			if a.Refusal.Verdict == verdict.NotRun {
				note(a.Request)
			}
		case stream.Cut:
			if a.Refusal.Verdict == verdict.NotRun {
				note(a.Request)
			}
		}
	}
}
