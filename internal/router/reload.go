package router

import (
	"context"
	"reflect"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

// followSettings reads the settings file again at each signal, and now and then
// without one.
func (r *Router) followSettings(ctx context.Context) {
	if r.cfg.SettingsFile == "" {
		return
	}
	known := *r.set
	tick := time.NewTicker(r.cfg.SettingsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.cfg.Hangup:
			r.log.Info().Msg("settings: reading the file again, by signal")
		case <-tick.C:
		}
		known = r.reload(known)
	}
}

// reload takes in what may change while the process runs, and returns the settings
// in force. A file that can't be read changes nothing.
func (r *Router) reload(known platform.Settings) platform.Settings {
	set, err := platform.ReadSettings(r.cfg.SettingsFile)
	if err != nil {
		r.log.Error().Err(err).Msg("settings not read; those in force stay")
		return known
	}
	if reflect.DeepEqual(*set, known) {
		return known
	}
	if set.Bounds != known.Bounds {
		r.bounds.Store(&set.Bounds)
		r.mu.Lock()
		r.core.SetRetryBudget(r.clock.now(), retryConfig(set.Bounds))
		r.mu.Unlock()
		r.log.Info().Interface("bounds", set.Bounds).Msg("settings: bounds changed")
	}
	if set.Store.Addr != known.Store.Addr {
		r.store.SetAddr(set.Store.Addr)
		r.log.Info().Str("store", set.Store.Addr).Msg("settings: the store has another address")
	}
	if set.VM != known.VM || set.Domain != known.Domain || set.Listen != known.Listen {
		r.log.Warn().Str("vm", set.VM).Str("domain", set.Domain).Interface("listen", set.Listen).
			Msg("settings: names and listen addresses change with the next start only")
	}
	return *set
}
