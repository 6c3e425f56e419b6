package backend

// ID identifies a backend server. It may stay the same across restarts; StartedMs
// distinguishes the incarnations.
type ID string

// Layers is a range of a model's layers, From inclusive, To exclusive.
type Layers struct{ From, To int }

// Len returns the number of layers.
func (l Layers) Len() int { return max(0, l.To-l.From) }

// Contains reports whether l contains all of other.
func (l Layers) Contains(other Layers) bool { return l.From <= other.From && other.To <= l.To }

// State is the state in a backend server's record.
type State uint8

// The states of a backend server.
const (
	Ready State = iota + 1
	// Draining servers must get no new requests.
	Draining
)

// Record is a backend server's record in the store.
type Record struct {
	ID      ID
	Service string
	Addr    string
	Domain  string
	// Accelerator is the accelerator type; empty for plain services.
	Accelerator string
	// Slots is the number of requests that the server runs at once.
	Slots int
	State State
	// StartedMs is the start of this incarnation, in Unix milliseconds of the server's
	// clock.
	StartedMs int64
	// Held is the range of layers that the server has loaded; empty for plain services.
	Held Layers
	// Revision is the store revision at which the record was written.
	Revision uint64
}

// Instance identifies one incarnation of a backend server.
type Instance struct {
	ID        ID
	StartedMs int64
}

// Instance returns the incarnation that the record describes.
func (r Record) Instance() Instance { return Instance{ID: r.ID, StartedMs: r.StartedMs} }
