//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

// replica is a replica of a plain service.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	born    int64
	slots   int
	// run, if not nil, is called for each request that the replica begins to run, with the number of
	// the run, and writes the answer.
	run func(s *replica, rw http.ResponseWriter, req *http.Request, body []byte)

	connsMu sync.Mutex
	conns   map[net.Conn]struct{}

	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	sequence int
	state    string // "" while it writes no entry
	arrivals []arrival
}

// arrival is a request that has reached a replica.
type arrival struct {
	at     time.Time
	id     string
	ran    bool
	line   string
	body   string
	header http.Header
}

func (w *world) startReplica(id, service, zone string, slots int, run func(*replica, http.ResponseWriter, *http.Request, []byte)) (*replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &replica{w: w, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, run: run, stop: make(chan struct{}), state: "ready", conns: map[net.Conn]struct{}{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.trackConn}
	go func() { _ = s.server.Serve(l) }()
	s.beat()
	go s.heartbeat()
	w.mu.Lock()
	w.replicas = append(w.replicas, s)
	w.mu.Unlock()
	w.record.line("replica %s of %s at %s registers", id, service, s.addr)
	return s, nil
}

func (s *replica) trackConn(c net.Conn, state http.ConnState) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *replica) close() { _ = s.server.Close() }

func (s *replica) heartbeat() {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			s.beat()
		}
	}
}

// beat writes the replica's entry.
func (s *replica) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	value, _ := json.Marshal(map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "1", "slots": s.slots, "state": s.state, "coldRemainingMs": 0, "sequence": s.sequence, "born": s.born})
	s.w.store.Put(platform.ServersPrefix+s.id, value)
}

// removeEntry removes the replica's entry; it goes on to serve.
func (s *replica) removeEntry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	s.w.store.Put(platform.ServersPrefix+s.id, nil)
	at := time.Now()
	s.w.record.line("the store has removed the entry of replica %s", s.id)
	return at
}

// crash ends the replica and resets its channels. Its entry is removed after three heartbeats of
// silence.
func (s *replica) crash() {
	s.mu.Lock()
	s.state = ""
	s.mu.Unlock()
	s.connsMu.Lock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	s.connsMu.Unlock()
	s.close()
	time.AfterFunc(3*heartbeatEvery, func() { s.removeEntry() })
}

func (s *replica) serve(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	rw.Header().Set(platform.HeaderLoad, fmt.Sprintf("0,0,%d", s.slots))
	if req.URL.Path == platform.ReportURI {
		rw.WriteHeader(404)
		return
	}
	if req.URL.Path == "/healthz" {
		rw.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := req.Header.Get(platform.HeaderRequestID)
	rw.Header().Set(platform.HeaderRequestID, id)
	a := arrival{at: time.Now(), id: id, line: req.Method + " " + req.RequestURI, body: string(body), header: req.Header.Clone()}
	wrong := req.Header.Get(platform.HeaderServerID) != "" && req.Header.Get(platform.HeaderServerID) != s.id
	a.ran = !wrong
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if wrong {
		rw.Header().Set(platform.HeaderNotRun, "1")
		rw.WriteHeader(421)
		return
	}
	s.w.record.line("replica %s runs %s (%s)", s.id, id, a.line)
	if s.run != nil {
		s.run(s, rw, req, body)
		return
	}
	answer(s, rw, id)
}

// answer writes a whole answer.
func answer(s *replica, rw http.ResponseWriter, id string) {
	rw.Header().Set(platform.HeaderSignature, "3e1b.07."+s.id)
	fmt.Fprintf(rw, "done %s by %s\n", id, s.id)
}

func (s *replica) received() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// reset resets the channel of a request without an answer.
func reset(rw http.ResponseWriter) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
