package ctl

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/node"
	"github.com/catkinstair/catkinstair/internal/report"
	"github.com/catkinstair/catkinstair/internal/trace"
)

// stepper adapts a node's core to a replay.
type stepper func(now time.Duration, event any) []any

// Step implements trace.Stepper.
func (f stepper) Step(now time.Duration, event any) []any { return f(now, event) }

// rebuild makes the core that a trace's header names.
func rebuild(header trace.Header) (*trace.Registry, trace.Stepper, error) {
	switch header.Core {
	case "entry":
		var cfg node.EntryConfig
		if err := json.Unmarshal(header.Config, &cfg); err != nil {
			return nil, nil, errors.Wrap(err, "the trace's configuration")
		}
		core, err := node.NewEntry(cfg)
		if err != nil {
			return nil, nil, err
		}
		return trace.NewRegistry(node.EntryEvents()...), stepper(func(now time.Duration, event any) []any {
			return anys(core.Step(now, event))
		}), nil
	case "control":
		var cfg node.ControlConfig
		if err := json.Unmarshal(header.Config, &cfg); err != nil {
			return nil, nil, errors.Wrap(err, "the trace's configuration")
		}
		core, err := node.NewControl(cfg)
		if err != nil {
			return nil, nil, err
		}
		return trace.NewRegistry(node.ControlEvents()...), stepper(func(now time.Duration, event any) []any {
			return anys(core.Step(now, event))
		}), nil
	}
	return nil, nil, errors.Newf("the trace is of core %q, want entry or control", header.Core)
}

func anys(actions []node.Action) []any {
	out := make([]any, len(actions))
	for i, action := range actions {
		out[i] = action
	}
	return out
}

// Replay runs a trace through today's core.
func Replay(in io.Reader) (trace.Header, trace.Result, error) {
	reader, err := trace.NewReader(in)
	if err != nil {
		return trace.Header{}, trace.Result{}, err
	}
	registry, core, err := rebuild(reader.Header)
	if err != nil {
		return reader.Header, trace.Result{}, err
	}
	result, err := trace.Replay(reader, registry, core, nil)
	return reader.Header, result, err
}

func traceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "trace", Short: "Work with recorded traces"}
	var asJSON, exact bool
	replay := &cobra.Command{
		Use: "replay FILE...", Short: "Replay traces through today's core; exit 1 if a stated outcome fails", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return replayFiles(cmd, files, asJSON, exact) },
	}
	replay.Flags().BoolVar(&asJSON, "json", false, "print results as JSON lines")
	replay.Flags().BoolVar(&exact, "exact", false, "also fail where an action differs from the recorded one")
	cmd.AddCommand(replay)
	return cmd
}

func replayFiles(cmd *cobra.Command, files []string, asJSON, exact bool) error {
	failed := 0
	t := table{header: []string{"TRACE", "CORE", "STEPS", "DIVERGED", "OUTCOMES", "ABOUT"}}
	for _, file := range files {
		header, result, err := replayFile(file)
		if err != nil {
			return exit(ExitUsage, "%s: %v", file, err)
		}
		if len(result.Failed) > 0 || (exact && result.Diverged > 0) {
			failed++
		}
		if asJSON {
			if err := json.NewEncoder(cmd.OutOrStdout()).Encode(result); err != nil {
				return errors.Wrap(err, "write the result")
			}
		}
		t.add(file, header.Core, result.Steps, result.Diverged, len(header.Outcomes)-len(result.Failed), header.About)
		for _, missed := range result.Failed {
			cmd.PrintErrf("%s: %s\n", file, missed)
		}
	}
	if !asJSON {
		if err := t.write(cmd.OutOrStdout()); err != nil {
			return err
		}
	}
	if failed > 0 {
		return exit(ExitRefused, "%d of %d traces did not show their outcomes", failed, len(files))
	}
	return nil
}

func replayFile(file string) (trace.Header, trace.Result, error) {
	in, err := os.Open(file)
	if err != nil {
		return trace.Header{}, trace.Result{}, err
	}
	defer in.Close()
	return Replay(in)
}

func reportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use: "report FILE...", Short: "Turn reports of catkin-load into one HTML page with plots", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return writeReport(cmd, files, out) },
	}
	cmd.Flags().StringVar(&out, "out", "-", "file to write; - for standard output")
	return cmd
}

func writeReport(cmd *cobra.Command, files []string, out string) error {
	var loads []report.Load
	for _, file := range files {
		load, err := readLoad(file)
		if err != nil {
			return exit(ExitUsage, "%s: %v", file, err)
		}
		loads = append(loads, load)
	}
	if out == "-" {
		return report.Write(cmd.OutOrStdout(), loads...)
	}
	page, err := os.Create(out)
	if err != nil {
		return exit(ExitUsage, "%v", err)
	}
	return errors.CombineErrors(report.Write(page, loads...), page.Close())
}

func readLoad(file string) (report.Load, error) {
	in, err := os.Open(file)
	if err != nil {
		return report.Load{}, err
	}
	defer in.Close()
	return report.Read(in)
}
