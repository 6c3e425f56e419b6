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
		Use: "explain REQUEST-ID LOG...", Short: "Tell what happened to a request, from the logs of several VMs",
		Long: "Tell what happened to a request, from the logs of several VMs, in the order of time.\n" +
			"Lines with * are the request's own; the others say what was learned of its backend servers.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return explainRequest(cmd, args[0], args[1:]) },
	}
}

func explainRequest(cmd *cobra.Command, request string, files []string) error {
	var logs []explain.OpenFunc
	for _, file := range files {
		logs = append(logs, func() (io.ReadCloser, error) { return os.Open(file) })
	}
	story, err := explain.BuildTimeline(request, logs)
	if err != nil {
		return exit(ExitUsage, "%v", err)
	}
	if len(story.Lines) == 0 {
		return exit(ExitRefused, "no line of request %s in %s: give the logs of all VMs", request, strings.Join(files, ", "))
	}
	return story.Write(cmd.OutOrStdout())
}

// journalCommand shows the bench's journal.
func journalCommand() *cobra.Command {
	var site string
	var all bool
	cmd := &cobra.Command{
		Use: "journal DIR", Short: "Show what each measured round won: scores, worths and prices by commit", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			entries, err := benchlog.Read(args[0])
			if err != nil {
				return exit(ExitUsage, "%v", err)
			}
			return writeJournal(cmd.OutOrStdout(), entries, site, all)
		},
	}
	cmd.Flags().StringVar(&site, "site", "", "only this deployment's runs")
	cmd.Flags().BoolVar(&all, "all", false, "single runs and hunts too, not scores only")
	return cmd
}

// shownPrices is the number of prices shown for a day.
const shownPrices = 3

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
			t.add(e.StartTime().Format("01-02 15:04"), commit, e.Site, e.Command, score, d.Name, fmt.Sprintf("%.3f", d.Worth), fmt.Sprintf("%.3f", d.Served),
				fmt.Sprintf("%.3f", d.Refused), fmt.Sprintf("%.3f", d.Failed), len(d.Rules), pricesText(d), e.Why)
		}
	}
	return t.write(out)
}

func pricesText(d benchlog.Day) string {
	var parts []string
	for _, p := range d.LargestPrices(shownPrices) {
		parts = append(parts, fmt.Sprintf("%s %.3f", p.Name, p.Worth))
	}
	return strings.Join(parts, ", ")
}
