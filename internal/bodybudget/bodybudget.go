// Package bodybudget decides how much memory the bodies of requests and responses in a process
// may hold together, and which of them are given up when it is used up. Memory is reserved as
// bytes arrive, so a body that is only announced holds none.
//
// A transfer that moves more slowly than a least rate for a while has stalled. When memory is
// short, stalled transfers are given up, those furthest behind first; a transfer that moves, and
// a request that is whole, never is.
package bodybudget

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Config holds the settings of a Budget.
type Config struct {
	// Limit is what all bodies together may hold, in bytes.
	Limit int64
	// SmallBytes is the size up to which a body may use all of Limit. Larger ones leave
	// SmallShare of it free, so that ordinary requests are served beside them. Defaults 64 KiB
	// and 0.25.
	SmallBytes int64
	SmallShare float64
	// MinRate is the least rate of a transfer, in bytes per second. Default 64 KiB/s.
	MinRate float64
	// MaxCredit is how long a transfer that has kept to MinRate may move nothing until it has
	// stalled. Default 1 s.
	MaxCredit time.Duration
}

// DefaultConfig returns the defaults documented on Config, with a limit.
func DefaultConfig(limit int64) Config {
	return Config{Limit: limit, SmallBytes: 64 << 10, SmallShare: 0.25, MinRate: 64 << 10, MaxCredit: time.Second}
}

type state int

const (
	closed state = iota // zero: not opened yet, or released
	moving              // bytes are still to be transferred
	whole
	evicted
)

// Transfer is the body of a request that arrives, or of a response that is sent. The zero value
// with an Owner is not open.
type Transfer[T any] struct {
	Owner T
	state state
	held  int64 // bytes
	// stallsAt is when the transfer will have stalled if nothing more moves.
	stallsAt time.Duration
	place    *list.Element // in Budget.moving while moving
}

// Evicted reports whether the transfer was given up.
func (t *Transfer[T]) Evicted() bool { return t.state == evicted }

// Stats counts bytes, transfers and decisions since the start.
type Stats struct {
	Held   int64
	Moving int
	// Refused reservations did not fit, Evicted transfers were given up for others.
	Refused, Evicted uint64
}

// Budget holds the transfers of a process. Times are on the caller's clock and don't decrease.
type Budget[T any] struct {
	cfg    Config
	held   int64
	moving list.List // of *Transfer[T]
	stats  Stats
}

// New returns an empty Budget.
func New[T any](cfg Config) *Budget[T] { return &Budget[T]{cfg: cfg} }

// Open begins a transfer that holds nothing yet.
func (b *Budget[T]) Open(now time.Duration, t *Transfer[T]) {
	b.Release(t)
	t.state, t.stallsAt = moving, now+b.cfg.MaxCredit
	t.place = b.moving.PushBack(t)
}

// Reserve lets a transfer hold n more bytes, or returns false. The victims are given up for it:
// what they hold counts as free, and their owners must drop it at once.
func (b *Budget[T]) Reserve(now time.Duration, t *Transfer[T], n int64) (victims []*Transfer[T], ok bool) {
	if t.state != moving && t.state != whole {
		return nil, false
	}
	limit := b.cfg.Limit
	if t.held+n > b.cfg.SmallBytes {
		limit -= int64(b.cfg.SmallShare * float64(limit))
	}
	if missing := b.held + n - limit; missing > 0 {
		if victims, ok = b.stalled(now, t, missing); !ok {
			b.stats.Refused++
			return nil, false
		}
		for _, v := range victims {
			b.Release(v)
			v.state = evicted
			b.stats.Evicted++
		}
	}
	b.held += n
	t.held += n
	return victims, true
}

// stalled returns the stalled transfers, but for t, furthest behind first, that hold together what
// is missing, or false if they hold less.
func (b *Budget[T]) stalled(now time.Duration, t *Transfer[T], missing int64) ([]*Transfer[T], bool) {
	var out []*Transfer[T]
	for e := b.moving.Front(); e != nil; e = e.Next() {
		if v := e.Value.(*Transfer[T]); v != t && v.held > 0 && v.stallsAt <= now {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b *Transfer[T]) int { return cmp.Compare(a.stallsAt, b.stallsAt) })
	for i, v := range out {
		if missing -= v.held; missing <= 0 {
			return out[:i+1], true
		}
	}
	return nil, false
}

// Move records that n bytes of a transfer have arrived or were sent.
func (b *Budget[T]) Move(now time.Duration, t *Transfer[T], n int) {
	earned := time.Duration(float64(n) / b.cfg.MinRate * float64(time.Second))
	t.stallsAt = min(t.stallsAt+earned, now+b.cfg.MaxCredit)
}

// Shrink returns n bytes that a transfer no longer holds.
func (b *Budget[T]) Shrink(t *Transfer[T], n int64) {
	if t.state == moving || t.state == whole {
		b.held -= n
		t.held -= n
	}
}

// Complete records that a request has been read whole, and reports false if it was given up
// before. It is held until Release.
func (b *Budget[T]) Complete(t *Transfer[T]) bool {
	if t.state != moving {
		return t.state == whole
	}
	b.leave(t)
	t.state = whole
	return true
}

// Release ends a transfer and frees what it holds. It may be called again.
func (b *Budget[T]) Release(t *Transfer[T]) {
	b.leave(t)
	b.held -= t.held
	t.held, t.state = 0, closed
}

func (b *Budget[T]) leave(t *Transfer[T]) {
	if t.place != nil {
		b.moving.Remove(t.place)
		t.place = nil
	}
}

// Stats returns the counts.
func (b *Budget[T]) Stats() Stats {
	s := b.stats
	s.Held, s.Moving = b.held, b.moving.Len()
	return s
}
