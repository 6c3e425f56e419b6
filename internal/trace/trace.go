// Package trace records what a core took in and gave out, as JSON lines, and
// replays a record through today's core.
//
// The first line is a Header: which core, its configuration, and the outcomes
// that any replay must show. Every later line is a Step: the time, the event
// and the actions. Cores are plain state machines, so a replay of the same
// events at the same times is exact.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line of a trace, in bytes.
const maxLine = 16 << 20

// Format is the version of the trace format that this package writes.
const Format = 1

// Header is a trace's first line.
type Header struct {
	Format int    `json:"format"`
	Core   string `json:"core"`
	// About says in a sentence which failure was made and which rule is shown.
	Description string `json:"about,omitempty"`
	// Config is the core's configuration.
	Config json.RawMessage `json:"config"`
	// Outcomes are what a replay must show.
	Outcomes []ExpectedOutcome `json:"outcomes,omitempty"`
}

// Outcome states how many actions of a kind a replay must show, of those whose
// named fields have the stated values.
type ExpectedOutcome struct {
	Kind string `json:"kind"`
	// Where restricts the count to actions whose fields have these values.
	Where map[string]any `json:"where,omitempty"`
	// Count is the number of such actions.
	Count int `json:"count"`
}

// Step is one step of a core.
type Step struct {
	At      time.Duration `json:"at"`
	Event   Item          `json:"event"`
	Actions []Item        `json:"actions,omitempty"`
}

// Item is an event or an action with the name of its type.
type Item struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// movedPackages are packages that were renamed since traces were recorded: the
// kinds in old traces name them as they were.
var movedPackages = map[string]string{"platform": "store"}

// currentKind is the present name of a recorded kind.
func currentKind(kind string) string {
	pkg, name, ok := strings.Cut(kind, ".")
	if now, moved := movedPackages[pkg]; ok && moved {
		return now + "." + name
	}
	return kind
}

// UnmarshalJSON reads an item with the present name of its kind.
func (i *Item) UnmarshalJSON(text []byte) error {
	type plain Item
	if err := json.Unmarshal(text, (*plain)(i)); err != nil {
		return err
	}
	i.Kind = currentKind(i.Kind)
	return nil
}

// UnmarshalJSON reads an outcome with the present name of its kind.
func (o *ExpectedOutcome) UnmarshalJSON(text []byte) error {
	type plain ExpectedOutcome
	if err := json.Unmarshal(text, (*plain)(o)); err != nil {
		return err
	}
	o.Kind = currentKind(o.Kind)
	return nil
}

// ErrUnknownKind is returned for a kind that the registry does not hold.
var ErrUnknownKind = errors.New("unknown kind")

// Registry knows the types that may stand in a trace.
type Registry struct {
	types map[string]reflect.Type
}

// NewRegistry returns a registry of the samples' types, each named
// "package.Type".
func NewRegistry(samples ...any) *Registry {
	r := &Registry{types: make(map[string]reflect.Type, len(samples))}
	for _, s := range samples {
		r.types[Kind(s)] = reflect.TypeOf(s)
	}
	return r
}

// Kind is the name of a value's type: "package.Type".
func Kind(v any) string {
	return reflect.TypeOf(v).String()
}

// Decode turns an item back into a value of its type.
func (r *Registry) Decode(item Item) (any, error) {
	t, ok := r.types[item.Kind]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownKind, "%q", item.Kind)
	}
	p := reflect.New(t)
	if err := json.Unmarshal(item.Body, p.Interface()); err != nil {
		return nil, errors.Wrapf(err, "body of %q", item.Kind)
	}
	return p.Elem().Interface(), nil
}

func encode(v any) (Item, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return Item{}, errors.Wrapf(err, "encode %q", Kind(v))
	}
	return Item{Kind: Kind(v), Body: body}, nil
}

// Recorder writes a trace. It is used from the goroutine of one core.
type Recorder struct {
	out *json.Encoder
}

// NewRecorder writes the header for a core and its configuration.
func NewRecorder(w io.Writer, core string, config any) (*Recorder, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, errors.Wrap(err, "encode the core's configuration")
	}
	r := &Recorder{out: json.NewEncoder(w)}
	err = r.out.Encode(Header{Format: Format, Core: core, Config: raw})
	return r, errors.Wrap(err, "write the trace's header")
}

// Record writes one step.
func Record[A any](r *Recorder, now time.Duration, event any, actions []A) error {
	in, err := encode(event)
	if err != nil {
		return err
	}
	step := Step{At: now, Event: in}
	for _, a := range actions {
		out, err := encode(a)
		if err != nil {
			return err
		}
		step.Actions = append(step.Actions, out)
	}
	return errors.Wrap(r.out.Encode(step), "write a step")
}

// Reader reads a trace line by line.
type Reader struct {
	Header Header
	lines  *bufio.Scanner
	line   int
}

// NewReader reads the header.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{lines: bufio.NewScanner(in)}
	r.lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	if err := r.next(&r.Header); err != nil {
		return nil, err
	}
	if r.Header.Format != Format {
		return nil, errors.Newf("trace line 1: format is %d, want %d: record the trace again with this version",
			r.Header.Format, Format)
	}
	return r, nil
}

// Next returns the next step, or io.EOF.
func (r *Reader) Next() (Step, error) {
	var s Step
	err := r.next(&s)
	return s, err
}

func (r *Reader) next(into any) error {
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return errors.Wrapf(err, "trace after line %d", r.line)
		}
		return io.EOF
	}
	r.line++
	err := json.Unmarshal(r.lines.Bytes(), into)
	return errors.Wrapf(err, "trace line %d is not a line of a trace: want a JSON object", r.line)
}
