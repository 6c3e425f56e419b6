package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// table is a text table with a header row.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(fields ...any) {
	row := make([]string, len(fields))
	for i, field := range fields {
		row[i] = fmt.Sprint(field)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return errors.Wrap(out.Flush(), "write the table")
}

// render prints value as JSON, or the table that fill builds.
func (s *session) render(value any, fill func(t *table)) error {
	out := s.cmd.OutOrStdout()
	if s.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write the response")
	}
	var t table
	fill(&t)
	return t.write(out)
}
