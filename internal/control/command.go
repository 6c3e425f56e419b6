package control

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/adminapi"
	"github.com/catkinstair/catkinstair/internal/process"
	"github.com/catkinstair/catkinstair/internal/settings"
)

// commandFlags holds the parsed flags.
type commandFlags struct {
	process.Identity
	cfg       Config
	adminKeys string
}

// Command returns the catkin-control command.
func Command() *cobra.Command {
	var v commandFlags
	return process.Command("catkin-control", "Control path of an entry VM", v.declare, v.run)
}

func (v *commandFlags) declare(set *settings.Set) {
	v.Declare(set)
	set.String(&v.cfg.Listen, "listen", "", "address for peers and this VM's entry process", settings.Required, settings.Addr)
	set.String(&v.cfg.AdminListen, "admin-listen", "", "address for operators and probes", settings.Required, settings.Addr)
	set.String(&v.cfg.EntryAddr, "entry-addr", "", "address of this VM's entry process for callers", settings.Required, settings.Addr)
	set.String(&v.cfg.EntryPeerAddr, "entry-peer-addr", "", "address of this VM's entry process for other entries", settings.Required, settings.Addr)
	set.String(&v.cfg.KV, "kv", "", "address of the key-value service", settings.Required, settings.Addr)
	set.String(&v.cfg.VMList, "vm-list", "", "address of the VM list", settings.Required, settings.Addr)
	set.Strings(&v.cfg.Seeds, "seeds", nil, "control addresses of other VMs", settings.Addrs)
	set.String(&v.adminKeys, "admin-keys", "", "operators' keys as name=key,name=key; empty disables the administration API", validKeys)
	set.String(&v.cfg.AdminCertFile, "admin-tls-cert", "", "PEM file of the administration API's certificate; empty for plaintext")
	set.String(&v.cfg.AdminKeyFile, "admin-tls-key", "", "PEM file of that certificate's private key")
	set.Duration(&v.cfg.ListEvery, "list-every", 2*time.Second, "shortest time between reads of the VM list", settings.Positive)
	set.Duration(&v.cfg.StopTimeout, "stop-within", 2*time.Minute, "time limit of a planned stop", settings.Positive)
}

// validKeys checks the operators' keys. Its error does not contain them.
func validKeys(text string) error {
	_, err := adminapi.ParseKeys(text)
	return err
}

func (v *commandFlags) run(cmd *cobra.Command) error {
	log, err := v.Logger("catkin-control")
	if err != nil {
		return err
	}
	if v.cfg.OperatorKeys, err = adminapi.ParseKeys(v.adminKeys); err != nil {
		return err
	}
	v.cfg.Self = v.Instance()
	v.cfg.Place = v.Place()
	v.cfg.TLS = v.TLS
	v.cfg.TraceFile = v.Trace
	shell, err := New(v.cfg, log)
	if err != nil {
		return err
	}
	return shell.Run(cmd.Context())
}
