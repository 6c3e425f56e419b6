package ctl

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/settings"
)

// connection says how to reach the administration API.
type connection struct {
	addrs      []string
	key        string
	tls        bool
	ca         string
	serverName string
	timeout    time.Duration
}

// session is one command on its way: its client and its output.
type session struct {
	*client
	cmd  *cobra.Command
	json bool
}

// Command is the command line of catkinctl.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:   "catkinctl",
		Short: "Operate catkinstair: limits, versions, VMs, backend servers, the audit trail",
		Long: "Operate catkinstair over its administration API.\n\n" +
			"Exit codes: 0 done; 1 refused, faulty, or somebody lags; 2 faulty command line or setting;\n" +
			"3 nothing was done, the system or its key-value service can't be reached; 4 the change may\n" +
			"have been made, give the same command again; 5 the key is not accepted.",
		Version:       obs.Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(sheetCommand(), limitsCommand(), configCommand(), vmsCommand(), backendsCommand(),
		drainCommand(), goneCommand(), ordersCommand(), auditCommand(), traceCommand(), reportCommand(), explainCommand(), journalCommand(), versionCommand())
	return root
}

// remote turns run into a command that calls the API.
func remote(cmd *cobra.Command, run func(s *session, args []string) error) *cobra.Command {
	var c connection
	var output string
	set := settings.ForCommand(cmd)
	set.Strings(&c.addrs, "addr", []string{"127.0.0.1:8081"}, "administration addresses, tried in order", settings.Required, settings.Addrs)
	set.String(&c.key, "key", "", "operator's key", settings.Required)
	set.Bool(&c.tls, "tls", false, "use TLS with the machine's authorities")
	set.String(&c.ca, "tls-ca", "", "PEM file of the authority that signs the API's certificate; implies --tls")
	set.String(&c.serverName, "tls-server-name", "", "name in the API's certificate; empty takes the address")
	set.Duration(&c.timeout, "timeout", 35*time.Second, "wait for one answer", settings.Positive)
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	if err := cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp)); err != nil {
		panic(err)
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if output != "table" && output != "json" {
			return exit(ExitUsage, "--output is %q: want table or json", output)
		}
		if err := set.Resolve(os.LookupEnv); err != nil {
			return err
		}
		client, err := newClient(c)
		if err != nil {
			return err
		}
		return run(&session{client: client, cmd: cmd, json: output == "json"}, args)
	}
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { cmd.Println(obs.Version()) },
	}
}
