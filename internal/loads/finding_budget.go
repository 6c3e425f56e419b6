package loads

import "time"

// findingBudget spaces the messages that carry findings only and bounds their bytes. Without
// it, an aggregator passes each of some hundred findings a second on to all VMs of its failure
// domain, which fills the link of a small VM.
type findingBudget struct {
	spacing        time.Duration
	bytesPerSecond float64
	free           float64       // bytes that may be sent now; negative after a large message
	at             time.Duration // of free
	next           time.Duration // earliest time of the next message
}

func newFindingBudget(cfg Config) findingBudget {
	return findingBudget{spacing: cfg.FindingSpacing, bytesPerSecond: cfg.FindingBytesPerSecond, free: cfg.FindingBytesPerSecond}
}

// refill adds the bytes of the time since the last call, at most those of a second.
func (b *findingBudget) refill(now time.Duration) {
	b.free = min(b.free+b.bytesPerSecond*(now-b.at).Seconds(), b.bytesPerSecond)
	b.at = now
}

// FindingsDelay returns how long findings have to wait until they may be sent in messages of
// their own. allowed is false if the budget is spent, so that they go with the next regular
// message.
func (c *Core) FindingsDelay(now time.Duration) (delay time.Duration, allowed bool) {
	b := &c.findings
	b.refill(now)
	return max(0, b.next-now), b.free > 0
}

// FindingsSent charges the messages of one TickFindings, with their sum in bytes, to the
// budget.
func (c *Core) FindingsSent(now time.Duration, bytes int) {
	b := &c.findings
	b.refill(now)
	b.free -= float64(bytes)
	b.next = now + b.spacing
}
