package backend

// ID names one backend server. A restart may keep it; Born tells the lives
// apart.
type ID string

// Layers is a half-open range of a model's layers.
type Layers struct{ From, To int }

// Len is the number of layers.
func (l Layers) Len() int { return max(0, l.To-l.From) }

// Holds reports whether l holds all of other.
func (l Layers) Contains(other Layers) bool { return l.From <= other.From && other.To <= l.To }

// Life says what a backend server announces of itself.
type State uint8

// The lives.
const (
	Ready State = iota + 1
	// Draining servers take no new request.
	Draining
)

// Record is what a backend server says of itself in the store.
type Record struct {
	ID      ID
	Service string
	Addr    string
	Domain  string
	// Card is the kind of accelerator; empty for plain services.
	Accelerator string
	Slots       int
	State       State
	// Born is the start of this life, in Unix milliseconds by the server's clock.
	StartedMs int64
	Held      Layers
	// Revision is the store's, at which the record was written.
	Revision uint64
}

// Instance is one life of a backend server.
type Instance struct {
	ID        ID
	StartedMs int64
}

// Instance returns the life that the record speaks of.
func (r Record) Instance() Instance { return Instance{ID: r.ID, StartedMs: r.StartedMs} }
