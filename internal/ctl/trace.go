package ctl

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/replay"
	"github.com/catkinstair/catkinstair/internal/report"
)

func traceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "trace", Short: "Work with recorded traces"}
	var asJSON, exact bool
	replayCmd := &cobra.Command{
		Use: "replay FILE...", Short: "Replay traces through the current cores; exit 1 if an expected outcome is missing or a rule is violated", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return replayFiles(cmd, files, asJSON, exact) },
	}
	replayCmd.Flags().BoolVar(&asJSON, "json", false, "print results as JSON lines")
	replayCmd.Flags().BoolVar(&exact, "exact", false, "also fail if an action differs from the recorded one")
	cmd.AddCommand(replayCmd)
	return cmd
}

func replayFiles(cmd *cobra.Command, files []string, asJSON, exact bool) error {
	failedTraces := 0
	t := table{header: []string{"TRACE", "CORE", "STEPS", "DIVERGED", "OUTCOMES", "ABOUT"}}
	for _, file := range files {
		header, result, err := replay.RunFile(file)
		if err != nil {
			return exitErrorf(ExitUsage, "%s: %v", file, err)
		}
		if !result.OK() || (exact && result.Diverged > 0) {
			failedTraces++
		}
		if asJSON {
			if err := json.NewEncoder(cmd.OutOrStdout()).Encode(result); err != nil {
				return errors.Wrap(err, "write the result")
			}
		}
		t.add(file, header.Core, result.Steps, result.Diverged, len(header.Outcomes)-len(result.Failed), header.Description)
		for _, failure := range append(result.Failed, result.Violations...) {
			cmd.PrintErrf("%s: %s\n", file, failure)
		}
	}
	if !asJSON {
		if err := t.write(cmd.OutOrStdout()); err != nil {
			return err
		}
	}
	if failedTraces > 0 {
		return exitErrorf(ExitRefused, "%d of %d traces failed", failedTraces, len(files))
	}
	return nil
}

func reportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use: "report FILE...", Short: "Convert reports of catkin-load to one HTML page with plots", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return writeReport(cmd, files, out) },
	}
	cmd.Flags().StringVar(&out, "out", "-", "output file; - for standard output")
	return cmd
}

func writeReport(cmd *cobra.Command, files []string, out string) error {
	var runs []report.LoadTest
	for _, file := range files {
		run, err := readLoadTest(file)
		if err != nil {
			return exitErrorf(ExitUsage, "%s: %v", file, err)
		}
		runs = append(runs, run)
	}
	if out == "-" {
		return report.Write(cmd.OutOrStdout(), runs...)
	}
	page, err := os.Create(out)
	if err != nil {
		return exitErrorf(ExitUsage, "%v", err)
	}
	return errors.CombineErrors(report.Write(page, runs...), page.Close())
}

func readLoadTest(file string) (report.LoadTest, error) {
	in, err := os.Open(file)
	if err != nil {
		return report.LoadTest{}, err
	}
	defer in.Close()
	return report.Read(in)
}
