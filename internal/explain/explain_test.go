package explain

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func log(text string) OpenFunc {
	return func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }
}

const (
	first = `{"level":"info","vm":"a1","request":"r1","server":"i-1","fault":"10.0.0.2:80","status":503,"verdict":"not-run","time":2000,"message":"send failed"}
not a log line
{"level":"info","vm":"a1","request":"r2","server":"i-1","time":2001,"message":"answered"}
  12.5 host {"level":"info","vm":"a1","request":"r1","status":503,"verdict":"not-run","cause":"backend-server-refused","comeBack":1200,"detail":"","time":2003,"message":"refused"}
`
	second = `{"level":"info","vm":"b1","server":"servers/i-9","addr":"10.0.0.2:80","from":0,"to":0,"time":1500,"message":"backend server"}
{"level":"info","vm":"b1","server":"servers/i-9","addr":"10.0.0.2:80","from":0,"to":5,"time":9000,"message":"backend server"}
{"level":"info","vm":"b1","server":"servers/i-8","addr":"10.0.0.8:80","from":0,"to":0,"time":1500,"message":"backend server"}
`
)

func TestStoryHoldsTheRequestAndWhatWasLearnedOfItsServers(t *testing.T) {
	s, err := BuildTimeline("r1", []OpenFunc{log(first), log(second)})
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, s.Write(&b))
	require.Equal(t, strings.TrimSpace(`
     -500 ms  b1                   backend server addr=10.0.0.2:80 from=0 server=servers/i-9 to=0
*      +0 ms  a1                   send failed fault=10.0.0.2:80 server=i-1 status=503 verdict=not-run
*      +3 ms  a1                   refused cause=backend-server-refused comeBack=1200 status=503 verdict=not-run
outcome: refused cause=backend-server-refused comeBack=1200 status=503 verdict=not-run
1 lines were not JSON and were passed over`), strings.TrimSpace(b.String()))
}

func TestUnknownRequestHasNoStory(t *testing.T) {
	s, err := BuildTimeline("r9", []OpenFunc{log(first)})
	require.NoError(t, err)
	require.Empty(t, s.Lines)
	_, ok := s.Outcome()
	require.False(t, ok)
}

func TestRequestWithoutAnEndSaysSo(t *testing.T) {
	s, err := BuildTimeline("r1", []OpenFunc{log(strings.SplitAfter(first, "\n")[0])})
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, s.Write(&b))
	require.Contains(t, b.String(), "outcome: none in these logs")
}
