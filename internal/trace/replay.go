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

// Stepper is a core under replay. Step processes an event and returns its actions.
type Stepper interface {
	Step(now time.Duration, event any) []any
}

// Result is the result of a replay.
type Result struct {
	// Steps is the number of events replayed.
	Steps int `json:"steps"`
	// Diverged is the number of steps whose actions differ from the recorded ones.
	Diverged int `json:"diverged"`
	// FirstDivergence describes the first difference; empty if there is none.
	FirstDivergence string `json:"first_divergence,omitempty"`
	// Failed lists the expected outcomes that the replay did not produce.
	Failed []string `json:"failed,omitempty"`
	// Actions counts the replayed actions by kind.
	Actions map[string]int `json:"actions"`
}

// Replay passes the events of a trace to core and checks the expected outcomes of the
// header. If observe is not nil, it is called with every event and its actions. The error
// is that of a line that can't be decoded or an action that can't be encoded.
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
			return result, errors.Wrapf(err, "trace line %d", r.lineNumber)
		}
		actions := core.Step(step.At, event)
		if observe != nil {
			observe(step.At, event, actions)
		}
		if err := result.addStep(step, actions, r.Header.Outcomes, counts, r.lineNumber); err != nil {
			return result, err
		}
	}
	result.checkOutcomes(r.Header.Outcomes, counts)
	return result, nil
}

func (res *Result) addStep(step Step, actions []any, outcomes []ExpectedOutcome, counts []int, lineNumber int) error {
	res.Steps++
	replayed := make([]Item, 0, len(actions))
	for _, a := range actions {
		item, err := encodeItem(a)
		if err != nil {
			return err
		}
		replayed = append(replayed, item)
		res.Actions[item.Kind]++
		countMatches(item, outcomes, counts)
	}
	if equalItems(step.Actions, replayed) {
		return nil
	}
	res.Diverged++
	if res.FirstDivergence == "" {
		res.FirstDivergence = fmt.Sprintf("line %d: recorded %s, replayed %s", lineNumber, itemKinds(step.Actions), itemKinds(replayed))
	}
	return nil
}

func (res *Result) checkOutcomes(outcomes []ExpectedOutcome, counts []int) {
	for i, o := range outcomes {
		if counts[i] != o.Count {
			res.Failed = append(res.Failed, fmt.Sprintf("%s where %v: expected %d, got %d", o.Kind, o.Where, o.Count, counts[i]))
		}
	}
}

// countMatches adds item to the count of each outcome that it matches.
func countMatches(item Item, outcomes []ExpectedOutcome, counts []int) {
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

func equalItems(a, b []Item) bool {
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

func itemKinds(items []Item) []string {
	names := make([]string, 0, len(items))
	for _, it := range items {
		names = append(names, it.Kind)
	}
	return names
}
