package standin

import (
	"sync"
	"time"
)

const (
	// maxLag is the longest lag at which a value can be read.
	maxLag = 60 * time.Second
	// minRecordInterval is the minimum time between two recorded values; a value
	// that comes sooner replaces the last one.
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
func (l *history[T]) record(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.values) - 1
	if last > 0 && now.Sub(l.values[last-1].at) < minRecordInterval {
		l.values[last].value = value
		return
	}
	l.values = append(l.values, timedValue[T]{at: now, value: value})
	drop := 0
	for drop < len(l.values)-1 && l.values[drop+1].at.Before(now.Add(-maxLag)) {
		drop++
	}
	l.values = l.values[drop:]
}

// get returns the value as it was lag ago and the time it was recorded. If
// nothing was recorded by then, it returns the oldest value.
func (l *history[T]) get(now time.Time, lag time.Duration) (T, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found timedValue[T]
	for i := len(l.values) - 1; i >= 0; i-- {
		found = l.values[i]
		if !found.at.After(now.Add(-lag)) {
			break
		}
	}
	return found.value, found.at
}
