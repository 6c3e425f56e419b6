package entry

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/settings"
)

// values are the settings as they stand in flags.
type values struct {
	cfg         Config
	vm          string
	domain      string
	region      string
	incarnation int
	logLevel    string
}

// Command is the command line of catkin-entry.
func Command() *cobra.Command {
	var v values
	cmd := &cobra.Command{
		Use:           "catkin-entry",
		Short:         "Data path of an entry VM",
		Version:       obs.Version(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	set := settings.On(cmd)
	v.declare(set)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Resolve(os.LookupEnv); err != nil {
			return err
		}
		return v.run(cmd)
	}
	cmd.AddCommand(&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { cmd.Println(obs.Version()) }})
	return cmd
}

func (v *values) declare(set *settings.Set) {
	set.String(&v.vm, "vm", "", "name of this VM, without dots", settings.Required)
	set.String(&v.domain, "failure-domain", "", "failure domain of this VM", settings.Required)
	set.String(&v.region, "region", "", "region of this VM", settings.Required)
	set.Int(&v.incarnation, "incarnation", 0, "life of this process; 0 takes the wall clock in milliseconds")
	set.String(&v.cfg.Listen, "listen", "", "address for callers, as they are told it", settings.Required, settings.Addr)
	set.String(&v.cfg.PeerListen, "peer-listen", "", "address for other entries", settings.Required, settings.Addr)
	set.String(&v.cfg.Control, "control", "", "address of this VM's control process", settings.Required, settings.Addr)
	set.String(&v.cfg.KV, "kv", "", "address of the key-value service", settings.Required, settings.Addr)
	set.String(&v.cfg.TLS.CertFile, "tls-cert", "", "PEM file of this VM's certificate; empty for plaintext")
	set.String(&v.cfg.TLS.KeyFile, "tls-key", "", "PEM file of its key")
	set.String(&v.cfg.TLS.CAFile, "tls-ca", "", "PEM file of the authorities that sign peers' certificates")
	set.Duration(&v.cfg.DefaultTimeout, "completion-timeout", 2*time.Minute, "time for a completion whose caller names none", settings.Positive)
	set.Duration(&v.cfg.CallTimeout, "call-timeout", 10*time.Second, "time for a call whose caller names none", settings.Positive)
	set.Duration(&v.cfg.Lifetime, "address-lifetime", 30*time.Second, "how long callers may keep the addresses", settings.Positive)
	set.Int(&v.cfg.Workers, "workers", 4096, "bound of blocking calls in progress", settings.Positive)
	set.Int(&v.cfg.MaxBodyBytes, "max-body-bytes", 4<<20, "bound of a request body", settings.Positive)
	set.Int(&v.cfg.CheckpointEvery, "checkpoint-every", 0, "tokens between exports of a stream's KV caches; 0 for none")
	set.Strings(&v.cfg.IdempotentServices, "idempotent-services", nil, "services all of whose calls may be repeated")
	set.Strings(&v.cfg.NonIdempotentGET, "non-idempotent-get", nil, "services whose GET calls may not be repeated")
	set.String(&v.cfg.TraceFile, "trace", "", "stream for a trace of the core, - for standard output")
	set.String(&v.logLevel, "log-level", "info", "least level of log lines", settings.OneOf(obs.Levels...))
}

func (v *values) run(cmd *cobra.Command) error {
	log, err := obs.NewLogger(obs.Stderr(), v.logLevel, "catkin-entry")
	if err != nil {
		return err
	}
	v.cfg.Self = ident.Instance{VM: ident.VM(v.vm), Incarnation: ident.Incarnation(v.incarnation)}
	if v.incarnation == 0 {
		v.cfg.Self.Incarnation = ident.Incarnation(time.Now().UnixMilli())
	}
	v.cfg.Place = ident.Place{Region: ident.Region(v.region), FailureDomain: ident.FailureDomain(v.domain)}
	shell, err := New(v.cfg, log)
	if err != nil {
		return err
	}
	return shell.Run(cmd.Context())
}
