// Package connbudget decides about the connections that a VM accepts: whether a new one is
// taken, and which others are closed. A connection is idle from its opening or the end of a
// response until the first byte of its next request, and receiving from then until that request
// has been read whole. One with a whole request is never closed.
package connbudget

import (
	"container/list"
	"time"
)

// Config holds the settings of a Budget.
type Config struct {
	// Limit is the largest number of open connections.
	Limit int
	// NearShare is the share of Limit above which idle connections are closed before their
	// time, those that are idle longest first. Default 0.9.
	NearShare float64
	// MinIdle is how long a connection must have been idle to be closed before its time: the
	// first request of a new one is on its way. Default 250 ms.
	MinIdle time.Duration
	// MinReceiving is how long a connection must have been receiving a request to be closed
	// before its time: otherwise clients that stop in the middle of requests would keep all
	// others out. Default 1 s.
	MinReceiving time.Duration
}

// DefaultConfig returns the defaults documented on Config, with a limit.
func DefaultConfig(limit int) Config {
	return Config{Limit: limit, NearShare: 0.9, MinIdle: 250 * time.Millisecond, MinReceiving: time.Second}
}

type state int

const (
	closed state = iota // zero: not opened yet
	idle
	receiving
	closing // idle or receiving, and its owner was told to close it
	busy
)

// Conn is a connection in a Budget. The zero value with an Owner is not open.
type Conn[T any] struct {
	Owner T
	state state
	since time.Duration // when it became idle or receiving
	place *list.Element // in Budget.idle or Budget.receiving while in that state
}

// Closing reports whether the connection is to be closed.
func (c *Conn[T]) Closing() bool { return c.state == closing }

// Stats counts connections and decisions since the start.
type Stats struct {
	Open, Idle, Receiving int
	// Refused were not taken, Early were closed near the limit while idle and Stalled while
	// receiving, Expired at their idle limit and Overdue at the limit of receiving.
	Refused, Early, Stalled, Expired, Overdue uint64
}

// Budget holds the open connections of one duty. Times are on the caller's clock and don't
// decrease.
type Budget[T any] struct {
	cfg       Config
	near      int
	open      int
	closing   int
	idle      list.List // of *Conn[T], idle longest first
	receiving list.List // of *Conn[T], receiving longest first
	stats     Stats
}

// New returns an empty Budget.
func New[T any](cfg Config) *Budget[T] {
	return &Budget[T]{cfg: cfg, near: int(cfg.NearShare * float64(cfg.Limit))}
}

// Open takes a new connection, as idle, or returns false at the limit. spare, if not nil, is to
// be closed.
func (b *Budget[T]) Open(now time.Duration, c *Conn[T]) (taken bool, spare *Conn[T]) {
	if b.open >= b.cfg.Limit {
		b.stats.Refused++
		return false, b.closeEarly(now)
	}
	b.open++
	b.rest(now, c)
	return true, b.closeEarly(now)
}

// Receive records the first byte of a request. An idle connection that was to be closed stays
// open. It may follow a request at once, without End.
func (b *Budget[T]) Receive(now time.Duration, c *Conn[T]) {
	if c.state == closed || c.state == receiving {
		return
	}
	b.leave(c)
	c.state, c.since = receiving, now
	c.place = b.receiving.PushBack(c)
}

// Begin records that a request was read whole. A connection that was to be closed stays open.
func (b *Budget[T]) Begin(c *Conn[T]) {
	if c.state == idle || c.state == receiving || c.state == closing {
		b.leave(c)
		c.state = busy
	}
}

// End records the end of a response. spare, if not nil, is to be closed.
func (b *Budget[T]) End(now time.Duration, c *Conn[T]) (spare *Conn[T]) {
	if c.state != busy && c.state != receiving {
		return nil
	}
	b.leave(c)
	b.rest(now, c)
	return b.closeEarly(now)
}

// Close records that a connection is closed. It may be called again.
func (b *Budget[T]) Close(c *Conn[T]) {
	if c.state == closed {
		return
	}
	b.leave(c)
	c.state = closed
	b.open--
}

// Near reports whether more connections are open than the near limit allows.
func (b *Budget[T]) Near() bool { return b.open-b.closing > b.near }

// Overdue returns the connections to close because they have been receiving for a limit.
func (b *Budget[T]) Overdue(now, limit time.Duration) []*Conn[T] {
	var due []*Conn[T]
	for c := longest[T](&b.receiving); c != nil && now-c.since >= limit; c = longest[T](&b.receiving) {
		b.stats.Overdue++
		due = append(due, b.startClosing(c))
	}
	return due
}

// Due returns the connections to close now: those that have been idle for idleLimit, and those
// that are closed above the near limit.
func (b *Budget[T]) Due(now, idleLimit time.Duration) []*Conn[T] {
	var due []*Conn[T]
	for c := longest[T](&b.idle); c != nil && now-c.since >= idleLimit; c = longest[T](&b.idle) {
		b.stats.Expired++
		due = append(due, b.startClosing(c))
	}
	for c := b.closeEarly(now); c != nil; c = b.closeEarly(now) {
		due = append(due, c)
	}
	return due
}

// Stats returns the counts.
func (b *Budget[T]) Stats() Stats {
	s := b.stats
	s.Open, s.Idle, s.Receiving = b.open, b.idle.Len(), b.receiving.Len()
	return s
}

// closeEarly returns a connection to close if too many are open, otherwise nil: the one that has
// been receiving longest, or else the one that has been idle longest.
func (b *Budget[T]) closeEarly(now time.Duration) *Conn[T] {
	if !b.Near() {
		return nil
	}
	if c := longest[T](&b.receiving); c != nil && now-c.since >= b.cfg.MinReceiving {
		b.stats.Stalled++
		return b.startClosing(c)
	}
	if c := longest[T](&b.idle); c != nil && now-c.since >= b.cfg.MinIdle {
		b.stats.Early++
		return b.startClosing(c)
	}
	return nil
}

func longest[T any](conns *list.List) *Conn[T] {
	if first := conns.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	return nil
}

func (b *Budget[T]) rest(now time.Duration, c *Conn[T]) {
	c.state, c.since = idle, now
	c.place = b.idle.PushBack(c)
}

func (b *Budget[T]) startClosing(c *Conn[T]) *Conn[T] {
	b.leave(c)
	c.state = closing
	b.closing++
	return c
}

// leave ends what the connection's state counts for.
func (b *Budget[T]) leave(c *Conn[T]) {
	switch c.state {
	case idle:
		b.idle.Remove(c.place)
		c.place = nil
	case receiving:
		b.receiving.Remove(c.place)
		c.place = nil
	case closing:
		b.closing--
	}
}
