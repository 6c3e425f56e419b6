package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParseCompletion checks that any body is either decoded or refused with a reason.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"skrivar","prompt":"Dear treasurer","max_tokens":8,"stream":true,"seed":5}`))
	f.Add([]byte(`{"model":"skrivar"}{"model":"other"}`))
	f.Add([]byte(`{"max_tokens":1e99}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := parseCompletion(raw)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		prefixes := promptPrefixes(body.Prompt)
		for i := 1; i < len(prefixes); i++ {
			require.Less(t, prefixes[i].Tokens, prefixes[i-1].Tokens, "prefixes are not ordered longest first")
		}
	})
}
