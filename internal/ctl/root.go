package ctl

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/settings"
)

// connection holds the settings for reaching the administration API.
type connection struct {
	addrs      []string
	key        string
	tls        bool
	ca         string
	serverName string
	timeout    time.Duration
}

// session is the context of one running command: its API client and its output format.
type session struct {
	*client
	cmd  *cobra.Command
	json bool
}

// Command returns the root command of catkinctl.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:   "catkinctl",
		Short: "Operate catkinstair: limits, versions, VMs, backend servers, the audit trail",
		Long: "Operate catkinstair over its administration API.\n\n" +
			"Exit codes: 0 done; 1 refused, invalid, or a VM lags; 2 invalid command line or setting;\n" +
			"3 nothing was changed, the system or its key-value service can't be reached; 4 the change may\n" +
			"have been made, run the same command again; 5 the key was rejected.",
		Version:       obs.Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(checkCommand(), sheetCommand(), limitsCommand(), configCommand(), vmsCommand(), backendsCommand(),
		drainCommand(), goneCommand(), ordersCommand(), auditCommand(), traceCommand(), reportCommand(), explainCommand(), journalCommand(), versionCommand())
	return root
}

// remoteCommand adds the connection settings to cmd and sets run, called with an API
// session, as its function.
func remoteCommand(cmd *cobra.Command, run func(s *session, args []string) error) *cobra.Command {
	var c connection
	var output string
	set := settings.ForCommand(cmd)
	set.Strings(&c.addrs, "addr", []string{"127.0.0.1:8081"}, "administration addresses, tried in order", settings.Required, settings.Addrs)
	set.String(&c.key, "key", "", "operator's key", settings.Required)
	set.Bool(&c.tls, "tls", false, "use TLS with the operating system's certificate authorities")
	set.String(&c.ca, "tls-ca", "", "PEM file of the CA that signed the API's certificate; implies --tls")
	set.String(&c.serverName, "tls-server-name", "", "server name in the API's certificate; empty uses the address")
	set.Duration(&c.timeout, "timeout", 35*time.Second, "timeout of one API request", settings.Positive)
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	if err := cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp)); err != nil {
		panic(err)
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if output != "table" && output != "json" {
			return exitErrorf(ExitUsage, "--output is %q, must be table or json", output)
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
