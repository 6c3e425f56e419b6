package router

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const (
	plainBody  = "the whole answer, eighty bytes long, which no caller may get in part as if whole"
	firstEvent = len("id: 1\ndata: piece 1\n\n")
	signature  = "X-Response-Signature: 3e1b.07.5a2\r\n"
)

// wholeResponse is a response, with %s for the request's ID, and where the cuts of its head are.
func wholeResponse(mediaType, framing, body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: " + mediaType + "\r\nX-Request-Id: %s\r\n" + signature + framing + "\r\n" + body
}

// brokenResponses returns responses that no caller may get as whole, by name. Some differ from a whole one
// only in their end, the others never were whole.
func brokenResponses(mediaType, body string) map[string]string {
	withLength := wholeResponse(mediaType, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
	chunked := wholeResponse(mediaType, "Transfer-Encoding: chunked\r\n", chunk(body[:firstEvent])+chunk(body[firstEvent:])+"0\r\nX-After: 1\r\n\r\n")
	upTo := func(whole, end string) string { return whole[:strings.Index(whole, end)+len(end)] }
	out := map[string]string{
		"nothing":                     "",
		"within the status line":      "HTTP/1.1 20",
		"status line, no end":         "HTTP/1.1 200 OK",
		"status line alone":           "HTTP/1.1 200 OK\r\n",
		"within the ID":               upTo(withLength, "X-Request-Id: ") + "a",
		"after the ID line":           upTo(withLength, "%s\r\n"),
		"after the signature line":    upTo(withLength, signature),
		"within the length":           upTo(withLength, "Content-Length: 8"),
		"length, no end of line":      upTo(withLength, fmt.Sprintf("Content-Length: %d", len(body))),
		"lone CR after the length":    upTo(withLength, fmt.Sprintf("Content-Length: %d\r", len(body))),
		"no blank line":               upTo(withLength, fmt.Sprintf("Content-Length: %d\r\n", len(body))),
		"within the blank line":       upTo(withLength, "\r\n\r"),
		"LF only, no blank line":      strings.ReplaceAll(upTo(withLength, fmt.Sprintf("Content-Length: %d\r\n", len(body))), "\r\n", "\n"),
		"LF only, no body":            strings.ReplaceAll(upTo(withLength, "\r\n\r\n"), "\r\n", "\n"),
		"interim alone":               "HTTP/1.1 100 Continue\r\n\r\n",
		"interim, then a part":        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + upTo(withLength, signature),
		"within the interim response": "HTTP/1.1 102 Processing\r\nX-A: b\r\n",
		"no body":                     upTo(withLength, "\r\n\r\n"),
		"half the body":               withLength[:len(withLength)-40],
		"all but a byte":              withLength[:len(withLength)-1],
		"length too long":             wholeResponse(mediaType, "Content-Length: 800\r\n", body),
		"within the encoding":         upTo(chunked, "Transfer-Encoding: chunk"),
		"chunked, no body":            upTo(chunked, "\r\n\r\n"),
		"within a chunk":              chunked[:strings.Index(chunked, body[firstEvent:])+9],
		"no last chunk":               upTo(chunked, body[firstEvent:]+"\r\n"),
		"within the last chunk":       chunked[:strings.Index(chunked, "X-After")-2],
		"no trailer":                  chunked[:strings.Index(chunked, "X-After")],
		"within the trailer":          upTo(chunked, "X-After"),
		"after the trailer's line":    strings.TrimSuffix(chunked, "\r\n"),
		"unsigned":                    strings.Replace(withLength, signature, "", 1),
		"unframed, no body":           wholeResponse(mediaType, "", ""),
		"signature empty":             strings.Replace(withLength, signature, "X-Response-Signature: \r\n", 1),
		"unsigned, chunked":           strings.Replace(chunked, signature, "", 1),
		"unsigned, unframed":          strings.Replace(wholeResponse(mediaType, "", body), signature, "", 1),
		"unsigned, partial content":   strings.NewReplacer(signature, "", "200 OK", "206 Partial Content").Replace(withLength),
		"unsigned, no content":        "HTTP/1.1 204 No Content\r\nX-Request-Id: %s\r\n\r\n",
	}
	for _, lines := range []string{
		"Content-Length: 20\r\nContent-Length: 80\r\n", "Content-Length: 20, 80\r\n", "Content-Length: -1\r\n", "Content-Length: 20x\r\n", "Content-Length: \r\n",
		"Content-Length: 99999999999999999999\r\n", "Content-Length : 800\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding: chunke\r\n", "Content-Length: 2\r\n 0\r\n",
		"X-A: b\rContent-Length: 800\r\n",
	} {
		out[fmt.Sprintf("%q", lines)] = wholeResponse(mediaType, lines, body[:firstEvent])
	}
	return out
}

// truncatingSite is a site whose servers play the response that a request's path names by number.
type truncatingSite struct {
	*site
	vms []*vm
	mu  sync.Mutex
	// play returns what a run of a request writes; guarded by mu.
	play func(id string, run int, after string) (standin.Truncated, bool)
}

func (s *truncatingSite) set(play func(id string, run int, after string) (standin.Truncated, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.play = play
}

func (s *truncatingSite) truncate(id string, run int, after string) (standin.Truncated, bool) {
	s.mu.Lock()
	play := s.play
	s.mu.Unlock()
	if play == nil {
		return standin.Truncated{}, false
	}
	return play(id, run, after)
}

// recover calls the VM until the servers, which respond as usual meanwhile, are used again.
func (s *truncatingSite) recover(t *testing.T, uri string) {
	s.set(nil)
	until := time.Now().Add(waitTimeout)
	for try := 0; time.Now().Before(until); try++ {
		if s.vms[0].call(t, "POST", uri, fmt.Sprintf("%s-recovery-%d", uri, try)).StatusCode == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// newTruncatingSite starts a VM, or a partitioned one that passes its requests on to another.
func newTruncatingSite(t *testing.T, passedOn bool) *truncatingSite {
	s := &truncatingSite{}
	if passedOn {
		s.site, s.vms = partitionedSite(t, 2, 20, standin.LinkReset)
	} else {
		s.site = newSite(t)
		s.vms = []*vm{s.boundVM("a1")}
		s.configure(7)
		for i := range 3 {
			s.server(standin.ServerConfig{ID: fmt.Sprintf("app-%d", i), Service: "wuno96b", Domain: "bergen-a"})
		}
		s.vms[0].awaitReady(t)
	}
	s.backends.TruncateWith(s.truncate)
	return s
}

// checkTrue returns what is wrong with a response that is not the whole response of a server, names
// no failure truly and does not break off, "" if nothing is.
func checkTrue(resp *http.Response, runs int, whole string) (served bool, wrong string) {
	body, err := io.ReadAll(resp.Body)
	switch status := resp.StatusCode; {
	case status == http.StatusServiceUnavailable && runs > 0:
		return false, "it ran, so it must not be called not run"
	case status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		return false, ""
	case err != nil:
		return false, ""
	case string(body) != whole:
		return false, fmt.Sprintf("status %d with %d of %d bytes looks complete", status, len(body), len(whole))
	case resp.Header.Get(platform.HeaderSignature) == "":
		return false, fmt.Sprintf("status %d without a signature", status)
	}
	return true, ""
}

// responseShare is the divisor of the responses that a slow case plays; 1 in
// CATKIN_TRUNCATED_SHARE plays all.
func responseShare() int {
	if n, err := strconv.Atoi(os.Getenv("CATKIN_TRUNCATED_SHARE")); err == nil && n > 0 {
		return n
	}
	return 12
}

// Guards against a response that broke off, or that no server signed, passed off as whole (MIXED,
// ORDER): in the head, between the head and the body, within the body.
func TestTruncatedResponseIsNotForwardedAsWhole(t *testing.T) {
	sse := events(1, scriptEvents)
	for group, c := range []struct {
		name, uri, mediaType, whole string
		begun                       bool // the first run sends some events and breaks off
		soundNext                   bool // the next run is sound
		passedOn                    bool
		waits                       bool // after each crash until other requests clear its own
	}{
		{name: "plain, idempotent", uri: "/idempotent/", whole: plainBody, soundNext: true},
		{name: "plain, idempotent, all", uri: "/idempotent/", whole: plainBody, waits: true},
		{name: "plain, idempotent, passed on", uri: "/idempotent/", whole: plainBody, passedOn: true, waits: true},
		{name: "plain, at most once", uri: "/non_idempotent/", whole: plainBody},
		{name: "plain, at most once, passed on", uri: "/non_idempotent/", whole: plainBody, passedOn: true},
		{name: "stream", uri: "/resumable/", whole: sse, soundNext: true, waits: true},
		{name: "stream, all", uri: "/resumable/", whole: sse, waits: true},
		{name: "stream, later run", uri: "/resumable/", whole: sse, begun: true, soundNext: true, waits: true},
		{name: "stream, all later runs", uri: "/resumable/", whole: sse, begun: true, waits: true},
		{name: "stream, passed on", uri: "/resumable/", whole: sse, passedOn: true, waits: true},
		{name: "stream, later run, passed on", uri: "/resumable/", whole: sse, begun: true, passedOn: true, waits: true},
		{name: "stream that may not be resumed", uri: "/unresumable/", whole: sse},
		{name: "stream that may not be resumed, passed on", uri: "/unresumable/", whole: sse, passedOn: true},
	} {
		for _, reset := range []bool{false, true} {
			offset := 2 * group
			if reset {
				offset++
			}
			t.Run(fmt.Sprintf("%s, reset %v", c.name, reset), func(t *testing.T) {
				t.Parallel()
				s := newTruncatingSite(t, c.passedOn)
				mediaType, rest := "text/plain", c.whole
				if c.whole == sse {
					mediaType = "text/event-stream"
				}
				if c.begun {
					rest = events(brokenAfter+1, scriptEvents)
				}
				served, n := 0, 0
				responses := brokenResponses(mediaType, rest)
				for i, name := range slices.Sorted(maps.Keys(responses)) {
					if c.waits && (i+offset)%responseShare() != 0 {
						continue
					}
					n++
					broken := responses[name]
					s.recover(t, fmt.Sprintf("/idempotent/recovery-%d", n))
					s.set(func(id string, run int, after string) (standin.Truncated, bool) {
						fill := func(format string) string { return strings.ReplaceAll(format, "%s", id) }
						switch {
						case c.begun && run == 1:
							return standin.Truncated{Response: fill(wholeResponse(mediaType, "Transfer-Encoding: chunked\r\n", chunk(events(1, brokenAfter)))), Reset: true}, true
						case c.soundNext && (run > 2 || run == 2 && !c.begun):
							return standin.Truncated{Response: fill(wholeResponse(mediaType, fmt.Sprintf("Content-Length: %d\r\n", len(rest)), rest))}, true
						}
						return standin.Truncated{Response: fill(broken), Reset: reset}, true
					})
					played, until := false, time.Now().Add(waitTimeout)
					for try := 0; time.Now().Before(until) && !played; try++ {
						id := fmt.Sprintf("case-%d-%d", n, try)
						resp := s.vms[0].call(t, "POST", fmt.Sprintf("%s%d", c.uri, n), id)
						ok, wrong := checkTrue(resp, s.backends.Runs(id), c.whole)
						assert.Empty(t, wrong, name)
						if ok {
							served++
						}
						played = s.backends.Runs(id) > 0 && (!c.begun || s.backends.Runs(id) > 1)
						if !played {
							time.Sleep(20 * time.Millisecond)
						}
					}
					assert.True(t, played, name)
				}
				t.Logf("%d of %d served whole", served, n)
			})
		}
	}
}
