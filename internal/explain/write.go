package explain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Write prints the story: one line for each log line, with the milliseconds since the
// request's first, and the outcome at the end.
func (s Timeline) Write(out io.Writer) error {
	var b strings.Builder
	start := s.Lines[0].At
	for _, l := range s.Lines {
		if l.Fields["request"] == s.Request {
			start = l.At
			break
		}
	}
	for _, l := range s.Lines {
		mark := " "
		if l.Fields["request"] == s.Request {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %+7d ms  %-20s %s%s\n", mark, l.At.Sub(start).Milliseconds(), l.VM, l.Message, fieldsText(l.Fields, "request"))
	}
	if l, ok := s.Outcome(); ok {
		fmt.Fprintf(&b, "outcome: %s%s\n", l.Message, fieldsText(l.Fields, "request", "path"))
	} else {
		b.WriteString("outcome: none in these logs; the process ended, or its log is missing\n")
	}
	if s.UnparsedLines > 0 {
		fmt.Fprintf(&b, "%d lines were not JSON and were passed over\n", s.UnparsedLines)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write the story")
}

// fieldsText writes the fields in the order of their names, without empty ones.
func fieldsText(fields map[string]any, without ...string) string {
	names := make([]string, 0, len(fields))
	for name, value := range fields {
		if value != "" && !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
