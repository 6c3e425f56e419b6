package detector

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// Server is one incarnation of a backend server.
type Server struct {
	backend.Instance
	Service, Domain, Addr string
}

// Kind is the kind of evidence that a server is lost.
type Kind uint8

// The kinds of evidence.
const (
	// Refusal is a refused request or order that names the server.
	Refusal Kind = iota
	// Silence is a stream through the server that is silent for longer than usual.
	Silence
	// WatchClosed is the end of a watch connection.
	WatchClosed
	// Reset is a connection to the server that was reset or could not be opened.
	Reset
	// Neighbor is another VM's finding.
	Neighbor
	// Report is the report of a first server that waits for the server.
	Report
	numKinds
)

// Kinds lists all kinds of evidence.
func Kinds() []Kind { return []Kind{Refusal, Silence, WatchClosed, Reset, Neighbor, Report} }

func (k Kind) String() string {
	names := [numKinds]string{"refusal", "silence", "watch", "reset", "neighbor", "report"}
	if k < numKinds {
		return names[k]
	}
	return "unknown"
}

// weak reports whether servers that are up often cause evidence of the kind.
func (k Kind) weak() bool { return k == Refusal || k == Silence }

// kindSet is a set of kinds of evidence.
type kindSet uint8

func (s kindSet) with(k Kind) kindSet { return s | 1<<k }
func (s kindSet) has(k Kind) bool     { return s&(1<<k) != 0 }

// allWeak reports whether the set has weak kinds only.
func (s kindSet) allWeak() bool { return s&^(1<<Refusal|1<<Silence) == 0 }

// Evidence is a sign that a server may be lost.
type Evidence struct {
	Server Server
	Kind   Kind
}

// Outcome is the result of a try to open a connection.
type Outcome uint8

// The outcomes of a try.
const (
	Opened Outcome = iota
	Refused
	// Unanswered means that nothing arrived within the timeout of the try.
	Unanswered
	// Inconclusive means that the try failed for a reason of this VM, such as a lack of
	// ports.
	Inconclusive
)

// Try is a connection to open and to close at once.
type Try struct {
	ID      uint64
	Server  Server
	Timeout time.Duration
	// Witness is set if the server is asked as a witness of another one's check.
	Witness bool
}

// Result is what a check found.
type Result uint8

// The results of checks.
const (
	// Alive means that the server accepted a connection or that a stream through it goes on.
	Alive Result = iota
	// Lost means that the server refuses connections.
	Lost
	// Dark means that the server answers nothing.
	Dark
	// Stalled means that the server accepts connections, but that another VM has found it lost
	// and the streams of this one through it are silent: its process may hang.
	Stalled
	// Unwitnessed means that no other server answered either: this VM's links may be cut.
	Unwitnessed
	// Undecided means that there was no usable result, or that the budget allowed no check.
	Undecided
	numResults
)

// Results lists all results of checks.
func Results() []Result { return []Result{Alive, Lost, Dark, Stalled, Unwitnessed, Undecided} }

func (r Result) String() string {
	names := [numResults]string{"alive", "lost", "dark", "stalled", "unwitnessed", "undecided"}
	if r < numResults {
		return names[r]
	}
	return "unknown"
}

// Gone reports whether streams have to leave the server.
func (r Result) Gone() bool { return r == Lost || r == Dark || r == Stalled }

// Verdict is the result of a check.
type Verdict struct {
	Server Server
	Result Result
	// Kind is the kind of the first evidence, which arrived at EvidenceAt.
	Kind       Kind
	EvidenceAt time.Duration
	// Witness is the server that answered instead; "" if none was needed.
	Witness backend.ID
	// FromNeighbor is set if another VM has reported the loss as well.
	FromNeighbor bool
}
