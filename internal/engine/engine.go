// Package engine is a small model of a model engine that runs some layers of a
// model: how long a token's step and the reading of a prompt take there, and how
// many tokens of requests fit beside the weights. Every figure comes from the
// configuration; nothing of one deployment is a constant here.
package engine

import "time"

// Card is what one kind of accelerator holds and how fast it is.
type Accelerator struct {
	// MemoryMB holds the weights of layers and the KV cache of requests.
	MemoryMB float64
	// StepX multiplies the time of steps and of context, ReadX that of reading
	// prompts; 1 is the configuration's reference accelerator.
	StepFactor, PrefillFactor float64
}

// Spec is the engine of one service, for the whole model.
type Spec struct {
	Model  string
	Layers int
	// LayerMB is the weight memory of a layer.
	LayerMB      float64
	Accelerators map[string]Accelerator
	// Slots bounds the requests that an engine takes as first of a path.
	Slots int
	// RoomTokens is the number of tokens that the operators plan for an engine.
	KVCapacityTokens int
	// TokenBytes is the KV cache of one token in all layers.
	KVTokenBytes float64
	// ActivationBytes cross a link for each token.
	ActivationBytes float64
	// PipeBits is what the pipe between failure domains carries in a second; 0 for
	// no bound.
	CrossDomainBitsPerSecond float64
	// Stride is the number of token steps in one pass with writers.
	Stride int
	// Step, PerStream and PerContext make up one token step of all layers on the
	// reference accelerator: Step + streams x (PerStream + 1,000 tokens of
	// context x PerContext).
	Step, PerStream, PerContext time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64
	// PromptTokens and AnswerTokens are the usual sizes of a request.
	PromptTokens, AnswerTokens float64
	// Load is the time that loading all layers takes; a range takes its share.
	FullLoadTime time.Duration
	// LoadsAtOnce is how many loads run at full speed.
	LoadsAtOnce int
	// Delays are the extra one-way delays between failure domains.
	Delays map[[2]string]time.Duration
	// ReportLag is how old an engine's report may be.
	ReportLag time.Duration
}

const bytesPerMB = 1e6

// Share is the part of the model that n layers are.
func (s *Spec) LayerShare(n int) float64 { return float64(n) / float64(s.Layers) }

// tokenMB is the KV cache of one token in one layer.
func (s *Spec) tokenMB() float64 { return s.KVTokenBytes / float64(s.Layers) / bytesPerMB }

// Fitting returns how many layers fit on a card beside the KV cache of room
// tokens in each of them.
func (s *Spec) MaxLayers(card Accelerator, room float64) int {
	n := int(card.MemoryMB / (s.LayerMB + room*s.tokenMB()))
	return max(0, min(n, s.Layers))
}

// TokenLayers returns the KV cache of a card that holds n layers, in tokens x
// layers: a request of t tokens in m layers takes t x m.
func (s *Spec) KVCapacity(card Accelerator, n int) float64 {
	return max(0, (card.MemoryMB-float64(n)*s.LayerMB)/s.tokenMB())
}

// TokenStep returns the time of one token's step through n layers while streams
// are written there, each with the given tokens of context.
func (s *Spec) StepTime(card Accelerator, n int, streams, context float64) time.Duration {
	each := float64(s.PerStream) + context/1000*float64(s.PerContext)
	return time.Duration(s.LayerShare(n) * card.StepFactor * (float64(s.Step) + streams*each))
}

// Read returns the time that reading a prompt through n layers takes.
func (s *Spec) PrefillTime(card Accelerator, n int, tokens float64) time.Duration {
	return time.Duration(s.LayerShare(n) * card.PrefillFactor * tokens / s.PrefillTokensPerSecond * float64(time.Second))
}

// LoadTime returns the time that loading n layers takes.
func (s *Spec) LoadTime(n int) time.Duration {
	return time.Duration(s.LayerShare(n) * float64(s.FullLoadTime))
}

// PipeTokens is the number of tokens that may cross between failure domains in a
// second; 0 for no bound.
func (s *Spec) CrossDomainTokensPerSecond() float64 {
	if s.CrossDomainBitsPerSecond <= 0 || s.ActivationBytes <= 0 {
		return 0
	}
	return s.CrossDomainBitsPerSecond / 8 / s.ActivationBytes
}

// Delay returns the extra one-way delay between two failure domains.
func (s *Spec) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if d, ok := s.Delays[[2]string{from, to}]; ok {
		return d
	}
	return s.Delays[[2]string{to, from}]
}
