package standin

import (
	"sync"
	"time"
)

const (
	// lagMemory is the longest lag that can be asked for.
	lagMemory = 60 * time.Second
	// lagGrain is the least time between two remembered values.
	lagGrain = 20 * time.Millisecond
)

// lagged remembers the past values of something, so that it can be read as it
// was a while ago.
type lagged[T any] struct {
	mu   sync.Mutex
	past []pastValue[T]
}

type pastValue[T any] struct {
	at    time.Time
	value T
}

// put records the value from now on.
func (l *lagged[T]) put(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.past) - 1
	if last > 0 && now.Sub(l.past[last-1].at) < lagGrain {
		l.past[last].value = value
		return
	}
	l.past = append(l.past, pastValue[T]{at: now, value: value})
	drop := 0
	for drop < len(l.past)-1 && l.past[drop+1].at.Before(now.Add(-lagMemory)) {
		drop++
	}
	l.past = l.past[drop:]
}

// get returns the value as it was lag ago, and when it was recorded; the first
// value if there was none yet.
func (l *lagged[T]) get(now time.Time, lag time.Duration) (T, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found pastValue[T]
	for i := len(l.past) - 1; i >= 0; i-- {
		found = l.past[i]
		if !found.at.After(now.Add(-lag)) {
			break
		}
	}
	return found.value, found.at
}
