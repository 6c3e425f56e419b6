package router

import (
	"context"
	"reflect"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

// watchSettings reloads the settings file at each signal and at each SettingsInterval.
func (r *Router) watchSettings(ctx context.Context) {
	if r.cfg.SettingsFile == "" {
		return
	}
	current := *r.settings
	tick := time.NewTicker(r.cfg.SettingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.cfg.Hangup:
			r.log.Info().Msg("settings: reloading the file after a signal")
		case <-tick.C:
		}
		current = r.reload(current)
	}
}

// reload applies the settings that may change while the process runs, and returns the
// settings in force. If the file cannot be read or is invalid, nothing changes.
func (r *Router) reload(current platform.Settings) platform.Settings {
	loaded, err := platform.ReadSettings(r.cfg.SettingsFile)
	if err != nil {
		r.log.Error().Err(err).Msg("settings: reading the file failed; the settings in force stay")
		return current
	}
	if reflect.DeepEqual(*loaded, current) {
		return current
	}
	if loaded.Bounds != current.Bounds {
		r.bounds.Store(&loaded.Bounds)
		r.mu.Lock()
		r.core.SetRetryBudget(r.clock.now(), retryConfig(loaded.Bounds))
		r.mu.Unlock()
		r.log.Info().Interface("bounds", loaded.Bounds).Msg("settings: bounds changed")
	}
	if loaded.Store.Addr != current.Store.Addr {
		r.store.SetAddr(loaded.Store.Addr)
		r.log.Info().Str("store", loaded.Store.Addr).Msg("settings: address of the store changed")
	}
	if loaded.VM != current.VM || loaded.Domain != current.Domain || loaded.Listen != current.Listen {
		r.log.Warn().Str("loadedVM", loaded.VM).Str("domain", loaded.Domain).Interface("listen", loaded.Listen).
			Msg("settings: changed names and listen addresses take effect at the next start")
	}
	return *loaded
}
