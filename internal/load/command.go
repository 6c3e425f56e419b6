package load

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/settings"
	"github.com/catkinstair/catkinstair/internal/standin"
)

const program = "catkin-load"

// exitChecksFailed is the exit code of a run in which a check failed.
const exitChecksFailed = 3

var errChecksFailed = errors.New("checks failed, see checks in the report")

// ExitCode returns the exit code of catkin-load for err.
func ExitCode(err error) int {
	var invalid settings.Problems
	switch {
	case errors.As(err, &invalid):
		return settings.ExitCode
	case errors.Is(err, errChecksFailed):
		return exitChecksFailed
	default:
		return 1
	}
}

// options holds the settings and the flags from which runCommand sets some of them.
type options struct {
	cfg    Config
	seed   int
	faults []string
	marks  []string
	out    string
}

// Command returns the root command of catkin-load.
func Command() *cobra.Command {
	opt := options{cfg: DefaultConfig()}
	cmd := &cobra.Command{
		Use:           program,
		Short:         "Offer load, check every answer, print a JSON report",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	set := settings.ForCommand(cmd)
	declareLoadFlags(set, &opt)
	declareRunFlags(set, &opt)
	// Not a list setting, because the JSON of a fault contains commas.
	cmd.Flags().StringArrayVar(&opt.faults, "fault", nil,
		`fault to set at the stand-ins, such as '10s:{"target":"kv","kind":"down"}'; may be repeated`)
	cmd.Flags().StringArrayVar(&opt.marks, "mark", nil,
		"time and name of a failure caused from outside the run, such as '10s:entry killed'; may be repeated")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Resolve(os.LookupEnv); err != nil {
			return err
		}
		return runCommand(cmd, opt)
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println(obs.Version()) },
	})
	return cmd
}

func declareLoadFlags(set *settings.Set, opt *options) {
	c := &opt.cfg
	set.Strings(&c.Entries, "entries", nil, "entry addresses from which callers fetch their first addresses", settings.Required, settings.Addrs)
	set.Strings(&c.Teams, "teams", c.Teams, "teams, assigned to the callers in turn", settings.Required)
	set.Int(&c.Callers, "callers", c.Callers, "number of callers", settings.Positive)
	set.Float(&c.CompletionsPerSecond, "completions", c.CompletionsPerSecond, "offered completions per second")
	set.Float(&c.ReadsPerSecond, "reads", c.ReadsPerSecond, "offered reads of the service per second")
	set.Float(&c.ReservationsPerSecond, "reservations", c.ReservationsPerSecond, "offered reservations per second")
	set.Float(&c.StreamShare, "stream-share", c.StreamShare, "share of the completions that stream, 0 to 1")
	set.Float(&c.OwnKeyShare, "own-key-share", c.OwnKeyShare, "share of the reservations whose idempotency key lacks the entry's prefix, 0 to 1")
	set.Float(&c.StaleShare, "stale-share", c.StaleShare, "share of the callers that keep addresses for their whole lifetime, also after failures, 0 to 1")
	set.String(&c.Model, "model", c.Model, "model of the completions", settings.Required)
	set.String(&c.Service, "service", c.Service, "plain service to call", settings.Required)
	set.Int(&c.Layers, "layers", c.Layers, "number of layers of the model", settings.Positive)
	set.Int(&c.PromptWords, "prompt-words", c.PromptWords, "number of random words in a prompt", settings.Positive)
	set.Int(&c.MaxTokens, "max-tokens", c.MaxTokens, "maximum number of tokens of an answer", settings.Positive)
	set.Float(&c.Bound.Completions, "bound-completions", 0, "accepted limit in completions per second, 0 for none")
	set.Float(&c.Bound.Tokens, "bound-tokens", 0, "accepted limit in tokens per second, 0 for none")
	set.Float(&c.Bound.Reads, "bound-reads", 0, "accepted limit in reads per second, 0 for none")
	set.Float(&c.Bound.Reservations, "bound-reservations", 0, "accepted limit in reservations per second, 0 for none")
	set.Float(&c.Bound.Calls, "bound-calls", 0, "accepted limit in reads and reservations together per second, 0 for none")
}

func declareRunFlags(set *settings.Set, opt *options) {
	c := &opt.cfg
	set.String(&c.Name, "name", c.Name, "name of the run in reports", settings.Required)
	set.Int(&opt.seed, "seed", int(c.Seed), "seed of arrivals, prompts and choices")
	set.Duration(&c.Duration, "duration", c.Duration, "time in which requests start", settings.Positive)
	set.Duration(&c.Warmup, "warmup", c.Warmup, "first part of the run, which rates and percentiles exclude")
	set.Duration(&c.RequestTimeout, "patience", c.RequestTimeout, "timeout of one request with all its attempts", settings.Positive)
	set.Duration(&c.AttemptTimeout, "attempt-timeout", c.AttemptTimeout, "timeout of one attempt at a service call", settings.Positive)
	set.Duration(&c.TokenTimeout, "token-timeout", c.TokenTimeout, "maximum wait for the next token of a stream", settings.Positive)
	set.Int(&c.MaxAttempts, "max-attempts", c.MaxAttempts, "maximum number of attempts at one request", settings.Positive)
	set.Int(&c.MaxInFlight, "max-in-flight", c.MaxInFlight, "maximum number of requests in flight", settings.Positive)
	set.String(&c.Control, "control", "", "address of the stand-ins' fault control, for the ledger and faults", settings.Addr)
	set.String(&opt.out, "out", "", "file for the report instead of standard output")
}

func runCommand(cmd *cobra.Command, opt options) error {
	opt.cfg.Seed = uint64(opt.seed)
	var err error
	if opt.cfg.Faults, err = parseFaults(opt.faults); err != nil {
		return err
	}
	if opt.cfg.Marks, err = parseMarks(opt.marks); err != nil {
		return err
	}
	result, err := Run(opt.cfg)
	if err != nil && result.Requests == 0 {
		return err
	}
	raw, marshalErr := json.MarshalIndent(result, "", "  ")
	if marshalErr != nil {
		return errors.Wrap(marshalErr, "encode report")
	}
	if writeErr := writeReport(cmd, opt.out, append(raw, '\n')); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return err
	}
	if result.Checks.Faults() > 0 {
		return errChecksFailed
	}
	return nil
}

func writeReport(cmd *cobra.Command, path string, raw []byte) error {
	if path != "" {
		return errors.Wrap(os.WriteFile(path, raw, 0o644), "write report")
	}
	_, err := cmd.OutOrStdout().Write(raw)
	return err
}

func parseFaults(texts []string) ([]TimedFault, error) {
	var out []TimedFault
	for _, text := range texts {
		at, rest, err := parseTimed("fault", text)
		if err != nil {
			return nil, err
		}
		var f standin.Fault
		if err := json.Unmarshal([]byte(rest), &f); err != nil {
			return nil, settings.Problems{{Name: "fault", Value: text, Reason: err.Error()}}
		}
		if err := f.Validate(); err != nil {
			return nil, settings.Problems{{Name: "fault", Value: text, Reason: err.Error()}}
		}
		out = append(out, TimedFault{At: at, Fault: f})
	}
	return out, nil
}

func parseMarks(texts []string) ([]Mark, error) {
	var out []Mark
	for _, text := range texts {
		at, rest, err := parseTimed("mark", text)
		if err != nil {
			return nil, err
		}
		out = append(out, Mark{At: at, Label: rest})
	}
	return out, nil
}

// parseTimed splits "10s:rest" into the time and the rest.
func parseTimed(flag, text string) (time.Duration, string, error) {
	timeText, rest, _ := strings.Cut(text, ":")
	at, err := time.ParseDuration(timeText)
	if err != nil || rest == "" {
		return 0, "", settings.Problems{{Name: flag, Value: text, Reason: "must be a time, a colon and a value, such as 10s:..."}}
	}
	return at, rest, nil
}
