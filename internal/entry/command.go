package entry

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/process"
	"github.com/catkinstair/catkinstair/internal/settings"
)

// commandFlags holds the values of the command line's flags.
type commandFlags struct {
	process.Identity
	cfg Config
}

// Command returns the command line of catkin-entry.
func Command() *cobra.Command {
	var v commandFlags
	return process.Command("catkin-entry", "Data path of an entry VM", v.declare, v.run)
}

func (v *commandFlags) declare(set *settings.Set) {
	v.Declare(set)
	set.String(&v.cfg.Listen, "listen", "", "address for callers, as published to them", settings.Required, settings.Addr)
	set.String(&v.cfg.PeerListen, "peer-listen", "", "address for other entries", settings.Required, settings.Addr)
	set.String(&v.cfg.Control, "control", "", "address of this VM's control process", settings.Required, settings.Addr)
	set.String(&v.cfg.KV, "kv", "", "address of the key-value service", settings.Required, settings.Addr)
	set.Duration(&v.cfg.CompletionTimeout, "completion-timeout", 2*time.Minute, "time for a completion whose caller sets no timeout", settings.Positive)
	set.Duration(&v.cfg.CallTimeout, "call-timeout", 10*time.Second, "time for a call whose caller sets no timeout", settings.Positive)
	set.Duration(&v.cfg.AddressLifetime, "address-lifetime", 30*time.Second, "how long callers may keep the addresses", settings.Positive)
	set.Int(&v.cfg.Workers, "workers", 4096, "maximum number of blocking calls in progress", settings.Positive)
	set.Int(&v.cfg.MaxBodyBytes, "max-body-bytes", 4<<20, "maximum size of a request body, in bytes", settings.Positive)
	set.Int(&v.cfg.MaxConns, "max-connections", 4096, "maximum number of callers' connections", settings.Positive)
	set.Int(&v.cfg.BodyMemoryMB, "body-memory", 64, "memory that the bodies of all requests and responses may hold together, in MB", settings.Positive)
	set.Duration(&v.cfg.ReceiveTimeout, "receive-timeout", 30*time.Second, "how long a request may take from its first byte until it has been read whole", settings.Positive)
	set.Int(&v.cfg.CheckpointEvery, "checkpoint-every", 0, "tokens between exports of a stream's KV caches; 0 for none")
	set.Strings(&v.cfg.IdempotentServices, "idempotent-services", nil, "services all of whose calls may be retried")
	set.Strings(&v.cfg.NonIdempotentGET, "non-idempotent-get", nil, "services whose GET calls may not be retried")
}

func (v *commandFlags) run(cmd *cobra.Command) error {
	log, err := v.Logger("catkin-entry")
	if err != nil {
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
