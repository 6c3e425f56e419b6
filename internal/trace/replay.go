package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
)

// Stepper is a core under replay: it takes an event and returns actions.
type Stepper interface {
	Step(now time.Duration, event any) []any
}

// Result is what a replay showed.
type Result struct {
	// Steps is the number of events replayed.
	Steps int `json:"steps"`
	// Diverged counts steps whose actions differ from the recorded ones.
	Diverged int `json:"diverged"`
	// FirstDivergence says where the first difference stands; empty for none.
	FirstDivergence string `json:"first_divergence,omitempty"`
	// Failed lists the stated outcomes that did not come about.
	Failed []string `json:"failed,omitempty"`
	// Actions counts today's actions by kind.
	Actions map[string]int `json:"actions"`
}

// Replay runs the rest of a trace through core and checks the header's
// outcomes. observe, where not nil, sees every event and its actions.
func Replay(r *Reader, reg *Registry, core Stepper, observe func(now time.Duration, event any, actions []any)) (Result, error) {
	result := Result{Actions: map[string]int{}}
	counts := make([]int, len(r.Header.Outcomes))
	for {
		step, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return result, err
		}
		event, err := reg.Decode(step.Event)
		if err != nil {
			return result, errors.Wrapf(err, "trace line %d", r.line)
		}
		actions := core.Step(step.At, event)
		if observe != nil {
			observe(step.At, event, actions)
		}
		if err := result.add(step, actions, r.Header.Outcomes, counts, r.line); err != nil {
			return result, err
		}
	}
	result.judge(r.Header.Outcomes, counts)
	return result, nil
}

func (res *Result) add(step Step, actions []any, outcomes []ExpectedOutcome, counts []int, line int) error {
	res.Steps++
	today := make([]Item, 0, len(actions))
	for _, a := range actions {
		item, err := encode(a)
		if err != nil {
			return err
		}
		today = append(today, item)
		res.Actions[item.Kind]++
		count(item, outcomes, counts)
	}
	if same(step.Actions, today) {
		return nil
	}
	res.Diverged++
	if res.FirstDivergence == "" {
		res.FirstDivergence = fmt.Sprintf("line %d: recorded %s, today %s", line, kinds(step.Actions), kinds(today))
	}
	return nil
}

func (res *Result) judge(outcomes []ExpectedOutcome, counts []int) {
	for i, o := range outcomes {
		if counts[i] != o.Count {
			res.Failed = append(res.Failed, fmt.Sprintf("%s where %v: want %d, got %d", o.Kind, o.Where, o.Count, counts[i]))
		}
	}
}

func count(item Item, outcomes []ExpectedOutcome, counts []int) {
	for i, o := range outcomes {
		if o.Kind == item.Kind && matches(item.Body, o.Where) {
			counts[i]++
		}
	}
}

func matches(body json.RawMessage, where map[string]any) bool {
	if len(where) == 0 {
		return true
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) != nil {
		return false
	}
	for name, want := range where {
		if !reflect.DeepEqual(fields[name], want) {
			return false
		}
	}
	return true
}

func same(a, b []Item) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Kind != b[i].Kind || !bytes.Equal(a[i].Body, b[i].Body) {
			return false
		}
	}
	return true
}

func kinds(items []Item) []string {
	names := make([]string, 0, len(items))
	for _, it := range items {
		names = append(names, it.Kind)
	}
	return names
}
