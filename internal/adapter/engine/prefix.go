package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks in which engines cache prompt
// prefixes.
const PrefixBlockBytes = 64

// PrefixHashes returns one hash for each full block of the prompt. Each hash covers the
// prompt from its start, so two prompts have one common leading hash for each common
// leading block.
func PrefixHashes(prompt string) []string {
	digest := xxhash.New()
	var hashes []string
	for len(prompt) >= PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		hashes = append(hashes, strconv.FormatUint(digest.Sum64(), 16))
		prompt = prompt[PrefixBlockBytes:]
	}
	return hashes
}
