// Package replay runs recorded traces of the processes through today's cores
// and holds them to the stated outcomes and to the rules.
package replay

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/rules"
	"github.com/catkinstair/catkinstair/internal/trace"
)

// Names of the cores in a trace's header.
const (
	CoreEntry   = "entry"
	CoreControl = "control"
)

// Result is what a replay showed.
type Result struct {
	trace.Result
	// Judged counts, by rule, what was held to it.
	Checked map[string]int `json:"judged,omitempty"`
	// Violations lists what broke a rule.
	Violations []string `json:"violations,omitempty"`
}

// OK reports whether every stated outcome came about and no rule was broken.
func (r Result) OK() bool { return len(r.Failed) == 0 && len(r.Violations) == 0 }

// stepper adapts a core to a replay.
type stepper func(now time.Duration, event any) []any

// Step implements trace.Stepper.
func (f stepper) Step(now time.Duration, event any) []any { return f(now, event) }

// Run replays a trace through today's core.
func Run(in io.Reader) (trace.Header, Result, error) {
	reader, err := trace.NewReader(in)
	if err != nil {
		return trace.Header{}, Result{}, err
	}
	registry, core, checkers, err := Rebuild(reader.Header)
	if err != nil {
		return reader.Header, Result{}, err
	}
	replayed, err := trace.Replay(reader, registry, core, func(now time.Duration, event any, actions []any) {
		for _, c := range checkers {
			c.Observe(now, event, actions)
		}
	})
	return reader.Header, judge(replayed, checkers), err
}

// File replays a trace file; a name that ends in .gz is read through gzip.
func RunFile(name string) (trace.Header, Result, error) {
	file, err := os.Open(name)
	if err != nil {
		return trace.Header{}, Result{}, errors.Wrap(err, "trace")
	}
	defer func() { _ = file.Close() }()
	if !strings.HasSuffix(name, ".gz") {
		return Run(file)
	}
	in, err := gzip.NewReader(file)
	if err != nil {
		return trace.Header{}, Result{}, errors.Wrapf(err, "%s is not a gzip file", name)
	}
	return Run(in)
}

func judge(replayed trace.Result, checkers []rules.Checker) Result {
	result := Result{Result: replayed, Checked: map[string]int{}}
	for _, c := range checkers {
		c.Finish()
		result.Checked[c.Name()] = c.Checked()
		result.Violations = append(result.Violations, c.Violations()...)
	}
	return result
}

// Rebuild makes the core that a trace's header names, and checkers of the
// rules that it is held to. Settings that are newer than the trace keep their
// defaults.
func Rebuild(header trace.Header) (*trace.Registry, trace.Stepper, []rules.Checker, error) {
	switch header.Core {
	case CoreEntry:
		cfg := node.DefaultEntryConfig(node.EntrySettings{})
		if err := json.Unmarshal(header.Config, &cfg); err != nil {
			return nil, nil, nil, errors.Wrap(err, "the trace's configuration")
		}
		core, err := node.NewEntry(cfg)
		if err != nil {
			return nil, nil, nil, err
		}
		return trace.NewRegistry(node.EntryEvents()...), steps(core.Step), rules.EntryCheckers(), nil
	case CoreControl:
		cfg := node.DefaultControlConfig(node.ControlSettings{})
		if err := json.Unmarshal(header.Config, &cfg); err != nil {
			return nil, nil, nil, errors.Wrap(err, "the trace's configuration")
		}
		core, err := node.NewControl(cfg)
		if err != nil {
			return nil, nil, nil, err
		}
		return trace.NewRegistry(node.ControlEvents()...), steps(core.Step), rules.ControlCheckers(), nil
	}
	return nil, nil, nil, errors.Newf("the trace is of core %q: want %s or %s", header.Core, CoreEntry, CoreControl)
}

func steps(step func(time.Duration, node.Event) []node.Action) stepper {
	return func(now time.Duration, event any) []any {
		actions := step(now, event)
		out := make([]any, len(actions))
		for i, a := range actions {
			out[i] = a
		}
		return out
	}
}
