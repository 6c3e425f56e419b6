package router

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/process"
	"github.com/catkinstair/catkinstair/internal/settings"
	"github.com/catkinstair/catkinstair/platform"
)

// flags holds the settings that are given as command-line flags.
type flags struct {
	cfg          Config
	settingsFile string
}

// Command returns the command line of catkin-router.
func Command() *cobra.Command {
	f := flags{cfg: DefaultConfig()}
	return process.Command("catkin-router", "Router of a VM on the users' platform", f.declare, f.run)
}

func (f *flags) declare(flagSet *settings.Set) {
	flagSet.String(&f.settingsFile, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file; default $"+platform.SettingsVariable, settings.Required)
	flagSet.Int(&f.cfg.MetricsPort, "metrics-port", 0, "port of the metrics endpoint, 0 to disable it")
	flagSet.String(&f.cfg.LogLevel, "log-level", f.cfg.LogLevel, "minimum level of log lines", settings.OneOf(obs.Levels...))
	flagSet.Bool(&f.cfg.BindOutgoing, "bind-outgoing", f.cfg.BindOutgoing, "open connections from the VM's own address, on machines that have several")
	flagSet.Duration(&f.cfg.WatchPause, "watch-pause", f.cfg.WatchPause, "pause between two watches of the store", settings.Positive)
	flagSet.Duration(&f.cfg.StallTimeout, "stalled", f.cfg.StallTimeout, "silence of a stream after which its first server is asked for a report", settings.Positive)
	flagSet.Duration(&f.cfg.ReceiveTimeout, "receive-timeout", f.cfg.ReceiveTimeout, "how long a request may take from its first byte until it has been read whole", settings.Positive)
	flagSet.Int(&f.cfg.BodyMemoryMB, "body-memory", 0, "memory that the bodies of all requests and responses may hold together, in MB; 0 for a share of the VM's memory")
	flagSet.Float(&f.cfg.Placement.MaxCoverCost, "max-cover-cost", 0, "share of the requests served that a placement may give up to serve more after a joint loss of servers, 0 to disregard joint losses")
	flagSet.Duration(&f.cfg.Dispatch.Prompts.Retention, "prompt-retention", 0, "how long engines hold a prompt after its last use; 0 if they do not")
}

func (f *flags) run(cmd *cobra.Command) error {
	platformSettings, err := platform.ReadSettings(f.settingsFile)
	if err != nil {
		return err
	}
	if platformSettings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * bytesPerMB * float64(platformSettings.MemoryMB)))
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	f.cfg.SettingsFile, f.cfg.Hangup = f.settingsFile, hangup
	r, err := New(f.cfg, platformSettings)
	if err != nil {
		return err
	}
	return r.Run(cmd.Context())
}
