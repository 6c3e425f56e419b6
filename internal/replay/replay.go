// Package replay replays recorded traces of the processes through the current cores and
// checks the expected outcomes and the rules of package rules.
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

// Core names in the header of a trace.
const (
	CoreEntry   = "entry"
	CoreControl = "control"
)

// Result is the result of a replay.
type Result struct {
	trace.Result
	// Checked counts the checks made, by rule.
	Checked map[string]int `json:"judged,omitempty"`
	// Violations lists the violations of rules.
	Violations []string `json:"violations,omitempty"`
}

// OK reports whether every expected outcome occurred and no rule was violated.
func (r Result) OK() bool { return len(r.Failed) == 0 && len(r.Violations) == 0 }

// stepFunc adapts a function to trace.Stepper.
type stepFunc func(now time.Duration, event any) []any

// Step implements trace.Stepper.
func (f stepFunc) Step(now time.Duration, event any) []any { return f(now, event) }

// Run replays a trace through the current core and checks its rules.
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
	return reader.Header, checkRules(replayed, checkers), err
}

// RunFile replays a trace file. A file whose name ends in .gz is decompressed.
func RunFile(name string) (trace.Header, Result, error) {
	file, err := os.Open(name)
	if err != nil {
		return trace.Header{}, Result{}, errors.Wrap(err, "open the trace")
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

func checkRules(replayed trace.Result, checkers []rules.Checker) Result {
	result := Result{Result: replayed, Checked: map[string]int{}}
	for _, c := range checkers {
		c.Finish()
		result.Checked[c.Name()] = c.Checked()
		result.Violations = append(result.Violations, c.Violations()...)
	}
	return result
}

// Rebuild builds the core named in a trace's header, the registry of its events, and the
// checkers of its rules. Settings that are newer than the trace keep their defaults.
func Rebuild(header trace.Header) (*trace.Registry, trace.Stepper, []rules.Checker, error) {
	switch header.Core {
	case CoreEntry:
		cfg := node.DefaultEntryConfig(node.EntrySettings{})
		if err := json.Unmarshal(header.Config, &cfg); err != nil {
			return nil, nil, nil, errors.Wrap(err, "decode the trace's configuration")
		}
		core, err := node.NewEntry(cfg)
		if err != nil {
			return nil, nil, nil, err
		}
		return trace.NewRegistry(node.EntryEvents()...), adaptStep(core.Step), rules.EntryCheckers(), nil
	case CoreControl:
		cfg := node.DefaultControlConfig(node.ControlSettings{})
		if err := json.Unmarshal(header.Config, &cfg); err != nil {
			return nil, nil, nil, errors.Wrap(err, "decode the trace's configuration")
		}
		core, err := node.NewControl(cfg)
		if err != nil {
			return nil, nil, nil, err
		}
		return trace.NewRegistry(node.ControlEvents()...), adaptStep(core.Step), rules.ControlCheckers(), nil
	}
	return nil, nil, nil, errors.Newf("unknown core %q in the trace: must be %s or %s", header.Core, CoreEntry, CoreControl)
}

func adaptStep(step func(time.Duration, node.Event) []node.Action) stepFunc {
	return func(now time.Duration, event any) []any {
		actions := step(now, event)
		out := make([]any, len(actions))
		for i, a := range actions {
			out[i] = a
		}
		return out
	}
}
