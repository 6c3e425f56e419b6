// Package explain tells the story of one request from the log lines of several VMs:
// what was decided on it, in the order of time, and what the VMs learned meanwhile of
// the backend servers that it met.
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

// Line is one log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Fields holds what the line says beside these.
	Fields map[string]any
}

// Story is what the logs tell of a request.
type Timeline struct {
	Request string
	// Lines are the request's own, and those on its backend servers from Before its
	// first line to its last.
	Lines []Line
	// Unread counts the log lines that are not JSON.
	UnparsedLines int
}

// Before is how far back the story looks for what was learned of the backend servers:
// a finding is passed on for a second and acted on for two.
const Lookback = 3 * time.Second

// maxLine bounds a log line; a path of 32 parts is far shorter.
const maxLine = 1 << 20

// Open opens a log for reading; the story reads each one twice.
type OpenFunc func() (io.ReadCloser, error)

// Tell reads the logs. The error names the log that could not be read; a request
// without a line gives an empty story.
func BuildTimeline(request string, logs []OpenFunc) (Timeline, error) {
	s := Timeline{Request: request}
	seen := func(l Line) bool { return l.Fields["request"] == request }
	own, unread, err := gather(logs, seen)
	if err != nil || len(own) == 0 {
		s.UnparsedLines = unread
		return s, err
	}
	s.UnparsedLines = unread
	servers := serversOf(own)
	from, to := own[0].At.Add(-Lookback), own[len(own)-1].At
	s.Lines, _, err = gather(logs, func(l Line) bool {
		return seen(l) || (l.Fields["request"] == nil && !l.At.Before(from) && !l.At.After(to) && l.names(servers))
	})
	return s, err
}

func gather(logs []OpenFunc, wanted func(Line) bool) (lines []Line, unread int, err error) {
	for _, open := range logs {
		in, err := open()
		if err != nil {
			return nil, 0, err
		}
		err = scan(in, func(l Line, ok bool) {
			switch {
			case !ok:
				unread++
			case wanted(l):
				lines = append(lines, l)
			}
		})
		if err := errors.CombineErrors(err, in.Close()); err != nil {
			return nil, 0, err
		}
	}
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].At.Before(lines[b].At) })
	return lines, unread, nil
}

func scan(in io.Reader, each func(l Line, ok bool)) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		each(parse(lines.Bytes()))
	}
	return lines.Err()
}

// parse reads a line; what stands before the JSON, such as a collector's own time and
// host, is passed over.
func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[at:], &fields) != nil {
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

// serverFields are the fields that name a backend server, by id or address.
var serverFields = []string{"server", "fault", "addr", "at"}

// serversOf returns the ids and addresses of all servers that lines name.
func serversOf(lines []Line) map[string]bool {
	out := map[string]bool{}
	for _, l := range lines {
		for _, f := range serverFields {
			if name, _ := l.Fields[f].(string); name != "" {
				out[name] = true
			}
		}
		path, _ := l.Fields["path"].(string)
		for _, part := range strings.Split(path, ",") {
			if addr, _, ok := strings.Cut(part, "="); ok {
				out[addr] = true
			}
		}
	}
	return out
}

func (l Line) names(servers map[string]bool) bool {
	for _, f := range serverFields {
		name, _ := l.Fields[f].(string)
		if servers[name] || servers[strings.TrimPrefix(name, "servers/")] {
			return true
		}
	}
	return false
}

// outcomes are the messages that end a request.
var outcomes = map[string]bool{"answered": true, "stream ended": true, "refused": true, "refused by the configuration": true}

// Outcome is the line that ended the request; ok is false where none did.
func (s Timeline) Outcome() (Line, bool) {
	for i := len(s.Lines) - 1; i >= 0; i-- {
		if l := s.Lines[i]; l.Fields["request"] == s.Request && outcomes[l.Message] {
			return l, true
		}
	}
	return Line{}, false
}
