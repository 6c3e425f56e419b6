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

// maxLineBytes bounds the length of a line of a trace.
const maxLineBytes = 16 << 20

// Format is the version of the trace format that this package writes.
const Format = 1

// Header is the first line of a trace.
type Header struct {
	Format int    `json:"format"`
	Core   string `json:"core"`
	// Description states the injected failure and the rule that the trace tests.
	Description string `json:"about,omitempty"`
	// Config is the core's configuration.
	Config json.RawMessage `json:"config"`
	// Outcomes are the expected outcomes of a replay.
	Outcomes []ExpectedOutcome `json:"outcomes,omitempty"`
}

// ExpectedOutcome is the number of actions of a kind that a replay must produce.
type ExpectedOutcome struct {
	Kind string `json:"kind"`
	// Where restricts the count to actions whose fields have these values.
	Where map[string]any `json:"where,omitempty"`
	// Count is the exact number of such actions.
	Count int `json:"count"`
}

// Step is one step of a core: an event at time At and the resulting actions.
type Step struct {
	At      time.Duration `json:"at"`
	Event   Item          `json:"event"`
	Actions []Item        `json:"actions,omitempty"`
}

// Item is an encoded event or action with the name of its type.
type Item struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// renamedPackages maps old package names to the current ones. Kinds in traces recorded
// before a rename contain the old name.
var renamedPackages = map[string]string{"platform": "store"}

// currentKind returns the current name of a recorded kind.
func currentKind(kind string) string {
	pkg, name, ok := strings.Cut(kind, ".")
	if newName, renamed := renamedPackages[pkg]; ok && renamed {
		return newName + "." + name
	}
	return kind
}

// UnmarshalJSON decodes an item and updates its kind to the current name.
func (i *Item) UnmarshalJSON(text []byte) error {
	type plain Item
	if err := json.Unmarshal(text, (*plain)(i)); err != nil {
		return err
	}
	i.Kind = currentKind(i.Kind)
	return nil
}

// UnmarshalJSON decodes an expected outcome and updates its kind to the current name.
func (o *ExpectedOutcome) UnmarshalJSON(text []byte) error {
	type plain ExpectedOutcome
	if err := json.Unmarshal(text, (*plain)(o)); err != nil {
		return err
	}
	o.Kind = currentKind(o.Kind)
	return nil
}

// ErrUnknownKind is returned for a kind that is not registered.
var ErrUnknownKind = errors.New("unknown kind")

// Registry holds the event types that may occur in a trace, by kind.
type Registry struct {
	types map[string]reflect.Type
}

// NewRegistry returns a registry of the samples' types.
func NewRegistry(samples ...any) *Registry {
	r := &Registry{types: make(map[string]reflect.Type, len(samples))}
	for _, s := range samples {
		r.types[Kind(s)] = reflect.TypeOf(s)
	}
	return r
}

// Kind returns the name of a value's type: "package.Type".
func Kind(v any) string {
	return reflect.TypeOf(v).String()
}

// Decode decodes an item into a value of its registered type.
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

func encodeItem(v any) (Item, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return Item{}, errors.Wrapf(err, "encode %q", Kind(v))
	}
	return Item{Kind: Kind(v), Body: body}, nil
}

// Recorder writes a trace. It must only be used from the goroutine of its core.
type Recorder struct {
	out *json.Encoder
}

// NewRecorder returns a recorder and writes the header with the core's name and
// configuration.
func NewRecorder(w io.Writer, core string, config any) (*Recorder, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, errors.Wrap(err, "encode the core's configuration")
	}
	r := &Recorder{out: json.NewEncoder(w)}
	err = r.out.Encode(Header{Format: Format, Core: core, Config: raw})
	return r, errors.Wrap(err, "write the trace's header")
}

// Record writes one step to the trace.
func Record[A any](r *Recorder, now time.Duration, event any, actions []A) error {
	in, err := encodeItem(event)
	if err != nil {
		return err
	}
	step := Step{At: now, Event: in}
	for _, a := range actions {
		out, err := encodeItem(a)
		if err != nil {
			return err
		}
		step.Actions = append(step.Actions, out)
	}
	return errors.Wrap(r.out.Encode(step), "write a step")
}

// Reader reads a trace line by line.
type Reader struct {
	Header     Header
	lines      *bufio.Scanner
	lineNumber int
}

// NewReader returns a reader and reads the header. The error is io.EOF if the trace is
// empty.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{lines: bufio.NewScanner(in)}
	r.lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	if err := r.decodeLine(&r.Header); err != nil {
		return nil, err
	}
	if r.Header.Format != Format {
		return nil, errors.Newf("trace line 1: unsupported format %d, must be %d: record the trace again with this version",
			r.Header.Format, Format)
	}
	return r, nil
}

// Next returns the next step, or io.EOF at the end of the trace.
func (r *Reader) Next() (Step, error) {
	var s Step
	err := r.decodeLine(&s)
	return s, err
}

func (r *Reader) decodeLine(out any) error {
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return errors.Wrapf(err, "trace after line %d", r.lineNumber)
		}
		return io.EOF
	}
	r.lineNumber++
	err := json.Unmarshal(r.lines.Bytes(), out)
	return errors.Wrapf(err, "trace line %d is not a valid JSON object", r.lineNumber)
}
