// Package retry implements a VM's share of the retry budget of all VMs, which limits how
// often requests are sent again: in a sliding window at most a ratio of the number of
// requests plus a fixed number.
package retry

import "time"

// Config holds the settings of a Budget.
type Config struct {
	// Ratio is the number of retries allowed per request in Window. Slack is the number
	// of additional retries in Window for all VMs together.
	Ratio  float64
	Window time.Duration
	Slack  float64
	// UsableShare is the share of the budget that may be spent. It is below 1 because VMs
	// count independently and windows slide in steps. Default 0.8.
	UsableShare float64
}

// numBuckets is the number of buckets that a window is divided into.
const numBuckets = 20

type bucket struct {
	index             int64
	requests, retries float64
}

// Budget counts the requests and retries of one service on one VM.
type Budget struct {
	cfg     Config
	buckets [numBuckets]bucket
}

// New returns an empty Budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg}
}

// SetConfig changes the settings. All counts of the window move to the current bucket,
// because the bucket boundaries change with the window length.
func (b *Budget) SetConfig(now time.Duration, cfg Config) {
	requests, retries := b.totals(now)
	b.cfg, b.buckets = cfg, [numBuckets]bucket{}
	current := b.bucket(now)
	current.requests, current.retries = requests, retries
}

// totals returns the requests and retries in the window.
func (b *Budget) totals(now time.Duration) (requests, retries float64) {
	oldest := b.bucket(now).index - numBuckets + 1
	for i := range b.buckets {
		if b.buckets[i].index >= oldest {
			requests += b.buckets[i].requests
			retries += b.buckets[i].retries
		}
	}
	return requests, retries
}

// CountRequest counts a caller's request, which adds Ratio to the budget.
func (b *Budget) CountRequest(now time.Duration) { b.bucket(now).requests++ }

// Purpose is the reason for sending a request again.
type Purpose uint8

// The purposes.
const (
	// Retry sends a request that did not run; its caller could retry it as well.
	Retry Purpose = iota
	// Resume continues a stream that the caller has received in part.
	Resume
)

// retryShare is the share of the budget available to Retry. The rest is reserved for
// Resume, whose refusal would lose the part of the answer generated so far.
const retryShare = 0.5

// Spend counts a retry if the budget allows it and reports whether it does. vms is the
// number of VMs that share Config.Slack.
func (b *Budget) Spend(now time.Duration, purpose Purpose, vms int) bool {
	if !b.Allows(now, purpose, vms) {
		return false
	}
	b.bucket(now).retries++
	return true
}

// Allows reports whether the budget allows a retry, without counting it.
func (b *Budget) Allows(now time.Duration, purpose Purpose, vms int) bool {
	requests, retries := b.totals(now)
	allowed := b.cfg.UsableShare * (b.cfg.Ratio*requests + b.cfg.Slack/float64(max(1, vms)))
	if purpose == Retry {
		allowed *= retryShare
	}
	return retries+1 <= allowed
}

// bucket returns the bucket of now, emptied if it was last used in an earlier window.
func (b *Budget) bucket(now time.Duration) *bucket {
	index := int64(now / (b.cfg.Window / numBuckets))
	p := &b.buckets[index%numBuckets]
	if p.index != index {
		*p = bucket{index: index}
	}
	return p
}

// DefaultUsableShare is the default of Config.UsableShare.
const DefaultUsableShare = 0.8
