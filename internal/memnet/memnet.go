// Package memnet simulates a network in memory under virtual time, for tests and benchmarks
// that run several cores together. It delays, loses and duplicates messages, cuts links and
// pauses hosts. All random choices come from one seed, so runs with the same seed are
// identical.
package memnet

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Host is the name of a host on the network.
type Host string

// Handler receives a message or the payload of a timer at virtual time now. from is empty
// for a timer.
type Handler func(now time.Duration, from Host, payload any)

// Config configures the network's faults.
type Config struct {
	// Seed determines every random choice.
	Seed uint64
	// MinDelay and MaxDelay bound the delay of a message.
	MinDelay, MaxDelay time.Duration
	// Loss is the fraction of messages lost, 0 to 1.
	Loss float64
	// Duplicate is the fraction of messages delivered twice, 0 to 1.
	Duplicate float64
}

// Net is the network with its virtual clock. It must be used from one goroutine only.
type Net struct {
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	queue  eventQueue
	serial uint64
	hosts  map[Host]Handler
	cut    map[[2]Host]bool
	paused map[Host][]event
	// Sent counts the messages passed to Send, by sender.
	Sent map[Host]int
}

// New returns a network at virtual time zero.
func New(cfg Config) *Net {
	return &Net{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		hosts:  map[Host]Handler{},
		cut:    map[[2]Host]bool{},
		paused: map[Host][]event{},
		Sent:   map[Host]int{},
	}
}

// Now returns the virtual time since the network was created.
func (n *Net) Now() time.Duration { return n.now }

// Rand returns the network's random source, so that other random choices of a run depend
// on the same seed.
func (n *Net) Rand() *rand.Rand { return n.rng }

// Join adds a host, or replaces a killed one.
func (n *Net) Join(host Host, handle Handler) { n.hosts[host] = handle }

// Kill removes a host. Its messages and timers that fall due before another host joins
// under its name are lost.
func (n *Net) Kill(host Host) {
	delete(n.hosts, host)
	delete(n.paused, host)
}

// Pause holds back messages and timers of host until Resume.
func (n *Net) Pause(host Host) {
	if _, ok := n.paused[host]; !ok {
		n.paused[host] = []event{}
	}
}

// Resume delivers the messages and timers that Pause held back, in order, at the current
// time.
func (n *Net) Resume(host Host) {
	held := n.paused[host]
	delete(n.paused, host)
	for _, e := range held {
		e.at = n.now
		n.push(e)
	}
}

// Cut cuts the link between a and b in both directions, or restores it. Messages that fall
// due while the link is cut are lost.
func (n *Net) Cut(a, b Host, cut bool) {
	n.cut[[2]Host{a, b}] = cut
	n.cut[[2]Host{b, a}] = cut
}

// Send sends a message.
func (n *Net) Send(from, to Host, payload any) {
	n.Sent[from]++
	if n.cut[[2]Host{from, to}] || n.rng.Float64() < n.cfg.Loss {
		return
	}
	n.push(event{at: n.now + n.delay(), from: from, to: to, payload: payload})
	if n.rng.Float64() < n.cfg.Duplicate {
		n.push(event{at: n.now + n.delay(), from: from, to: to, payload: payload})
	}
}

// After sets a timer that delivers payload to host after the delay d.
func (n *Net) After(host Host, d time.Duration, payload any) {
	n.push(event{at: n.now + d, to: host, payload: payload})
}

// At runs f at virtual time at, or at the current time if at has passed.
func (n *Net) At(at time.Duration, f func()) {
	n.push(event{at: max(at, n.now), run: f})
}

// RunUntil processes all events due up to and including end, and sets the time to end.
func (n *Net) RunUntil(end time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.deliver(e)
	}
	n.now = end
}

func (n *Net) deliver(e event) {
	if e.run != nil {
		e.run()
		return
	}
	if held, ok := n.paused[e.to]; ok {
		n.paused[e.to] = append(held, e)
		return
	}
	if n.cut[[2]Host{e.from, e.to}] {
		return
	}
	if handle, ok := n.hosts[e.to]; ok {
		handle(n.now, e.from, e.payload)
	}
}

func (n *Net) delay() time.Duration {
	span := n.cfg.MaxDelay - n.cfg.MinDelay
	if span <= 0 {
		return n.cfg.MinDelay
	}
	return n.cfg.MinDelay + time.Duration(n.rng.Int64N(int64(span)))
}

func (n *Net) push(e event) {
	n.serial++
	e.serial = n.serial
	heap.Push(&n.queue, e)
}

type event struct {
	at       time.Duration
	serial   uint64
	from, to Host
	payload  any
	run      func()
}

// eventQueue orders events by time, then by creation order.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
