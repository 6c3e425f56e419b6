// Package retry holds a VM's share of the budget that all VMs have for sending a
// request to a second backend server: in a sliding window at most a part of the
// requests, and a fixed number more.
package retry

import "time"

// Config holds the settings of a Budget.
type Config struct {
	// Ratio of the requests in Window may be repeated, and Slack more by all VMs
	// together.
	Ratio  float64
	Window time.Duration
	Slack  float64
	// Margin is the part of both that is used: VMs count apart and windows slide.
	// Default 0.8.
	UsableShare float64
}

// slots is the number of pieces a window is counted in.
const slots = 20

type piece struct {
	span             int64
	requests, repeat float64
}

// Budget counts the requests and repeats of one service at one VM.
type Budget struct {
	cfg    Config
	pieces [slots]piece
}

// New returns an empty Budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg}
}

// SetConfig changes the settings. What was counted in the window counts as of now:
// another window has other pieces.
func (b *Budget) SetConfig(now time.Duration, cfg Config) {
	requests, repeats := b.counted(now)
	b.cfg, b.pieces = cfg, [slots]piece{}
	at := b.piece(now)
	at.requests, at.repeat = requests, repeats
}

// counted returns the requests and repeats of the window.
func (b *Budget) counted(now time.Duration) (requests, repeats float64) {
	oldest := b.piece(now).span - slots + 1
	for i := range b.pieces {
		if b.pieces[i].span >= oldest {
			requests += b.pieces[i].requests
			repeats += b.pieces[i].repeat
		}
	}
	return requests, repeats
}

// Request counts a request of a caller.
func (b *Budget) CountRequest(now time.Duration) { b.piece(now).requests++ }

// Need says what a repeat is for.
type Purpose uint8

// The needs.
const (
	// Again sends a request that did not run: its caller may as well come back.
	Retry Purpose = iota
	// Resume goes on with an answer that the caller has begun to read.
	Resume
)

// againShare is the part of the budget that Again may use up: what is left is for
// answers under way, of which a refusal would lose the work that was done.
const againShare = 0.5

// Repeat counts a further send and reports whether it is allowed, with vms the
// number of VMs that share the slack.
func (b *Budget) Spend(now time.Duration, need Purpose, vms int) bool {
	if !b.Allows(now, need, vms) {
		return false
	}
	b.piece(now).repeat++
	return true
}

// Allows reports whether a further send is allowed, and counts nothing.
func (b *Budget) Allows(now time.Duration, need Purpose, vms int) bool {
	requests, repeats := b.counted(now)
	allowed := b.cfg.UsableShare * (b.cfg.Ratio*requests + b.cfg.Slack/float64(max(1, vms)))
	if need == Retry {
		allowed *= againShare
	}
	return repeats+1 <= allowed
}

func (b *Budget) piece(now time.Duration) *piece {
	span := int64(now / (b.cfg.Window / slots))
	p := &b.pieces[span%slots]
	if p.span != span {
		*p = piece{span: span}
	}
	return p
}

// DefaultMargin is Config.Margin's default.
const DefaultUsableShare = 0.8
