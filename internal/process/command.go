package process

import (
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/peer"
	"github.com/catkinstair/catkinstair/internal/settings"
)

// Identity holds the settings that every process of a VM needs: its own identity, TLS,
// tracing and logging.
type Identity struct {
	// TLS names the files that secure connections between the system's processes.
	TLS peer.TLSFiles
	// Trace is the value for Config.Trace.
	Trace string

	vm            string
	failureDomain string
	region        string
	incarnation   int
	logLevel      string
}

// Declare declares the settings.
func (i *Identity) Declare(set *settings.Set) {
	set.String(&i.vm, "vm", "", "name of this VM, without dots", settings.Required)
	set.String(&i.failureDomain, "failure-domain", "", "failure domain of this VM", settings.Required)
	set.String(&i.region, "region", "", "region of this VM", settings.Required)
	set.Int(&i.incarnation, "incarnation", 0, "incarnation of this process; 0 uses the wall clock in milliseconds")
	set.String(&i.TLS.CertFile, "tls-cert", "", "PEM file of this VM's certificate; empty for plaintext")
	set.String(&i.TLS.KeyFile, "tls-key", "", "PEM file of the certificate's private key")
	set.String(&i.TLS.CAFile, "tls-ca", "", "PEM file of the CAs that sign peers' certificates")
	set.String(&i.Trace, "trace", "", "file for a trace of the core; - for standard output")
	set.String(&i.logLevel, "log-level", "info", "minimum level of log lines", settings.OneOf(obs.Levels...))
}

// Instance returns the VM's name with the incarnation of this process. If the setting is 0,
// every call takes the incarnation from the wall clock again, so call it once.
func (i *Identity) Instance() ident.Instance {
	in := ident.Instance{VM: ident.VM(i.vm), Incarnation: ident.Incarnation(i.incarnation)}
	if i.incarnation == 0 {
		in.Incarnation = ident.Incarnation(time.Now().UnixMilli())
	}
	return in
}

// Place returns the region and failure domain of the VM.
func (i *Identity) Place() ident.Place {
	return ident.Place{Region: ident.Region(i.region), FailureDomain: ident.FailureDomain(i.failureDomain)}
}

// Logger returns a logger that writes JSON lines to standard error.
func (i *Identity) Logger(program string) (zerolog.Logger, error) {
	return obs.NewLogger(obs.Stderr(), i.logLevel, program)
}

// Command returns a program's root command. It declares the settings, resolves and checks
// them, and then calls run.
func Command(name, short string, declare func(*settings.Set), run func(*cobra.Command) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:           name,
		Short:         short,
		Version:       obs.Version(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	set := settings.ForCommand(cmd)
	declare(set)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Resolve(os.LookupEnv); err != nil {
			return err
		}
		return run(cmd)
	}
	cmd.AddCommand(&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { cmd.Println(obs.Version()) }})
	return cmd
}
