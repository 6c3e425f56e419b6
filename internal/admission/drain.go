package admission

import "time"

// DrainRate measures how fast requests start while others wait. Time without waiters
// isn't counted: then the arrivals limit the rate of starts. The zero value is ready for
// use.
type DrainRate struct {
	starts        float64 // decays, like queuedSeconds
	queuedSeconds float64 // seconds in which requests waited
	waiting       int     // waiting requests of all priorities
	updatedAt     time.Duration
}

// advance accounts for the time up to now.
func (d *DrainRate) advance(now time.Duration) {
	f := decayFactor(now - d.updatedAt)
	d.updatedAt = now
	d.starts *= f
	d.queuedSeconds *= f
	if d.waiting > 0 {
		d.queuedSeconds += (1 - f) * flowWindow.Seconds()
	}
}

// Start counts a request that started.
func (d *DrainRate) Start(now time.Duration) {
	d.advance(now)
	if d.waiting > 0 {
		d.starts++
	}
}

// Join adds a waiting request.
func (d *DrainRate) Join(now time.Duration) {
	d.advance(now)
	d.waiting++
}

// Leave removes a waiting request.
func (d *DrainRate) Leave(now time.Duration) {
	d.advance(now)
	d.waiting--
}

// Waiting returns the number of waiting requests.
func (d *DrainRate) Waiting() int { return d.waiting }

// EstimateWait returns the time until a request with the given number of waiters ahead
// starts, or 0 if requests waited for less than minObserved. It counts one start more
// than was observed: a short time without starts doesn't mean that none will follow, and
// the estimate grows with that time.
func (d *DrainRate) EstimateWait(now, minObserved time.Duration, ahead int) time.Duration {
	d.advance(now)
	if d.queuedSeconds < minObserved.Seconds() {
		return 0
	}
	perStart := d.queuedSeconds / (d.starts + 1)
	return time.Duration(float64(ahead) * perStart * float64(time.Second))
}
