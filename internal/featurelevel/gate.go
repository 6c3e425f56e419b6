package featurelevel

import "time"

// Current is the feature level of this build.
const Current = 2

// Gate tells up to which feature level all known VMs take part. It goes down at once and up
// only after a time: VMs of a rolling upgrade, or of one that is being rolled back, come and
// go, and a decision must not change with each of them. It is not safe for concurrent use.
type Gate struct {
	hold    time.Duration
	reached int // level in force
	next    int // lowest level seen since nextAt, above reached
	nextAt  time.Duration
}

// NewGate returns a Gate at level 0. hold is how long all VMs must have had a higher level
// before it counts. It must cover the time in which the record of a VM is missing although the
// VM runs, so at least the TTL of a VM's lease.
func NewGate(hold time.Duration) *Gate { return &Gate{hold: hold} }

// Update takes the levels of all known VMs, 0 for those that name none, and returns the level
// in force. Call it after each change of the VMs, and when a raise may be due. Without any VM
// the level is 0, because nothing is known.
func (g *Gate) Update(now time.Duration, levels []int) int {
	lowest := 0
	for i, l := range levels {
		if l = max(0, l); i == 0 || l < lowest {
			lowest = l
		}
	}
	switch {
	case lowest <= g.reached:
		g.reached, g.next = lowest, lowest
	case g.next <= g.reached:
		g.next, g.nextAt = lowest, now
	default:
		g.next = min(g.next, lowest)
	}
	if g.next > g.reached && now-g.nextAt >= g.hold {
		g.reached = g.next
	}
	return g.reached
}
