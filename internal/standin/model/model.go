// Package model implements the deterministic model of the stand-in engines.
//
// A text is a sequence of tokens; each space starts a new token. A begin token
// that holds the seed precedes the text's first token. Every layer keeps a digest of all
// its earlier inputs (its KV cache). A token's value passes through the layers in
// order; each layer hashes the value with its index and its digest. Skipping a
// layer, running it twice or out of order changes every later token.
//
// The answer doesn't depend on how the layers are split into stages. As with a
// real model, prefilling a prompt together with the first tokens of its answer
// leaves the same state as prefilling the prompt and running those tokens one by
// one. A stream can therefore be continued on other stages with
// PrefillData(prompt+tokens so far, seed).
package model

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

// eosModulus sets the length of answers: each token is the last one with probability
// 1/eosModulus.
const eosModulus = 97

// Finish reasons of the completions protocol.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// ErrMalformed is returned for input data or exported state that can't be parsed.
var ErrMalformed = errors.New("malformed data")

// PrefillData returns the first stage's input for token 0: the seed in decimal, a
// line feed and the prompt. The input for every later token is the text of the
// previous token.
func PrefillData(prompt string, seed int64) string {
	return engine.PrefillData(prompt, seed)
}

// ParsePrefill parses the result of PrefillData.
func ParsePrefill(data string) (prompt string, seed int64, err error) {
	seedLine, prompt, found := strings.Cut(data, "\n")
	if !found {
		return "", 0, errors.Wrap(ErrMalformed, "prefill data without a seed line")
	}
	seed, err = strconv.ParseInt(seedLine, 10, 64)
	if err != nil {
		return "", 0, errors.Wrapf(ErrMalformed, "seed %q", seedLine)
	}
	return prompt, seed, nil
}

// Tokenize splits a text before each space. An empty text has no tokens.
func Tokenize(text string) []string {
	if text == "" {
		return nil
	}
	var tokens []string
	start := 0
	for i := 1; i < len(text); i++ {
		if text[i] == ' ' {
			tokens = append(tokens, text[start:i])
			start = i
		}
	}
	return append(tokens, text[start:])
}

// ExpectedTokens returns the tokens of the complete answer.
func ExpectedTokens(prompt string, seed int64, maxTokens, layers int) []string {
	tokens, _ := generate(prompt, seed, maxTokens, layers)
	return tokens
}

// ExpectedCompletion returns the text of the complete answer and its finish reason.
func ExpectedCompletion(prompt string, seed int64, maxTokens, layers int) (text, finish string) {
	tokens, eos := generate(prompt, seed, maxTokens, layers)
	if eos {
		return strings.Join(tokens, ""), FinishStop
	}
	return strings.Join(tokens, ""), FinishLength
}

func generate(prompt string, seed int64, maxTokens, layers int) (tokens []string, eos bool) {
	state, err := NewState(Range{From: 0, To: layers, Total: layers})
	if err != nil {
		return nil, false
	}
	data := PrefillData(prompt, seed)
	for len(tokens) < maxTokens && !eos {
		data, eos, err = state.Run(len(tokens), data)
		if err != nil {
			return nil, false
		}
		tokens = append(tokens, data)
	}
	return tokens, eos
}

// tokenText returns the token text for an output value of the last layer.
func tokenText(value uint64) string {
	return fmt.Sprintf(" w%04x", value&0xffff)
}

func isEOS(value uint64) bool {
	return (value>>16)%eosModulus == 0
}

// mix hashes three values into one.
func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}
