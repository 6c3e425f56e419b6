package prefixcache

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt, in order from the start.
type Part struct {
	ID string
	// Tokens is the number of this part's own tokens.
	Tokens float64
}

// Prompt is the parts of a prompt in the form in which they are looked up. It holds no IDs.
type Prompt []link

// link is one part of a Prompt.
type link struct {
	// key is a hash of the model, the team, the parts before with their tokens, and this
	// part's ID. Requests of different teams therefore have no key in common.
	key    uint64
	tokens float64
}

// NewPrompt returns the Prompt of a team's request to a model. The team is "" for requests
// without one; they share their parts among themselves.
func NewPrompt(model, team string, parts []Part) Prompt {
	if len(parts) == 0 {
		return nil
	}
	d := xxhash.New()
	writeString(d, model)
	writeString(d, team)
	key, tokens := d.Sum64(), 0.0
	out := make(Prompt, 0, len(parts))
	for _, p := range parts {
		d.Reset()
		writeUint64(d, key)
		writeUint64(d, math.Float64bits(tokens))
		writeString(d, p.ID)
		key, tokens = d.Sum64(), p.Tokens
		out = append(out, link{key: key, tokens: tokens})
	}
	return out
}

// writeString writes the length before the text, so that no two sequences of texts are
// hashed alike.
func writeString(d *xxhash.Digest, text string) {
	writeUint64(d, uint64(len(text)))
	_, _ = d.WriteString(text) // a Digest's Write never fails
}

func writeUint64(d *xxhash.Digest, v uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], v)
	_, _ = d.Write(b[:])
}
