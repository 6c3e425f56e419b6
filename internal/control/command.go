package control

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/adminapi"
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
	keys        string
	logLevel    string
}

// Command is the command line of catkin-control.
func Command() *cobra.Command {
	var v values
	cmd := &cobra.Command{
		Use:           "catkin-control",
		Short:         "Control path of an entry VM",
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
	set.String(&v.cfg.Listen, "listen", "", "address for peers and this VM's entry process", settings.Required, settings.Addr)
	set.String(&v.cfg.AdminListen, "admin-listen", "", "address for operators and probes", settings.Required, settings.Addr)
	set.String(&v.cfg.EntryAddr, "entry-addr", "", "where callers reach this VM's entry process", settings.Required, settings.Addr)
	set.String(&v.cfg.EntryPeerAddr, "entry-peer-addr", "", "where other entries reach it", settings.Required, settings.Addr)
	set.String(&v.cfg.KV, "kv", "", "address of the key-value service", settings.Required, settings.Addr)
	set.String(&v.cfg.VMList, "vm-list", "", "address of the VM list", settings.Required, settings.Addr)
	set.Strings(&v.cfg.Seeds, "seeds", nil, "control addresses of other VMs", settings.Addrs)
	set.String(&v.keys, "admin-keys", "", "operators' keys as name=key,name=key; none closes the API", validKeys)
	set.String(&v.cfg.TLS.CertFile, "tls-cert", "", "PEM file of this VM's certificate; empty for plaintext")
	set.String(&v.cfg.TLS.KeyFile, "tls-key", "", "PEM file of its key")
	set.String(&v.cfg.TLS.CAFile, "tls-ca", "", "PEM file of the authorities that sign peers' certificates")
	set.String(&v.cfg.AdminCert, "admin-tls-cert", "", "PEM file of the administration API's certificate; empty for plaintext")
	set.String(&v.cfg.AdminKey, "admin-tls-key", "", "PEM file of its key")
	set.Duration(&v.cfg.ListEvery, "list-every", 2*time.Second, "time between reads of the VM list", settings.Positive)
	set.Duration(&v.cfg.StopWithin, "stop-within", 2*time.Minute, "bound of a planned stop", settings.Positive)
	set.String(&v.cfg.TraceFile, "trace", "", "stream for a trace of the core, - for standard output")
	set.String(&v.logLevel, "log-level", "info", "least level of log lines", settings.OneOf(obs.Levels...))
}

// validKeys checks the operators' keys. Its message does not repeat them.
func validKeys(text string) error {
	_, err := adminapi.ParseKeys(text)
	return err
}

func (v *values) run(cmd *cobra.Command) error {
	log, err := obs.NewLogger(obs.Stderr(), v.logLevel, "catkin-control")
	if err != nil {
		return err
	}
	if v.cfg.Keys, err = adminapi.ParseKeys(v.keys); err != nil {
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
