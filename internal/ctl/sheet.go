package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/config"
)

// statusPollInterval is the interval between two requests for the configuration status.
const statusPollInterval = 500 * time.Millisecond

func sheetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "sheet", Short: "Check, compare and apply the morning sheet"}
	cmd.AddCommand(sheetCheckCommand(), sheetDiffCommand(), sheetApplyCommand())
	return cmd
}

// sheetCheckCommand checks a sheet locally: it calls no API and needs no key.
func sheetCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a sheet offline and report every fault by row and column", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name, text, err := readSheet(cmd, args[0])
			if err != nil {
				return err
			}
			sheet, faults := config.ParseSheet(name, text)
			if len(faults) > 0 {
				return reportFaults(cmd, faults)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d rows for %s, no faults\n", name, len(sheet.Rows), sheet.Day)
			return nil
		},
	}
}

func sheetDiffCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "diff FILE", Short: "Show what a sheet would change", Args: cobra.ExactArgs(1)}
	return remoteCommand(cmd, func(s *session, args []string) error {
		name, text, err := readSheet(s.cmd, args[0])
		if err != nil {
			return err
		}
		var response adminapi.SheetResponse
		if err := s.post("sheet/diff", map[string]string{"file": name}, text, &response); err != nil {
			return err
		}
		if err := s.render(response, changesTable(response.Changes)); err != nil {
			return err
		}
		return reportFaults(s.cmd, response.Faults)
	})
}

func sheetApplyCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "apply FILE", Short: "Apply a sheet as a whole, or report every row that can't be accepted", Args: cobra.ExactArgs(1),
		Long: "Apply a sheet as a whole, or report every row that can't be accepted. Applying the same sheet\n" +
			"again succeeds without effect, so after an unknown outcome run the command again.",
	}
	remoteCommand(cmd, func(s *session, args []string) error { return s.apply(args[0], wait) })
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum wait until every VM has the version")
	return cmd
}

func (s *session) apply(file string, wait time.Duration) error {
	name, text, err := readSheet(s.cmd, file)
	if err != nil {
		return err
	}
	var outcome config.Outcome
	if err := s.post("sheet/apply", map[string]string{"file": name}, text, &outcome); err != nil {
		return err
	}
	if err := s.render(outcome, changesTable(outcome.Changes)); err != nil {
		return err
	}
	switch outcome.Kind {
	case config.OutcomeAccepted, config.OutcomeUnchanged:
		s.cmd.PrintErrf("%s: version %d %s\n", outcome.Kind, outcome.Version, outcome.Detail)
		return s.awaitVersion(outcome.Version, wait)
	case config.OutcomeRefused:
		if outcome.LostRaceTo != "" {
			s.cmd.PrintErrf("%s was faster: the sheet was judged against version %d\n", outcome.LostRaceTo, outcome.Version)
		}
		if err := reportFaults(s.cmd, outcome.Faults); err != nil {
			return err
		}
		return exitErrorf(ExitRefused, "refused: %s", outcome.Detail)
	case config.OutcomeUnavailable:
		return exitErrorf(ExitUnavailable, "%s", outcome.Detail)
	}
	return exitErrorf(ExitUnknown, "%s", outcome.Detail)
}

// awaitVersion polls until every VM has the version or wait has passed.
func (s *session) awaitVersion(version uint64, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	start := time.Now()
	for {
		var status adminapi.ConfigStatus
		err := s.get("config/status", nil, &status)
		lagging := countLagging(status, version)
		if err == nil && lagging == 0 && status.Newest >= version {
			s.cmd.PrintErrf("in force on %d VMs after %s\n", len(status.VMs), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) >= wait {
			return exitErrorf(ExitRefused, "version %d is accepted, but %d of %d VMs lag after %s", version, lagging, len(status.VMs), wait)
		}
		time.Sleep(statusPollInterval)
	}
}

func countLagging(status adminapi.ConfigStatus, version uint64) int {
	n := 0
	for _, vm := range status.VMs {
		if vm.Version < version {
			n++
		}
	}
	return n
}

// readSheet reads a file, or standard input if file is "-".
func readSheet(cmd *cobra.Command, file string) (string, []byte, error) {
	if file == "-" {
		text, err := io.ReadAll(io.LimitReader(cmd.InOrStdin(), config.MaxSheetBytes+1))
		if err != nil {
			return "", nil, exitErrorf(ExitUsage, "standard input: %v", err)
		}
		return "stdin", text, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, exitErrorf(ExitUsage, "%v", err)
	}
	return filepath.Base(file), text, nil
}

func reportFaults(cmd *cobra.Command, faults []config.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	for _, fault := range faults {
		cmd.PrintErrln(fault)
	}
	return exitErrorf(ExitRefused, "%d faults, nothing was changed", len(faults))
}

func changesTable(changes []config.Change) func(t *table) {
	return func(t *table) {
		t.header = []string{"TEAM", "SERVICE", "UNIT", "BEFORE", "AFTER"}
		for _, c := range changes {
			t.add(c.Key.Team, c.Key.Service, c.Key.Unit, c.Before, c.After)
		}
	}
}
