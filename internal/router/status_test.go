package router

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// undefinedStatuses returns responses with a status that HTTP does not define, or that no caller asked
// for, by name.
func undefinedStatuses(mediaType, body string) map[string]string {
	whole := wholeResponse(mediaType, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
	withStatus := func(status string) string { return strings.Replace(whole, "200 OK", status, 1) }
	return map[string]string{
		"000":                         withStatus("000 "),
		"000, a response as its body": wholeStatus("000 ", whole),
		"099, a response as its body": wholeStatus("099 Low", whole),
		"600":                         withStatus("600 High"),
		"999":                         withStatus("999 High"),
		"other protocol":              "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + whole,
		"interim with a length":       wholeStatus("103 Early Hints", whole),
	}
}

// wholeStatus returns a response with a status whose body is another response.
func wholeStatus(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against a server's response with a status such as 000 that a caller gets as an answer, or whose
// body it gets as one (MIXED).
func TestResponseWithoutDefinedStatusReachesNoCaller(t *testing.T) {
	stream := events(1, scriptEvents)
	for _, c := range []struct {
		name, uri, whole string
		once, passedOn   bool
	}{
		{name: "idempotent", uri: "/idempotent/", whole: plainBody},
		{name: "idempotent, passed on", uri: "/idempotent/", whole: plainBody, passedOn: true},
		{name: "at most once", uri: "/non_idempotent/", whole: plainBody, once: true},
		{name: "at most once, passed on", uri: "/non_idempotent/", whole: plainBody, once: true, passedOn: true},
		{name: "stream", uri: "/resumable/", whole: stream},
		{name: "stream, passed on", uri: "/resumable/", whole: stream, passedOn: true},
		{name: "stream that may not be resumed", uri: "/unresumable/", whole: stream, once: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTruncatingSite(t, c.passedOn)
			mediaType := "text/plain"
			if c.whole == stream {
				mediaType = "text/event-stream"
			}
			responses := undefinedStatuses(mediaType, c.whole)
			for i, name := range slices.Sorted(maps.Keys(responses)) {
				s.recover(t, fmt.Sprintf("/idempotent/recovery-%d", i))
				s.set(func(id string, run int, _ string) (standin.Truncated, bool) {
					response := wholeResponse(mediaType, fmt.Sprintf("Content-Length: %d\r\n", len(c.whole)), c.whole)
					if run == 1 {
						response = responses[name]
					}
					return standin.Truncated{Response: strings.ReplaceAll(response, "%s", id)}, true
				})
				id := ""
				var resp *http.Response
				for try, until := 0, time.Now().Add(waitTimeout); s.backends.Runs(id) == 0; try++ {
					require.True(t, time.Now().Before(until), name)
					id = fmt.Sprintf("case-%d-%d", i, try)
					resp = s.vms[0].call(t, http.MethodPost, fmt.Sprintf("%s%d", c.uri, i), id)
				}
				runs := s.backends.Runs(id)
				served, wrong := checkTrue(resp, runs, c.whole)
				require.Empty(t, wrong, name)
				if c.once {
					require.False(t, served, name)
					require.Equal(t, 1, runs, name)
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, name)
					continue
				}
				require.True(t, served, name)
				require.Equal(t, 2, runs, name)
			}
		})
	}
}
