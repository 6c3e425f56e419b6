// Package connbudget decides about the connections that a VM accepts: whether a new one is
// taken, and which idle ones are closed. A connection is idle from its opening or the end of a
// response until the first byte of its next request. One with a request is never closed.
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
}

// DefaultConfig returns the defaults documented on Config, with a limit.
func DefaultConfig(limit int) Config {
	return Config{Limit: limit, NearShare: 0.9, MinIdle: 250 * time.Millisecond}
}

type state int

const (
	closed state = iota // zero: not opened yet
	idle
	closing // idle, and its owner was told to close it
	busy
)

// Conn is a connection in a Budget. The zero value with an Owner is not open.
type Conn[T any] struct {
	Owner     T
	state     state
	idleSince time.Duration
	place     *list.Element // in Budget.idle while idle
}

// Closing reports whether the connection is to be closed.
func (c *Conn[T]) Closing() bool { return c.state == closing }

// Stats counts connections and decisions since the start.
type Stats struct {
	Open, Idle int
	// Refused were not taken, Early were closed near the limit, Expired at their idle limit.
	Refused, Early, Expired uint64
}

// Budget holds the open connections of one duty. Times are on the caller's clock and don't
// decrease.
type Budget[T any] struct {
	cfg     Config
	near    int
	open    int
	closing int
	idle    list.List // of *Conn[T], idle longest first
	stats   Stats
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

// Begin records the first byte of a request. A connection that was to be closed stays open.
func (b *Budget[T]) Begin(c *Conn[T]) {
	if c.state == idle || c.state == closing {
		b.leave(c)
		c.state = busy
	}
}

// End records the end of a response. spare, if not nil, is to be closed.
func (b *Budget[T]) End(now time.Duration, c *Conn[T]) (spare *Conn[T]) {
	if c.state != busy {
		return nil
	}
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

// Due returns the connections to close now: those that have been idle for idleLimit, and the
// longest idle ones above the near limit.
func (b *Budget[T]) Due(now, idleLimit time.Duration) []*Conn[T] {
	var due []*Conn[T]
	for c := b.longestIdle(); c != nil && now-c.idleSince >= idleLimit; c = b.longestIdle() {
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
	s.Open, s.Idle = b.open, b.idle.Len()
	return s
}

// closeEarly returns the connection that is idle longest if too many are open, otherwise nil.
func (b *Budget[T]) closeEarly(now time.Duration) *Conn[T] {
	if b.open-b.closing <= b.near {
		return nil
	}
	c := b.longestIdle()
	if c == nil || now-c.idleSince < b.cfg.MinIdle {
		return nil
	}
	b.stats.Early++
	return b.startClosing(c)
}

func (b *Budget[T]) longestIdle() *Conn[T] {
	if first := b.idle.Front(); first != nil {
		return first.Value.(*Conn[T])
	}
	return nil
}

func (b *Budget[T]) rest(now time.Duration, c *Conn[T]) {
	c.state, c.idleSince = idle, now
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
	case closing:
		b.closing--
	}
}
