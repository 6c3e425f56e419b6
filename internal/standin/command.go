package standin

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/settings"
)

const program = "catkin-standin"

// options holds the flags of catkin-standin.
type options struct {
	topology string
	kv       string
	vms      string
	weights  string
	control  string
	logLevel string
}

// ExitCode returns the exit code of catkin-standin for err.
func ExitCode(err error) int {
	var problems settings.Problems
	if errors.As(err, &problems) {
		return settings.ExitCode
	}
	return 1
}

// Command returns the root command of catkin-standin.
func Command() *cobra.Command {
	var opt options
	cmd := &cobra.Command{
		Use:           program,
		Short:         "Stand-ins for the platform, model engines and applications",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	set := settings.ForCommand(cmd)
	set.String(&opt.topology, "topology", "", "JSON file that describes the stand-ins", settings.Required)
	set.String(&opt.kv, "kv", "", "address of the key-value service, overrides the file", settings.Addr)
	set.String(&opt.vms, "vms", "", "address of the VM list, overrides the file", settings.Addr)
	set.String(&opt.weights, "weights", "", "address of the weight store, overrides the file", settings.Addr)
	set.String(&opt.control, "control", "", "address of the fault control, overrides the file", settings.Addr)
	set.String(&opt.logLevel, "log-level", "info", "minimum level of log lines", settings.OneOf(obs.Levels...))
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Resolve(os.LookupEnv); err != nil {
			return err
		}
		return run(opt)
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println(obs.Version()) },
	})
	return cmd
}

func run(opt options) error {
	log, err := obs.NewLogger(obs.Stderr(), opt.logLevel, program)
	if err != nil {
		return err
	}
	topology, err := ReadTopology(opt.topology)
	if err != nil {
		return err
	}
	override(&topology, opt)
	cluster, err := Start(topology)
	if err != nil {
		return err
	}
	defer cluster.Close()
	cluster.RegisterMetrics()
	log.Info().
		Interface("addresses", cluster.Addresses()).
		Int("servers", len(cluster.Servers())).
		Msg("stand-ins started")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	log.Info().Msg("stopping stand-ins")
	return nil
}

func override(t *Topology, opt options) {
	for _, o := range []struct {
		value string
		field *string
	}{
		{opt.kv, &t.KV},
		{opt.vms, &t.VMs},
		{opt.weights, &t.Weights},
		{opt.control, &t.Control},
	} {
		if o.value != "" {
			*o.field = o.value
		}
	}
}
