package explain

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func openText(text string) OpenFunc {
	return func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }
}

const (
	logA1 = `{"level":"info","vm":"a1","request":"r1","server":"i-1","fault":"10.0.0.2:80","status":503,"verdict":"not-run","time":2000,"message":"send failed"}
not a log line
{"level":"info","vm":"a1","request":"r2","server":"i-1","time":2001,"message":"answered"}
  12.5 host {"level":"info","vm":"a1","request":"r1","status":503,"verdict":"not-run","cause":"backend-server-refused","comeBack":1200,"detail":"","time":2003,"message":"refused"}
`
	logB1 = `{"level":"info","vm":"b1","server":"servers/i-9","addr":"10.0.0.2:80","from":0,"to":0,"time":1500,"message":"backend server"}
{"level":"info","vm":"b1","server":"servers/i-9","addr":"10.0.0.2:80","from":0,"to":5,"time":9000,"message":"backend server"}
{"level":"info","vm":"b1","server":"servers/i-8","addr":"10.0.0.8:80","from":0,"to":0,"time":1500,"message":"backend server"}
`
)

func TestTimelineIncludesLinesAboutRequestServers(t *testing.T) {
	timeline, err := BuildTimeline("r1", []OpenFunc{openText(logA1), openText(logB1)})
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, timeline.Write(&b))
	require.Equal(t, strings.TrimSpace(`
     -500 ms  b1                   backend server addr=10.0.0.2:80 from=0 server=servers/i-9 to=0
*      +0 ms  a1                   send failed fault=10.0.0.2:80 server=i-1 status=503 verdict=not-run
*      +3 ms  a1                   refused cause=backend-server-refused comeBack=1200 status=503 verdict=not-run
outcome: refused cause=backend-server-refused comeBack=1200 status=503 verdict=not-run
1 lines were not JSON and were skipped`), strings.TrimSpace(b.String()))
}

func TestUnknownRequestHasEmptyTimeline(t *testing.T) {
	timeline, err := BuildTimeline("r9", []OpenFunc{openText(logA1)})
	require.NoError(t, err)
	require.Empty(t, timeline.Lines)
	_, ok := timeline.Outcome()
	require.False(t, ok)
}

func TestTimelineWithoutOutcome(t *testing.T) {
	timeline, err := BuildTimeline("r1", []OpenFunc{openText(strings.SplitAfter(logA1, "\n")[0])})
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, timeline.Write(&b))
	require.Contains(t, b.String(), "outcome: none in these logs")
}
