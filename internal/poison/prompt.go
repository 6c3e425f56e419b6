package poison

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is the ID of a part of a prompt, or of a whole request, at most maxPartBytes long.
type Part string

// maxPartBytes is the length of an ID above which its hash takes its place.
const maxPartBytes = 32

// Prompt is the list of a prompt's parts. The first ones are shared with other requests; the
// last one belongs to the request or its session.
type Prompt []Part

// NewPrompt returns the prompt with the parts of the given IDs.
func NewPrompt(ids []string) Prompt {
	if len(ids) == 0 {
		return nil
	}
	p := make(Prompt, len(ids))
	for i, id := range ids {
		if len(id) > maxPartBytes || Part(id).IsRequest() {
			id = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		p[i] = Part(id)
	}
	return p
}

// requestPrefix begins the IDs of whole requests.
const requestPrefix = "request:"

// RequestPart returns the ID of the requests with the given fingerprint.
func RequestPart(fingerprint string) Part { return Part(requestPrefix + fingerprint) }

// IsRequest reports whether the ID is that of a whole request.
func (p Part) IsRequest() bool { return strings.HasPrefix(string(p), requestPrefix) }

// Subject is what may crash a server in a request: a part of its prompt, or the request as a
// whole with all its repetitions.
type Subject struct {
	Prompt  Prompt // empty for a request without a prompt
	Request Part   // "" if it is not known
}

// Has reports whether the subject has a part.
func (s Subject) Has(part Part) bool {
	return part == s.Request || slices.Contains(s.Prompt, part)
}

func (s Subject) isEmpty() bool { return len(s.Prompt) == 0 && s.Request == "" }

// hash identifies the whole prompt.
func (p Prompt) hash() uint64 {
	d := xxhash.New()
	for _, part := range p {
		_, _ = d.WriteString(string(part)) // a Digest's Write never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// middle returns the parts other than the first and the last.
func (p Prompt) middle() Prompt {
	if len(p) < 3 {
		return nil
	}
	return p[1 : len(p)-1]
}

// crashesToBlock returns the number of crashes after which a part is blocked, and how many
// different prompts must have been cut in them. hasWorked tells whether a request with the
// part has ever made progress.
func (p Prompt) crashesToBlock(part Part, hasWorked bool) (crashes, prompts int) {
	switch index := slices.Index(p, part); {
	case index == len(p)-1:
		return 3, 1 // only repetitions of one request share the last part
	case hasWorked:
		return 5, 2
	case index == 0:
		return 3, 2
	default:
		return 2, 2
	}
}
