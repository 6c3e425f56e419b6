package loads

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backpressure"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/internal/reach"
	"github.com/catkinstair/catkinstair/internal/wire"
)

// Scope is the set of VMs whose work a Message contains.
type Scope uint8

// The scopes of messages.
const (
	// ScopeVM is the sender's own work, for the aggregator of its failure domain.
	ScopeVM Scope = iota
	// ScopeDomain is the sum of a failure domain, for the other aggregators.
	ScopeDomain
	// ScopeAll is the sum of all failure domains, for the members of the sender's domain.
	ScopeAll
	// ScopeFindings marks a message that carries findings and no work: over the aggregators, or
	// from any VM directly to all others. Builds that do not know it read the findings and
	// ignore the rest.
	ScopeFindings
)

// Message carries work in progress and findings.
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
	// Leaving holds servers that said that they leave, with the age of the finding.
	Leaving map[Key]time.Duration `cbor:"11,keyasint,omitempty"`
	// Slow holds servers whose slowdown factor changed, also back to normal.
	Slow map[Key]Slow `cbor:"7,keyasint,omitempty"`
	// Poison is what the sender knows of prompts that crash servers; nil for nothing.
	Poison *poison.Update `cbor:"9,keyasint,omitempty"`
	// Limits holds the limits of servers that began, changed or ended.
	Limits map[backpressure.Key]backpressure.Shared `cbor:"10,keyasint,omitempty"`
	// CutOff holds the VMs that do not reach the servers of some services.
	CutOff map[string]reach.Cut `cbor:"12,keyasint,omitempty"`
	// Build is the sender's obs.Version, in messages of ScopeVM. The record in the store shows
	// it too, but can't be written by a VM that was replaced while the store is down.
	Build string `cbor:"20,keyasint,omitempty"`
	// FeatureLevel is the sender's featurelevel.Current.
	FeatureLevel int `cbor:"21,keyasint,omitempty"`
}

// Slow is the slowdown that a server reported.
type Slow struct {
	_       struct{} `cbor:",toarray"`
	Percent uint16   // of the accelerator's time; 100 is not slowed down
	Age     time.Duration
}

// UnmarshalCBOR ignores elements that a later build appended.
func (s *Slow) UnmarshalCBOR(body []byte) error {
	return wire.DecodeElements(body, &s.Percent, &s.Age)
}

// slowFinding is a reported slowdown and the time of the report.
type slowFinding struct {
	percent uint16
	at      time.Duration
}

// Findings lists the new findings of a message.
type Findings struct {
	Lost, Failing []Key
	// Leaving holds the ages of findings that servers leave.
	Leaving map[Key]time.Duration
	// Slow holds slowdown factors, relative to the server's accelerator.
	Slow map[Key]float64
}

// PackedLoad is a Load in a message: streams, first-stage streams and thousands of tokens
// x layers. With its key it takes about ten bytes, because message size grows with the
// number of servers.
type PackedLoad [3]uint32

// packedTokenUnit is the unit of tokens x layers in a message, about the tokens of one
// request.
const packedTokenUnit = 1000

func pack(in map[Key]Load) map[Key]PackedLoad {
	out := make(map[Key]PackedLoad, len(in))
	for k, l := range in {
		out[k] = PackedLoad{roundToUint32(l.Streams), roundToUint32(l.FirstStage), roundToUint32(l.TokenLayers / packedTokenUnit)}
	}
	return out
}

func roundToUint32(x float64) uint32 { return uint32(max(0, x) + 0.5) }

func unpack(in map[Key]PackedLoad) map[Key]Load {
	out := make(map[Key]Load, len(in))
	for k, p := range in {
		out[k] = Load{Streams: float64(p[0]), FirstStage: float64(p[1]), TokenLayers: packedTokenUnit * float64(p[2])}
	}
	return out
}
