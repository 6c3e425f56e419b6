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

// Identity is what every process of a VM is told of itself and of its peers.
type Identity struct {
	// TLS secures the links between the system's processes.
	TLS peer.TLSFiles
	// Trace is Config's.
	Trace string

	vm          string
	domain      string
	region      string
	incarnation int
	logLevel    string
}

// Declare declares the settings.
func (i *Identity) Declare(set *settings.Set) {
	set.String(&i.vm, "vm", "", "name of this VM, without dots", settings.Required)
	set.String(&i.domain, "failure-domain", "", "failure domain of this VM", settings.Required)
	set.String(&i.region, "region", "", "region of this VM", settings.Required)
	set.Int(&i.incarnation, "incarnation", 0, "life of this process; 0 takes the wall clock in milliseconds")
	set.String(&i.TLS.CertFile, "tls-cert", "", "PEM file of this VM's certificate; empty for plaintext")
	set.String(&i.TLS.KeyFile, "tls-key", "", "PEM file of its key")
	set.String(&i.TLS.CAFile, "tls-ca", "", "PEM file of the authorities that sign peers' certificates")
	set.String(&i.Trace, "trace", "", "stream for a trace of the core, - for standard output")
	set.String(&i.logLevel, "log-level", "info", "least level of log lines", settings.OneOf(obs.Levels...))
}

// Instance is this life of this VM.
func (i *Identity) Instance() ident.Instance {
	in := ident.Instance{VM: ident.VM(i.vm), Incarnation: ident.Incarnation(i.incarnation)}
	if i.incarnation == 0 {
		in.Incarnation = ident.Incarnation(time.Now().UnixMilli())
	}
	return in
}

// Place is where the VM stands.
func (i *Identity) Place() ident.Place {
	return ident.Place{Region: ident.Region(i.region), FailureDomain: ident.FailureDomain(i.domain)}
}

// Logger logs JSON lines on standard error.
func (i *Identity) Logger(program string) (zerolog.Logger, error) {
	return obs.NewLogger(obs.Stderr(), i.logLevel, program)
}

// Command is a program's command line: it declares settings, checks them all,
// then runs.
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
