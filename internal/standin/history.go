package standin

import (
	"sync"
	"time"
)

const (
	// maxLag is the longest lag with which a value can be read.
	maxLag = 60 * time.Second
	// minRecordInterval is the minimum time between two recorded values; a value that
	// is recorded sooner replaces the last one.
	minRecordInterval = 20 * time.Millisecond
)

// history records the past values of a variable, so that it can be read with a
// lag.
type history[T any] struct {
	mu     sync.Mutex
	values []timedValue[T]
}

type timedValue[T any] struct {
	at    time.Time
	value T
}

// record sets the value as of now.
func (h *history[T]) record(now time.Time, value T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.values) - 1
	if last > 0 && now.Sub(h.values[last-1].at) < minRecordInterval {
		h.values[last].value = value
		return
	}
	h.values = append(h.values, timedValue[T]{at: now, value: value})
	drop := 0
	for drop < len(h.values)-1 && h.values[drop+1].at.Before(now.Add(-maxLag)) {
		drop++
	}
	h.values = h.values[drop:]
}

// get returns the value as it was lag ago and the time when it was recorded. If
// nothing had been recorded by then, it returns the oldest value.
func (h *history[T]) get(now time.Time, lag time.Duration) (T, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found timedValue[T]
	for i := len(h.values) - 1; i >= 0; i-- {
		found = h.values[i]
		if !found.at.After(now.Add(-lag)) {
			break
		}
	}
	return found.value, found.at
}
