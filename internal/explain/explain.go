package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one parsed log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Fields holds the remaining fields of the line.
	Fields map[string]any
}

// Timeline holds the log lines related to a request.
type Timeline struct {
	Request string
	// Lines holds the request's own lines, and the lines about its backend servers from
	// Lookback before the request's first line to its last.
	Lines []Line
	// UnparsedLines is the number of log lines that are not JSON.
	UnparsedLines int
}

// Lookback is how long before the request's first line the lines about its backend servers
// are included: a finding is passed on for 1 s and acted on for 2 s.
const Lookback = 3 * time.Second

// maxLineBytes bounds a log line; a path of 32 stages is far shorter.
const maxLineBytes = 1 << 20

// OpenFunc opens a log for reading. BuildTimeline calls it up to twice.
type OpenFunc func() (io.ReadCloser, error)

// BuildTimeline reads the logs and returns the timeline of a request, which is empty if no
// line belongs to the request. The error names the log that could not be read.
func BuildTimeline(request string, logs []OpenFunc) (Timeline, error) {
	t := Timeline{Request: request}
	isOwn := func(l Line) bool { return l.Fields["request"] == request }
	own, unparsed, err := collectLines(logs, isOwn)
	if err != nil || len(own) == 0 {
		t.UnparsedLines = unparsed
		return t, err
	}
	t.UnparsedLines = unparsed
	servers := serversIn(own)
	from, to := own[0].At.Add(-Lookback), own[len(own)-1].At
	t.Lines, _, err = collectLines(logs, func(l Line) bool {
		return isOwn(l) || (l.Fields["request"] == nil && !l.At.Before(from) && !l.At.After(to) && l.mentions(servers))
	})
	return t, err
}

// collectLines returns the wanted lines of all logs in chronological order, and the number of
// lines that are not JSON.
func collectLines(logs []OpenFunc, wanted func(Line) bool) (lines []Line, unparsed int, err error) {
	for _, open := range logs {
		in, err := open()
		if err != nil {
			return nil, 0, err
		}
		err = scanLines(in, func(l Line, ok bool) {
			switch {
			case !ok:
				unparsed++
			case wanted(l):
				lines = append(lines, l)
			}
		})
		if err := errors.CombineErrors(err, in.Close()); err != nil {
			return nil, 0, err
		}
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].At.Before(lines[b].At) })
	return lines, unparsed, nil
}

func scanLines(in io.Reader, visit func(l Line, ok bool)) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		visit(parseLine(lines.Bytes()))
	}
	return lines.Err()
}

// parseLine parses a line. Text before the JSON, such as the time and host added by a log
// collector, is skipped.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	millis, _ := fields["time"].(float64)
	l.At = time.UnixMilli(int64(millis)).UTC()
	l.VM, _ = fields["vm"].(string)
	l.Message, _ = fields["message"].(string)
	for _, k := range []string{"time", "vm", "message", "program", "level"} {
		delete(fields, k)
	}
	return l, true
}

// serverFields are the fields that identify a backend server, by id or address.
var serverFields = []string{"server", "fault", "addr", "at"}

// serversIn returns the ids and addresses of all backend servers mentioned in lines.
func serversIn(lines []Line) map[string]bool {
	out := map[string]bool{}
	for _, l := range lines {
		for _, f := range serverFields {
			if name, _ := l.Fields[f].(string); name != "" {
				out[name] = true
			}
		}
		path, _ := l.Fields["path"].(string)
		for _, stage := range strings.Split(path, ",") {
			if addr, _, ok := strings.Cut(stage, "="); ok {
				out[addr] = true
			}
		}
	}
	return out
}

// mentions reports whether a field of the line names one of the servers, by id or address.
func (l Line) mentions(servers map[string]bool) bool {
	for _, f := range serverFields {
		name, _ := l.Fields[f].(string)
		if servers[name] || servers[strings.TrimPrefix(name, "servers/")] {
			return true
		}
	}
	return false
}

// outcomeMessages are the messages of the log lines that end a request.
var outcomeMessages = map[string]bool{"answered": true, "stream ended": true, "refused": true, "refused by the configuration": true}

// Outcome returns the last line that ended the request, and false if there is none.
func (t Timeline) Outcome() (Line, bool) {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if l := t.Lines[i]; l.Fields["request"] == t.Request && outcomeMessages[l.Message] {
			return l, true
		}
	}
	return Line{}, false
}
