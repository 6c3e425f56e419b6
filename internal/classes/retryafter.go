package classes

import (
	"math"
	"time"
)

// minFreedTime is how long capacity must have been short before the rate at which it comes
// free is relied upon.
const minFreedTime = 500 * time.Millisecond

// freedRate measures how many requests start per second while capacity is short. Then each
// start takes what another request has freed.
type freedRate struct {
	starts, seconds float64 // decay
	at              time.Duration
	short           bool // capacity was short at the last start or refusal
}

func (f *freedRate) advance(now, window time.Duration, short bool) {
	factor := math.Exp(-float64(now-f.at) / float64(window))
	f.starts, f.seconds = f.starts*factor, f.seconds*factor
	if f.short {
		f.seconds += (1 - factor) * window.Seconds()
	}
	f.at, f.short = now, short
}

func (f *freedRate) start(now, window time.Duration, short bool) {
	f.advance(now, window, short)
	if short {
		f.starts++
	}
}

// perSecond returns the rate, or false if it is unknown.
func (f *freedRate) perSecond() (float64, bool) {
	if f.seconds < minFreedTime.Seconds() || f.starts < 1 {
		return 0, false
	}
	return f.starts / f.seconds, true
}

// promiseSlot is the width of one slot of promises.
const promiseSlot = 250 * time.Millisecond

// promiseSlots is the number of slots, for Retry-After of up to 12 s.
const promiseSlots = 48

// promises counts the refused callers that come back in each slot of time, by rank.
type promises struct {
	slots [promiseSlots]struct {
		number int64 // of the slot, counted from process time 0
		byRank [maxPriority + 1]float64
	}
}

// upTo returns the callers of at least a rank's urgency that come back in a slot.
func (p *promises) upTo(number int64, rank int) float64 {
	s := &p.slots[number%promiseSlots]
	if s.number != number {
		return 0
	}
	sum := 0.0
	for _, n := range s.byRank[:rank+1] {
		sum += n
	}
	return sum
}

func (p *promises) add(number int64, rank int) {
	s := &p.slots[number%promiseSlots]
	if s.number != number {
		s.number = number
		clear(s.byRank[:])
	}
	s.byRank[rank]++
}

// RetryAfterLimit returns the longest Retry-After that the caller of a request would wait.
func (c *Core) RetryAfterLimit(now time.Duration, r *Request) time.Duration {
	return max(0, time.Duration(float64(r.Deadline-now)*c.cfg.MaxTimeLeftShare))
}

// Refused counts a request that is refused for lack of capacity and returns its Retry-After,
// or false if the rate at which capacity comes free is unknown.
//
// The caller is promised the first slot of time by which the planned share of the freed
// capacity covers the waiting requests and the refused callers of at least its urgency that
// come back until then. Within the slot, callers are spread by a hash of the request ID. If
// no slot within the bound has room, they are spread over the later half of the bound.
func (c *Core) Refused(now time.Duration, r *Request) (time.Duration, bool) {
	if r == nil {
		return 0, false
	}
	s := c.state(r.Service)
	s.freed.advance(now, c.cfg.Window, true)
	if !r.decided {
		c.count(now, s, r, false)
	}
	s.decayReturning(now, c.cfg.Window)
	s.returning[r.Rank]++
	perSecond, known := s.freed.perSecond()
	if !known {
		return 0, false
	}
	limit := min(c.RetryAfterLimit(now, r), (promiseSlots-2)*promiseSlot)
	if limit <= 0 {
		return 0, false
	}
	if limit <= c.cfg.MinRetryAfter {
		return limit, true
	}
	spread := fraction(r.ID)
	perSlot := perSecond * c.cfg.ReturnShare * promiseSlot.Seconds()
	start := int64((now + c.cfg.MinRetryAfter) / promiseSlot)
	last := int64((now + limit) / promiseSlot)
	covered, promised := 0.0, float64(c.queue.ahead(r))
	for number := start; number <= last; number++ {
		covered += perSlot
		promised += s.promises.upTo(number, r.Rank)
		if promised+1 > covered {
			continue
		}
		s.promises.add(number, r.Rank)
		at := time.Duration((float64(number) + spread) * float64(promiseSlot))
		return min(limit, max(c.cfg.MinRetryAfter, at-now)), true
	}
	wait := limit/2 + time.Duration(spread*float64(limit-limit/2))
	s.promises.add(int64((now+wait)/promiseSlot), r.Rank)
	return max(min(limit, c.cfg.MinRetryAfter), wait), true
}
