package router

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/internal/process"
	"github.com/catkinstair/catkinstair/internal/settings"
	"github.com/catkinstair/catkinstair/platform"
)

// values are the settings as they stand in flags.
type values struct {
	cfg  Config
	file string
}

// Command is the command line of catkin-router.
func Command() *cobra.Command {
	v := values{cfg: DefaultConfig()}
	return process.Command("catkin-router", "Router of a VM on the users' platform", v.declare, v.run)
}

func (v *values) declare(set *settings.Set) {
	set.String(&v.file, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file; default $"+platform.SettingsVariable, settings.Required)
	set.Int(&v.cfg.MetricsPort, "metrics-port", 0, "port of the metrics, 0 for none")
	set.String(&v.cfg.LogLevel, "log-level", v.cfg.LogLevel, "least level of log lines", settings.OneOf(obs.Levels...))
	set.Duration(&v.cfg.WatchPause, "watch-pause", v.cfg.WatchPause, "pause between two watches of the store", settings.Positive)
	set.Duration(&v.cfg.Stalled, "stalled", v.cfg.Stalled, "silence of a stream before its first server is asked", settings.Positive)
}

func (v *values) run(cmd *cobra.Command) error {
	set, err := platform.ReadSettings(v.file)
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	v.cfg.SettingsFile, v.cfg.Hangup = v.file, hangup
	r, err := New(v.cfg, set)
	if err != nil {
		return err
	}
	return r.Run(cmd.Context())
}
