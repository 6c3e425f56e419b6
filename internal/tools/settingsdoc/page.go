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

const head = `# Settings

Generated from the flags: ` + "`go run ./internal/tools/settingsdoc > docs/operators/settings.md`" + `.

A flag goes before its environment variable, which goes before the default. A
faulty setting ends the program with exit code 2 and a message that names every
fault. Spans of time are written as 1.5s or 2m; lists are separated by commas.
`

// page is the whole page.
func page() string {
	var out strings.Builder
	out.WriteString(head)
	for _, program := range []*cobra.Command{
		entry.Command(), control.Command(), ctl.Command(), standin.Command(), load.Command(),
	} {
		section(&out, program)
	}
	return out.String()
}

// section writes the settings of a command and of the commands below it; one
// that has none is left out.
func section(out *strings.Builder, cmd *cobra.Command) {
	var rows strings.Builder
	cmd.LocalFlags().VisitAll(func(flag *pflag.Flag) { row(&rows, flag) })
	if rows.Len() > 0 {
		fmt.Fprintf(out, "\n## %s\n\n%s.\n\n", cmd.CommandPath(), cmd.Short)
		out.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
		out.WriteString(rows.String())
	}
	for _, child := range cmd.Commands() {
		section(out, child)
	}
}

func row(out *strings.Builder, flag *pflag.Flag) {
	meaning, variable := flag.Usage, ""
	name := settings.EnvName(flag.Name)
	if cut, ok := strings.CutSuffix(meaning, " [$"+name+"]"); ok {
		meaning, variable = cut, code(name)
	}
	fmt.Fprintf(out, "| `--%s` | %s | %s | %s |\n", flag.Name, variable, defaultOf(flag), strings.ReplaceAll(meaning, "|", "\\|"))
}

// defaultOf is the default as a person writes it.
func defaultOf(flag *pflag.Flag) string {
	value := flag.DefValue
	if _, ok := flag.Value.(pflag.SliceValue); ok {
		value = strings.Trim(value, "[]")
	}
	if value == "" {
		return ""
	}
	return code(value)
}

func code(text string) string { return "`" + text + "`" }
