package detector

import "time"

// PaceConfig holds the settings of the silence that starts a check.
type PaceConfig struct {
	// UsualFactor is the silence as a multiple of the usual longest pause. Default 2.5.
	UsualFactor float64
	// MinSilence is the least silence. Default 60 ms.
	MinSilence time.Duration
	// GapShare is the largest silence as a share of the longest acceptable pause. Default
	// 0.4.
	GapShare float64
	// SlowFactor is the least silence as a multiple of the usual longest pause, up to
	// SlowGapShare of the longest acceptable pause: a slow stream would otherwise start a
	// check before each event. Defaults 1.25 and 0.8.
	SlowFactor, SlowGapShare float64
	// Decay is the share of the difference by which the usual longest pause falls with each
	// shorter one. Default 1/16.
	Decay float64
	// MinPauses is the number of pauses from which they are relied upon. Default 4.
	MinPauses int
}

// DefaultPaceConfig returns the defaults documented on PaceConfig.
func DefaultPaceConfig() PaceConfig {
	return PaceConfig{UsualFactor: 2.5, MinSilence: 60 * time.Millisecond, GapShare: 0.4, SlowFactor: 1.25, SlowGapShare: 0.8, Decay: 1. / 16, MinPauses: 4}
}

// Pace is what is known of the pauses between the events of a stream. The zero value knows
// nothing.
type Pace struct {
	longest time.Duration // smoothed maximum
	pauses  int
}

// Observe records a pause between two events.
func (p *Pace) Observe(cfg PaceConfig, pause time.Duration) {
	p.pauses++
	if pause >= p.longest {
		p.longest = pause
		return
	}
	p.longest -= time.Duration(cfg.Decay * float64(p.longest-pause))
}

// Silence returns the silence that starts a check of a stream whose longest acceptable pause
// is maxGap. It is always below maxGap.
func (p *Pace) Silence(cfg PaceConfig, maxGap time.Duration) time.Duration {
	limit := time.Duration(cfg.GapShare * float64(maxGap))
	if p.pauses < cfg.MinPauses {
		return limit
	}
	usual := float64(p.longest)
	limit = min(limit, max(cfg.MinSilence, time.Duration(cfg.UsualFactor*usual)))
	slow := min(time.Duration(cfg.SlowFactor*usual), time.Duration(cfg.SlowGapShare*float64(maxGap)))
	return max(limit, slow)
}
