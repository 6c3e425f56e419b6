//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

func init() { cases["storm"] = storm }

// Times and sizes of the streams of storm.
const (
	stormSlots      = 48
	stormQueue      = 2
	stormEvents     = 80
	stormEventEvery = 200 * time.Millisecond
	stormBudget     = 20 * time.Second // of time, for both attempts
	stormPatience   = 2 * time.Second  // the longest of 2 s, four times the objective, eight times the pause of 250 ms
)

// engineRoom is the place of the streams at one replica: slots, and a few that wait.
type engineRoom struct {
	mu      sync.Mutex
	running int
	waiting int
}

// enter reports whether a request is taken; it may wait for a slot until gone.
func (r *engineRoom) enter(gone <-chan struct{}) (taken, ran bool) {
	r.mu.Lock()
	if r.running >= stormSlots && r.waiting >= stormQueue {
		r.mu.Unlock()
		return false, false
	}
	r.waiting++
	defer func() { r.waiting--; r.mu.Unlock() }()
	for r.running >= stormSlots {
		r.mu.Unlock()
		select {
		case <-gone:
			r.mu.Lock()
			return true, false
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
	}
	r.running++
	return true, true
}

func (r *engineRoom) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *engineRoom) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, stormSlots)
}

// stormLedger counts what consumers sent and what reached the replicas.
type stormLedger struct {
	mu       sync.Mutex
	sent     []time.Time
	arrivals map[string][]time.Time // by request
	whole    int
}

func (l *stormLedger) consumerSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, time.Now())
}

func (l *stormLedger) arrived(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
}

// worstWindow returns the window of the budget with the most arrivals beyond what is allowed: its
// start, the arrivals beyond the first of each request, and how many the rule allows.
func (l *stormLedger) worstWindow(from, to time.Time) (start time.Time, repeats int, allowed float64) {
	const window, ratio, slack = 10 * time.Second, 0.2, 196.0
	worst := -1e9
	within := func(at, begin time.Time) bool { return !at.Before(begin) && at.Before(begin.Add(window)) }
	for s := from; s.Before(to); s = s.Add(250 * time.Millisecond) {
		n, requests := 0, 0
		for _, times := range l.arrivals {
			for i, at := range times {
				if i > 0 && within(at, s) {
					n++
				}
			}
		}
		for _, begin := range []time.Time{s, s.Add(-window / 2), s.Add(-window)} {
			r := 0
			for _, at := range l.sent {
				if within(at, begin) {
					r++
				}
			}
			requests = max(requests, r)
		}
		limit := ratio*float64(requests) + slack
		if over := float64(n) - limit; over > worst {
			worst, start, repeats, allowed = over, s, n, limit
		}
	}
	return start, repeats, allowed
}

func stormReplica(l *stormLedger) func(*replica, http.ResponseWriter, *http.Request, []byte) {
	room := &engineRoom{}
	return func(s *replica, rw http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get(platform.HeaderRequestID)
		l.arrived(id)
		taken, ran := room.enter(req.Context().Done())
		rw.Header().Set(platform.HeaderLoad, room.load())
		if !taken {
			s.w.record.line("replica %s is full and rejects %s", s.id, id)
			rw.Header().Set(platform.HeaderNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !ran {
			return // its channel was closed while it waited
		}
		defer room.leave()
		after, _ := strconv.Atoi(req.Header.Get(platform.HeaderLastEventID))
		s.w.record.line("replica %s begins %s after event %d", s.id, id, after)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set(platform.HeaderSignature, "3e1b.07."+s.id)
		for n := after + 1; n <= stormEvents; n++ {
			select {
			case <-req.Context().Done():
				return
			case <-time.After(stormEventEvery):
			}
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
				return
			}
			rw.(http.Flusher).Flush()
		}
	}
}

// consumeStream sends one request for a stream and returns the last event, and whether the stream was
// whole. It leaves after a gap of its patience.
func (w *world) consumeStream(l *stormLedger, v *vm, id string, after int, left time.Duration) (last int, whole bool, wait time.Duration) {
	last = after
	text := request("POST", "/lohu930/2f", id, "draft", int(left.Milliseconds()))
	if after > 0 {
		text = strings.Replace(text, "\r\n\r\n", fmt.Sprintf("\r\n%s: %d\r\n\r\n", platform.HeaderLastEventID, after), 1)
	}
	l.consumerSent()
	w.record.line("a consumer sends %s to %s, after event %d", id, v.name, after)
	c, err := net.DialTimeout("tcp4", v.front(), time.Second)
	if err != nil {
		return last, false, 0
	}
	defer c.Close()
	status := 0
	defer func() {
		w.record.line("the consumer of %s has status %d, events to %d, whole %v", id, status, last, whole)
	}()
	_, _ = io.WriteString(c, text)
	_ = c.SetReadDeadline(time.Now().Add(stormPatience))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return last, false, 0
	}
	if status = resp.StatusCode; status != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without one
		return last, false, time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(n)
			_ = c.SetReadDeadline(time.Now().Add(stormPatience))
		}
	}
	return last, lines.Err() == nil && last == stormEvents, 0
}

// storm has two replicas crash while the service is well used, and counts the arrivals at
// the service beyond the first of each request.
func storm(w *world, trouble bool) (int, error) {
	const (
		perZone  = 4
		crashed  = 2 // of the replicas
		downFor  = 4500 * time.Millisecond
		interval = 28 * time.Millisecond // between two requests
		warmUp   = 22 * time.Second
		after    = 25 * time.Second
	)
	l := &stormLedger{arrivals: map[string][]time.Time{}}
	w.putManifest(3, route{Name: "club-reply", Host: host, Prefix: "/lohu930/", Kind: "streaming", Service: "ordrebok", TimeoutMs: 20000, TargetLatencyMs: 500, Attempts: 2})
	for i := range perZone * len(w.zones) {
		if _, err := w.startReplica(fmt.Sprintf("i-%d", i), "ordrebok", w.zones[i%len(w.zones)], stormSlots, stormReplica(l)); err != nil {
			return failed, err
		}
	}
	if err := w.startVMs(6, func(int) string { return w.store.Addr }); err != nil {
		return failed, err
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	begun := time.Now()
	var consumers sync.WaitGroup
	stop := make(chan struct{})
	consumers.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			consumers.Go(func() {
				began := time.Now()
				last, whole, wait := w.consumeStream(l, w.vms[n%len(w.vms)], fmt.Sprintf("a%04x", n), 0, stormBudget)
				left := stormBudget - time.Since(began)
				if !whole && left > 0 { // one retry; Retry-After counts up to a third of the time left
					time.Sleep(min(max(wait, 200*time.Millisecond), left/3))
					_, whole, _ = w.consumeStream(l, w.vms[(n+1)%len(w.vms)], fmt.Sprintf("b%04x", n), last, stormBudget-time.Since(began))
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				if whole {
					l.whole++
				}
			})
		}
	})
	time.Sleep(warmUp)
	if trouble {
		for _, s := range w.replicas[:crashed] {
			s.crash()
		}
		w.record.line("two replicas crash")
	}
	time.Sleep(downFor)
	if trouble {
		for i, s := range w.replicas[:crashed] {
			if _, err := w.startReplica(fmt.Sprintf("i-%d", 100+i), s.service, s.zone, stormSlots, stormReplica(l)); err != nil {
				return failed, err
			}
		}
	}
	time.Sleep(after)
	close(stop)
	consumers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	start, repeats, allowed := l.worstWindow(begun, time.Now())
	w.record.line("consumers sent %d requests, %d streams came whole; worst window from %.2f s on: %d arrivals beyond the first of each request, %.0f allowed",
		len(l.sent), l.whole, start.Sub(w.record.start).Seconds(), repeats, allowed)
	if l.whole == 0 {
		return failed, fmt.Errorf("no stream came whole")
	}
	if float64(repeats) > allowed {
		return broken, nil
	}
	return held, nil
}
