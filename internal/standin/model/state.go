package model

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrOutOfOrder is returned for a token other than the next one of the stream.
var ErrOutOfOrder = errors.New("token out of order")

// Range is the half-open range of layers [From, To) of a stage, for a model with
// Total layers.
type Range struct {
	From, To, Total int
}

func (r Range) validate() error {
	if r.From < 0 || r.From >= r.To || r.To > r.Total {
		return errors.Newf("layers are [%d, %d) of %d, must satisfy 0 <= from < to <= total", r.From, r.To, r.Total)
	}
	return nil
}

// State is the KV cache of one stream at one stage.
type State struct {
	layers    Range
	nextToken int
	// digests holds, per layer, the digest of all its earlier inputs.
	digests []uint64
}

// NewState returns the state of a stream that has not started.
func NewState(layers Range) (*State, error) {
	if err := layers.validate(); err != nil {
		return nil, err
	}
	return &State{layers: layers, digests: make([]uint64, layers.To-layers.From)}, nil
}

// Position returns the index of the next token.
func (s *State) Position() int {
	return s.nextToken
}

// Run runs one token through the stage's layers. Token 0 is the prefill of the prompt.
// The output is the input of the next stage; the last stage returns the token's text.
// An error leaves the state unchanged.
func (s *State) Run(token int, data string) (out string, eos bool, err error) {
	if token != s.nextToken {
		return "", false, errors.Wrapf(ErrOutOfOrder, "token %d, next is %d", token, s.nextToken)
	}
	values, err := s.inputValues(token, data)
	if err != nil {
		return "", false, err
	}
	for i := range values {
		values[i] = s.runLayers(values[i])
	}
	s.nextToken++
	if s.layers.To < s.layers.Total {
		return formatValues(values), false, nil
	}
	last := values[len(values)-1]
	return tokenText(last), isEOS(last), nil
}

// inputValues converts input data to one value per token.
func (s *State) inputValues(token int, data string) ([]uint64, error) {
	if s.layers.From > 0 {
		return parseValues(data)
	}
	if token > 0 {
		return []uint64{xxhash.Sum64String(data)}, nil
	}
	prompt, seed, err := ParsePrefill(data)
	if err != nil {
		return nil, err
	}
	values := []uint64{beginTokenValue(seed)}
	for _, text := range Tokenize(prompt) {
		values = append(values, xxhash.Sum64String(text))
	}
	return values, nil
}

// beginTokenValue returns the value of the begin token.
func beginTokenValue(seed int64) uint64 {
	return mix(uint64(seed), 0, 0)
}

// runLayers passes one value through every layer of the stage.
func (s *State) runLayers(value uint64) uint64 {
	for i := range s.digests {
		layer := uint64(s.layers.From + i)
		s.digests[i] = mix(s.digests[i], value, layer)
		value = mix(value, s.digests[i], layer)
	}
	return value
}

func formatValues(values []uint64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = strconv.FormatUint(v, 16)
	}
	return strings.Join(texts, ",")
}

func parseValues(data string) ([]uint64, error) {
	texts := strings.Split(data, ",")
	values := make([]uint64, len(texts))
	for i, text := range texts {
		v, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrMalformed, "activation %q", text)
		}
		values[i] = v
	}
	return values, nil
}

// Export encodes the state as text that Import parses.
func (s *State) Export() string {
	return fmt.Sprintf("%d %d %d %d %s", s.layers.From, s.layers.To, s.layers.Total, s.nextToken, formatValues(s.digests))
}

// Import parses the result of Export. It returns ErrMalformed if the state belongs
// to other layers.
func Import(layers Range, blob string) (*State, error) {
	var from, to, total, nextToken int
	var digests string
	if _, err := fmt.Sscan(blob, &from, &to, &total, &nextToken, &digests); err != nil {
		return nil, errors.Wrap(ErrMalformed, "parse exported state")
	}
	if got := (Range{From: from, To: to, Total: total}); got != layers {
		return nil, errors.Wrapf(ErrMalformed, "exported state is of layers %v, the stage holds %v", got, layers)
	}
	state, err := NewState(layers)
	if err != nil {
		return nil, err
	}
	state.nextToken = nextToken
	state.digests, err = parseValues(digests)
	if err != nil {
		return nil, err
	}
	if nextToken < 0 || len(state.digests) != to-from {
		return nil, errors.Wrap(ErrMalformed, "exported state has a negative position or the wrong number of layers")
	}
	return state, nil
}

// ActivationTokens returns the number of tokens in the data between two stages.
func ActivationTokens(data string) int {
	return 1 + strings.Count(data, ",")
}
