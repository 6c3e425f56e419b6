package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// Guards against requests that are refused, or run and answered with a failure, because their caller writes
// the names of headers in another case (DENIED).
func TestHeaderNamesHaveNoCase(t *testing.T) {
	for name, write := range map[string]func(string) string{"lower": strings.ToLower, "upper": strings.ToUpper} {
		for _, passedOn := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				link := standin.LinkUp
				if passedOn {
					link = standin.LinkReset
				}
				s, vms := partitionedSite(t, 2, 20, link)
				headers := map[string]string{platform.HeaderRequestID: "caseless", platform.HeaderTimeLeft: "5000", "Authorization": "Bearer " + apiKey,
					platform.HeaderTokens: "70,80", platform.HeaderPromptParts: "caller:40,own:30", platform.HeaderLastEventID: "5"}
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vms[0].host+":18227"+streamURI, nil)
				require.NoError(t, err)
				req.Host = "ficu95.example"
				for key, value := range headers {
					req.Header[write(key)] = []string{value}
				}
				resp, err := http.DefaultClient.Do(req)
				require.NoError(t, err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
				require.Equal(t, "caseless", resp.Header.Get(platform.HeaderRequestID))
				require.True(t, strings.HasPrefix(string(body), "id: 6\n"), "it goes on after the event that the caller has")
				require.Equal(t, 1, s.backends.Runs("caseless"))
			})
		}
	}
}
