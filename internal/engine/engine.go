// Package engine models the performance of an inference engine that runs some layers of
// a language model: how long the step of a token and the prefill of a prompt take, and
// how many tokens the KV cache holds beside the weights. Every figure comes from the
// configuration; the package has no constants of a particular deployment.
package engine

import "time"

// Accelerator holds the memory size and the speed of an accelerator type.
type Accelerator struct {
	// MemoryMB is the memory for the weights of layers and the KV cache of requests. All
	// MB are 10^6 bytes.
	MemoryMB float64
	// StepFactor multiplies the time of a token step, context included; PrefillFactor
	// that of a prefill. 1 is the configuration's reference accelerator.
	StepFactor, PrefillFactor float64
}

// Spec describes the engine and the model of one service, for all layers.
type Spec struct {
	Model  string
	Layers int
	// LayerMB is the memory for the weights of one layer.
	LayerMB      float64
	Accelerators map[string]Accelerator
	// Slots limits the requests that an engine runs at once as first stage; 0 for no limit.
	Slots int
	// KVCapacityTokens is the KV cache capacity that the operators plan for an engine, in
	// tokens.
	KVCapacityTokens int
	// KVTokenBytes is the KV cache size of one token in all layers, in bytes.
	KVTokenBytes float64
	// ActivationBytes is the number of bytes sent between two stages per token.
	ActivationBytes float64
	// CrossDomainBitsPerSecond is the capacity of the cross-domain link; 0 for no limit.
	CrossDomainBitsPerSecond float64
	// Stride is the number of token steps in one pass while streams are decoded.
	Stride int
	// Step, PerStream and PerContext give the time of one token step of all layers on
	// the reference accelerator: Step + streams x (PerStream + context/1,000 tokens x
	// PerContext).
	Step, PerStream, PerContext time.Duration
	// PrefillTokensPerSecond is the prefill rate of the reference accelerator.
	PrefillTokensPerSecond float64
	// PromptTokens and AnswerTokens are the sizes of a typical request.
	PromptTokens, AnswerTokens float64
	// FullLoadTime is the time to load the weights of all layers; n layers take their
	// share of it.
	FullLoadTime time.Duration
	// MaxConcurrentLoads is the number of concurrent loads of weights that run at full
	// speed.
	MaxConcurrentLoads int
	// Delays holds the extra one-way delays between pairs of failure domains.
	Delays map[[2]string]time.Duration
	// ReportLag is the maximum age of the data in an engine's report.
	ReportLag time.Duration
}

const bytesPerMB = 1e6

// LayerShare returns the fraction of the model that n layers make up.
func (s *Spec) LayerShare(n int) float64 { return float64(n) / float64(s.Layers) }

// layerTokenMB returns the KV cache size of one token in one layer.
func (s *Spec) layerTokenMB() float64 { return s.KVTokenBytes / float64(s.Layers) / bytesPerMB }

// MaxLayers returns how many layers fit on an accelerator together with the KV cache of
// kvTokens tokens in each of them; 0 if the size of a layer is unknown.
func (s *Spec) MaxLayers(acc Accelerator, kvTokens float64) int {
	layerMB := s.LayerMB + kvTokens*s.layerTokenMB()
	if !(layerMB > 0) || !(acc.MemoryMB > 0) { // also not a number
		return 0
	}
	return int(min(acc.MemoryMB/layerMB, float64(s.Layers)))
}

// KVCapacity returns the KV cache capacity of an accelerator that holds n layers, in
// tokens x layers: a request of t tokens in m layers takes t x m.
func (s *Spec) KVCapacity(acc Accelerator, n int) float64 {
	return max(0, (acc.MemoryMB-float64(n)*s.LayerMB)/s.layerTokenMB())
}

// StepTime returns the time of one token step through n layers while the given number
// of streams is decoded there, each with contextTokens tokens of context.
func (s *Spec) StepTime(acc Accelerator, n int, streams, contextTokens float64) time.Duration {
	perStream := float64(s.PerStream) + contextTokens/1000*float64(s.PerContext)
	return time.Duration(s.LayerShare(n) * acc.StepFactor * (float64(s.Step) + streams*perStream))
}

// PrefillTime returns the time of the prefill of a prompt of the given number of tokens in
// n layers.
func (s *Spec) PrefillTime(acc Accelerator, n int, tokens float64) time.Duration {
	return time.Duration(s.LayerShare(n) * acc.PrefillFactor * tokens / s.PrefillTokensPerSecond * float64(time.Second))
}

// maxLoadSlowdown bounds the predicted slowdown of loads. At the first start hundreds run
// together, but from a faster store than later.
const maxLoadSlowdown = 3

// LoadTime returns the time to load the weights of n layers while the given number of loads
// runs, this one included.
func (s *Spec) LoadTime(n, concurrent int) time.Duration {
	slowdown := 1.0
	if s.MaxConcurrentLoads > 0 {
		slowdown = min(max(1, float64(concurrent)/float64(s.MaxConcurrentLoads)), maxLoadSlowdown)
	}
	return time.Duration(s.LayerShare(n) * float64(s.FullLoadTime) * slowdown)
}

// CrossDomainTokensPerSecond returns the number of tokens per second that the
// cross-domain link carries; 0 for no limit.
func (s *Spec) CrossDomainTokensPerSecond() float64 {
	if s.CrossDomainBitsPerSecond <= 0 || s.ActivationBytes <= 0 {
		return 0
	}
	return s.CrossDomainBitsPerSecond / 8 / s.ActivationBytes
}

// Delay returns the extra one-way delay between two failure domains, in either direction.
func (s *Spec) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if d, ok := s.Delays[[2]string{from, to}]; ok {
		return d
	}
	return s.Delays[[2]string{to, from}]
}
