package explain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Write prints one line for each log line, with the milliseconds since the request's first
// line, and the outcome at the end. Lines of the request itself are marked with *. The
// timeline must not be empty.
func (t Timeline) Write(out io.Writer) error {
	var b strings.Builder
	start := t.Lines[0].At
	for _, l := range t.Lines {
		if l.Fields["request"] == t.Request {
			start = l.At
			break
		}
	}
	for _, l := range t.Lines {
		mark := " "
		if l.Fields["request"] == t.Request {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %+7d ms  %-20s %s%s\n", mark, l.At.Sub(start).Milliseconds(), l.VM, l.Message, formatFields(l.Fields, "request"))
	}
	if l, ok := t.Outcome(); ok {
		fmt.Fprintf(&b, "outcome: %s%s\n", l.Message, formatFields(l.Fields, "request", "path"))
	} else {
		b.WriteString("outcome: none in these logs; the process stopped, or its log is missing\n")
	}
	if t.UnparsedLines > 0 {
		fmt.Fprintf(&b, "%d lines were not JSON and were skipped\n", t.UnparsedLines)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "writing the timeline")
}

// formatFields formats the fields sorted by name, without empty ones.
func formatFields(fields map[string]any, exclude ...string) string {
	names := make([]string, 0, len(fields))
	for name, value := range fields {
		if value != "" && !slices.Contains(exclude, name) {
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
