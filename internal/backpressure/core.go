package backpressure

import (
	"math"
	"time"
)

// Key identifies an incarnation of a backend server in messages between VMs.
type Key uint32

// Config holds the settings of a Core.
type Config struct {
	// MinRate is the lowest rate of requests, in requests per second of all VMs together, at
	// which a limited server is asked whether its limit still holds. Default 0.5.
	MinRate float64
	// TokenTTL is how long an unused token is kept. Default 1 s.
	TokenTTL time.Duration
	// BurstTime is the time whose tokens a VM may keep if it has more than one. Default
	// 500 ms.
	BurstTime time.Duration
	// LimitTTL is how long a limit is kept without a response that names it. Default 60 s.
	LimitTTL time.Duration
	// ShareTTL is how long the start, change or end of a limit is passed on to other VMs.
	// Default 2 s.
	ShareTTL time.Duration
	// MaxPause bounds the pause that a server asks for. Default 5 min.
	MaxPause time.Duration
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MinRate: 0.5, TokenTTL: time.Second, BurstTime: 500 * time.Millisecond, LimitTTL: time.Minute, ShareTTL: 2 * time.Second, MaxPause: 5 * time.Minute}
}

// limit is the last known statement of a server about its limit.
type limit struct {
	perSecond float64       // negative if the limit has ended
	at        time.Duration // of the last response that said so
	changedAt time.Duration // of the last change

	tokens   int           // unused tokens; negative if more requests were sent than allowed
	part     float64       // of the next token, 0 to 1
	refilled time.Duration // when tokens and part were computed
	lastMint time.Duration // when the last token was minted
}

// ended is the value of limit.perSecond without a limit.
const ended = -1

// Core holds the limits known to one VM.
type Core struct {
	cfg    Config
	vmHash uint32 // spreads the VMs' tokens over time
	limits map[Key]*limit
	// pausedUntil holds the ends of the pauses that servers asked this VM for.
	pausedUntil map[Key]time.Duration
}

// New returns a Core without limits. vmHash should differ between VMs.
func New(cfg Config, vmHash uint32) *Core {
	return &Core{cfg: cfg, vmHash: vmHash, limits: map[Key]*limit{}, pausedUntil: map[Key]time.Duration{}}
}

// PauseRequested records that a server refused a request and asked this VM for a pause.
func (c *Core) PauseRequested(now time.Duration, k Key, pause time.Duration) {
	c.pausedUntil[k] = max(c.pausedUntil[k], now+min(pause, c.cfg.MaxPause))
}

// Paused returns what is left of the pause that a server asked for, 0 for none.
func (c *Core) Paused(now time.Duration, k Key) time.Duration { return max(0, c.pausedUntil[k]-now) }

// Named records a response that named a limit and reports whether that changed the limit.
func (c *Core) Named(now time.Duration, k Key, perSecond float64) (changed bool) {
	return c.set(now, now, k, perSecond)
}

// NotNamed records a response without a limit and reports whether that ended one.
func (c *Core) NotNamed(now time.Duration, k Key) (changed bool) {
	if l := c.limits[k]; l == nil || l.perSecond == ended {
		return false
	}
	return c.set(now, now, k, ended)
}

// minChange is the relative change of a limit that is passed on to other VMs.
const minChange = 0.05

// set records what a server said at the time at, unless something later is known.
func (c *Core) set(now, at time.Duration, k Key, perSecond float64) (changed bool) {
	l := c.limits[k]
	if l == nil || (l.perSecond == ended && perSecond != ended) {
		if l != nil && l.at >= at {
			return false
		}
		c.limits[k] = &limit{perSecond: perSecond, at: at, changedAt: now, part: c.startPart(k), refilled: now, lastMint: now}
		return true
	}
	if at <= l.at {
		return false
	}
	changed = (perSecond == ended) != (l.perSecond == ended) || math.Abs(perSecond-l.perSecond) > minChange*l.perSecond
	l.at = at
	if changed {
		l.changedAt = now
	}
	l.perSecond = perSecond
	return changed
}

// startPart returns the part of a token, 0 to 1, with which a new limit starts at this VM, so
// that the VMs' first tokens are not minted together.
func (c *Core) startPart(k Key) float64 {
	const multiplier = 2654435761 // Knuth's multiplicative hash
	return float64((c.vmHash^uint32(k))*multiplier) / (1 << 32)
}

// Limit returns the limit of a server in requests per second of all VMs together; ok is false
// if it has none.
func (c *Core) Limit(now time.Duration, k Key) (perSecond float64, ok bool) {
	l := c.active(now, k)
	if l == nil {
		return 0, false
	}
	return l.perSecond, true
}

// active returns the limit in force at a server, or nil.
func (c *Core) active(now time.Duration, k Key) *limit {
	l := c.limits[k]
	if l == nil || l.perSecond == ended || now-l.at > c.cfg.LimitTTL {
		return nil
	}
	return l
}

// Allows reports whether a request may be sent to a server now. share is this VM's share of
// the requests to the server, above 0 and at most 1.
func (c *Core) Allows(now time.Duration, k Key, share float64) bool {
	if c.Paused(now, k) > 0 {
		return false
	}
	l := c.active(now, k)
	if l == nil {
		return true
	}
	c.refill(now, l, share)
	return l.tokens > 0
}

// maxDebt bounds the tokens that a VM owes for requests that could not wait for one.
const maxDebt = 2

// Sent counts a request that is sent to a server.
func (c *Core) Sent(k Key) {
	if l := c.limits[k]; l != nil {
		l.tokens = max(l.tokens-1, -maxDebt)
	}
}

// refill mints the tokens of the time since the last call.
func (c *Core) refill(now time.Duration, l *limit, share float64) {
	rate := max(l.perSecond, c.cfg.MinRate) * share
	l.part += rate * (now - l.refilled).Seconds()
	l.refilled = now
	if minted := int(l.part); minted > 0 {
		l.part -= float64(minted)
		l.lastMint = now - time.Duration(l.part/rate*float64(time.Second))
		l.tokens = min(l.tokens+minted, max(1, int(rate*c.cfg.BurstTime.Seconds())))
	}
	if now-l.lastMint > c.cfg.TokenTTL {
		l.tokens = min(l.tokens, 0)
	}
}

// Wait returns how long it takes at most until Allows holds for a server at the given share.
func (c *Core) Wait(now time.Duration, k Key, share float64) time.Duration {
	if pause := c.Paused(now, k); pause > 0 {
		return pause
	}
	l := c.active(now, k)
	if l == nil || c.Allows(now, k, share) {
		return 0
	}
	rate := max(l.perSecond, c.cfg.MinRate) * share
	return time.Duration((float64(1-l.tokens) - l.part) / rate * float64(time.Second))
}

// Forget drops what is known of servers that no longer exist.
func (c *Core) Forget(now time.Duration, exists func(Key) bool) {
	for k, l := range c.limits {
		if now-l.at > c.cfg.LimitTTL || !exists(k) {
			delete(c.limits, k)
		}
	}
	for k, until := range c.pausedUntil {
		if now > until || !exists(k) {
			delete(c.pausedUntil, k)
		}
	}
}
