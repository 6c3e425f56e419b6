// Package model is the deterministic model of the stand-in engines.
//
// A text is a sequence of tokens; a token starts at each space. Before the first
// stands a begin token that holds the seed. Every layer
// keeps a digest of all its earlier inputs (its KV cache). A token's value
// passes through the layers in order; each layer mixes the value with its index
// and its digest. A layer that is skipped, run twice or run out of order
// changes every later token of the answer.
//
// The answer does not depend on how the layers are cut into stages. It has
// the property that lets a real model start over: the prefill of a prompt
// followed by the first tokens of its answer leaves the same state as the
// prefill of the prompt and those tokens run one by one. A stream may therefore
// be continued on other stages with PrefillData(prompt+tokens so far, seed).
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

// eosModulus makes one token in 97 the last one.
const eosModulus = 97

// Finish reasons of an answer, as in the completions protocol.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// ErrMalformed says that data is not what the stage expects.
var ErrMalformed = errors.New("malformed data")

// PrefillData returns the data of token 0 for the first stage: the seed in
// decimal, a line feed and the prompt. The data of every later token is the
// text of the token before it.
func PrefillData(prompt string, seed int64) string {
	return engine.PrefillData(prompt, seed)
}

// ParsePrefill reads what PrefillData returns.
func ParsePrefill(data string) (prompt string, seed int64, err error) {
	head, prompt, found := strings.Cut(data, "\n")
	if !found {
		return "", 0, errors.Wrap(ErrMalformed, "prefill data without a seed line")
	}
	seed, err = strconv.ParseInt(head, 10, 64)
	if err != nil {
		return "", 0, errors.Wrapf(ErrMalformed, "seed %q", head)
	}
	return prompt, seed, nil
}

// Tokenize cuts a text before each space. An empty text has no tokens.
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

// Expected returns the tokens of the whole answer.
func ExpectedTokens(prompt string, seed int64, maxTokens, layers int) []string {
	tokens, _ := generate(prompt, seed, maxTokens, layers)
	return tokens
}

// Answer returns the text of the whole answer and its finish reason.
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

// tokenText renders the value that leaves the last layer.
func tokenText(value uint64) string {
	return fmt.Sprintf(" w%04x", value&0xffff)
}

func isEOS(value uint64) bool {
	return (value>>16)%eosModulus == 0
}

// mix hashes three words into one.
func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}
