package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/catkinstair/catkinstair/internal/control"
	"github.com/catkinstair/catkinstair/internal/ctl"
	"github.com/catkinstair/catkinstair/internal/entry"
	"github.com/catkinstair/catkinstair/internal/load"
	"github.com/catkinstair/catkinstair/internal/settings"
	"github.com/catkinstair/catkinstair/internal/standin"
)

const pageHeader = `# Settings

Generated from the flags: ` + "`go run ./internal/tools/settingsdoc > docs/operators/settings.md`" + `.

A flag takes precedence over its environment variable, which takes precedence over
the default. If a setting is invalid, the program exits with code 2 and a message that
lists every invalid setting. Durations are written as 1.5s or 2m; lists are separated by
commas.
`

// renderPage returns the page in Markdown.
func renderPage() string {
	var out strings.Builder
	out.WriteString(pageHeader)
	for _, program := range []*cobra.Command{
		entry.Command(), control.Command(), ctl.Command(), standin.Command(), load.Command(),
	} {
		writeSection(&out, program)
	}
	return out.String()
}

// writeSection writes the settings of a command and of its subcommands. Commands without
// settings are omitted.
func writeSection(out *strings.Builder, cmd *cobra.Command) {
	var rows strings.Builder
	cmd.LocalFlags().VisitAll(func(flag *pflag.Flag) { writeRow(&rows, flag) })
	if rows.Len() > 0 {
		fmt.Fprintf(out, "\n## %s\n\n%s.\n\n", cmd.CommandPath(), cmd.Short)
		out.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
		out.WriteString(rows.String())
	}
	for _, child := range cmd.Commands() {
		writeSection(out, child)
	}
}

func writeRow(out *strings.Builder, flag *pflag.Flag) {
	meaning, variable := flag.Usage, ""
	name := settings.EnvName(flag.Name)
	if trimmed, ok := strings.CutSuffix(meaning, " [$"+name+"]"); ok {
		meaning, variable = trimmed, inlineCode(name)
	}
	fmt.Fprintf(out, "| `--%s` | %s | %s | %s |\n", flag.Name, variable, formatDefault(flag), strings.ReplaceAll(meaning, "|", "\\|"))
}

// formatDefault returns the default as written on the command line: a list without brackets.
func formatDefault(flag *pflag.Flag) string {
	value := flag.DefValue
	if _, ok := flag.Value.(pflag.SliceValue); ok {
		value = strings.Trim(value, "[]")
	}
	if value == "" {
		return ""
	}
	return inlineCode(value)
}

func inlineCode(text string) string { return "`" + text + "`" }
