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
	cmdReplay := &cobra.Command{
		Use: "replay FILE...", Short: "Replay traces through today's core; exit 1 if a stated outcome fails", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return replayFiles(cmd, files, asJSON, exact) },
	}
	cmdReplay.Flags().BoolVar(&asJSON, "json", false, "print results as JSON lines")
	cmdReplay.Flags().BoolVar(&exact, "exact", false, "also fail where an action differs from the recorded one")
	cmd.AddCommand(cmdReplay)
	return cmd
}

func replayFiles(cmd *cobra.Command, files []string, asJSON, exact bool) error {
	failed := 0
	t := table{header: []string{"TRACE", "CORE", "STEPS", "DIVERGED", "OUTCOMES", "ABOUT"}}
	for _, file := range files {
		header, result, err := replay.RunFile(file)
		if err != nil {
			return exit(ExitUsage, "%s: %v", file, err)
		}
		if !result.OK() || (exact && result.Diverged > 0) {
			failed++
		}
		if asJSON {
			if err := json.NewEncoder(cmd.OutOrStdout()).Encode(result); err != nil {
				return errors.Wrap(err, "write the result")
			}
		}
		t.add(file, header.Core, result.Steps, result.Diverged, len(header.Outcomes)-len(result.Failed), header.Description)
		for _, missed := range append(result.Failed, result.Violations...) {
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
	var loads []report.LoadTest
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

func readLoad(file string) (report.LoadTest, error) {
	in, err := os.Open(file)
	if err != nil {
		return report.LoadTest{}, err
	}
	defer in.Close()
	return report.Read(in)
}
