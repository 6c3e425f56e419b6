package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/benchlog"
	"github.com/catkinstair/catkinstair/internal/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST-ID LOG...", Short: "Explain what happened to a request, from the logs of several VMs",
		Long: "Explain what happened to a request, from the logs of several VMs, in chronological order.\n" +
			"Lines marked with * belong to the request; the others report events of its backend servers.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return explainRequest(cmd, args[0], args[1:]) },
	}
}

func explainRequest(cmd *cobra.Command, request string, files []string) error {
	var logs []explain.OpenFunc
	for _, file := range files {
		logs = append(logs, func() (io.ReadCloser, error) { return os.Open(file) })
	}
	timeline, err := explain.BuildTimeline(request, logs)
	if err != nil {
		return exitErrorf(ExitUsage, "%v", err)
	}
	if len(timeline.Lines) == 0 {
		return exitErrorf(ExitRefused, "no line of request %s in %s: pass the logs of all VMs", request, strings.Join(files, ", "))
	}
	return timeline.Write(cmd.OutOrStdout())
}

// journalCommand returns the command that prints the journal of benchmark runs.
func journalCommand() *cobra.Command {
	var site string
	var all bool
	cmd := &cobra.Command{
		Use: "journal DIR", Short: "Show benchmark runs by commit: scores, net values (WORTH) and largest prices", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			entries, err := benchlog.Read(args[0])
			if err != nil {
				return exitErrorf(ExitUsage, "%v", err)
			}
			return writeJournal(cmd.OutOrStdout(), entries, site, all)
		},
	}
	cmd.Flags().StringVar(&site, "site", "", "only runs of this deployment")
	cmd.Flags().BoolVar(&all, "all", false, "also show runs without a score, such as those of the commands run and hunt")
	return cmd
}

// maxPrices is the maximum number of prices shown for a day.
const maxPrices = 3

func writeJournal(out io.Writer, entries []benchlog.Entry, site string, all bool) error {
	t := table{header: []string{"BEGIN", "COMMIT", "SITE", "RUN", "SCORE", "DAY", "WORTH", "SERVED", "REFUSED", "FAILED", "BROKEN", "PRICES", "WHY"}}
	for _, e := range entries {
		if (site != "" && e.Site != site) || (!all && e.Score == nil) {
			continue
		}
		score := "-"
		if e.Score != nil {
			score = fmt.Sprintf("%.3f", *e.Score)
		}
		commit := e.Head[:min(8, len(e.Head))]
		if e.Dirty {
			commit += "+"
		}
		for _, d := range e.Days {
			t.add(e.StartTime().Format("01-02 15:04"), commit, e.Site, e.Command, score, d.Name, fmt.Sprintf("%.3f", d.NetValue), fmt.Sprintf("%.3f", d.Served),
				fmt.Sprintf("%.3f", d.Refused), fmt.Sprintf("%.3f", d.Failed), len(d.Rules), formatPrices(d), e.Reason)
		}
	}
	return t.write(out)
}

func formatPrices(d benchlog.Day) string {
	var prices []string
	for _, p := range d.LargestPrices(maxPrices) {
		prices = append(prices, fmt.Sprintf("%s %.3f", p.Name, p.Cost))
	}
	return strings.Join(prices, ", ")
}
