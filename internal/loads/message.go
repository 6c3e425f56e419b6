package loads

import "time"

// Of says whose work a Message tells.
type Scope uint8

// The kinds of messages.
const (
	// OfVM is the sender's own work, for the head of its failure domain.
	ScopeVM Scope = iota
	// OfDomain is a failure domain's sum, for the other heads.
	ScopeDomain
	// OfAll is the sum of all failure domains, for the members of the sender's.
	ScopeAll
)

// Message tells work in progress.
type Message struct {
	From   string             `cbor:"1,keyasint"`
	Domain string             `cbor:"2,keyasint"`
	Scope  Scope              `cbor:"3,keyasint"`
	Seq    uint64             `cbor:"4,keyasint"`
	Loads  map[Key]PackedLoad `cbor:"5,keyasint"`
	// Lost holds servers that were found dead, with the age of the finding.
	Lost map[Key]time.Duration `cbor:"6,keyasint,omitempty"`
	// Failing holds servers at which a request failed, with the age of the finding.
	Failing map[Key]time.Duration `cbor:"8,keyasint,omitempty"`
	// Slow holds servers that said lately that they are slow, or no longer are.
	Slow map[Key]Slow `cbor:"7,keyasint,omitempty"`
}

// Slow is a server's word of its pace.
type Slow struct {
	_       struct{} `cbor:",toarray"`
	Percent uint16   // of the time that its card needs
	Age     time.Duration
}

type slowAt struct {
	percent uint16
	at      time.Duration
}

// News is what a message newly says of servers.
type Findings struct {
	Lost, Failing []Key
	// Slow is how many times longer than its card a server takes.
	Slow map[Key]float64
}

// Packed is a Load in a message: streams, firsts and thousands of tokens x layers,
// in about ten bytes with its key. A VM's messages go by the number of servers.
type PackedLoad [3]uint32

// packedTokens is the unit of tokens x layers in a message: a request's size.
const packedTokens = 1000

func pack(in map[Key]Load) map[Key]PackedLoad {
	out := make(map[Key]PackedLoad, len(in))
	for k, l := range in {
		out[k] = PackedLoad{whole(l.Streams), whole(l.FirstStage), whole(l.TokenLayers / packedTokens)}
	}
	return out
}

func whole(x float64) uint32 { return uint32(max(0, x) + 0.5) }

func unpack(in map[Key]PackedLoad) map[Key]Load {
	out := make(map[Key]Load, len(in))
	for k, p := range in {
		out[k] = Load{Streams: float64(p[0]), FirstStage: float64(p[1]), TokenLayers: packedTokens * float64(p[2])}
	}
	return out
}
