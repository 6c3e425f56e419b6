//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

// model holds the model replicas of a case. They read each other's state, as replicas on a path do.
type model struct {
	env     *env
	service string
	layers  int
	slots   int
	// kind and mb are those of its replicas, layerMB is the size of a layer.
	kind        string
	mb, layerMB float64
	loadS       float64
	stall       time.Duration
	mu          sync.Mutex
	begun       bool // the first request has arrived
	byAddr      map[string]*modelReplica
	// endedBy is who ended a run first, by request id: "replica" or "caller".
	endedBy map[string]string
	// overloaded lists the orders to hold more than the replica's mb holds.
	overloaded []string
	// ended is when a run ended, by request id.
	ended map[string]time.Time
}

type modelReplica struct {
	model          *model
	id, addr, zone string
	born           int64
	listener       net.Listener
	srv            *http.Server
	// guarded by model.mu
	from, to int
	// relFrom and relTo are the layers that an order in progress gives up: what passes through
	// them goes on, and nothing new is accepted.
	relFrom, relTo int
	state          string
	busy           bool
	gone           bool
	sequence       uint64
	paths          map[string]string // of running requests
	stalled        map[string]string
}

func (e *env) newModel(service string, layers int, loadS float64, stall time.Duration) *model {
	return &model{env: e, service: service, layers: layers, loadS: loadS, stall: stall, byAddr: map[string]*modelReplica{}, slots: 192, kind: "big", mb: 120500, layerMB: 1750, endedBy: map[string]string{}, ended: map[string]time.Time{}}
}

func (g *model) start(id, zone string) *modelReplica {
	r := g.listen(id, zone, "127.0.0.1:0")
	go r.beat(0)
	return r
}

// beat writes the replica's record after a while, and again each heartbeat.
func (r *modelReplica) beat(after time.Duration) {
	for time.Sleep(after); !r.isGone(); time.Sleep(1200 * time.Millisecond) {
		r.register()
	}
}

// listen starts a replica at an address, without a record.
func (g *model) listen(id, zone, addr string) *modelReplica {
	l, err := net.Listen("tcp4", addr)
	must(err)
	r := &modelReplica{model: g, id: id, addr: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), listener: l, state: "ready", paths: map[string]string{}, stalled: map[string]string{}}
	r.srv = &http.Server{Handler: http.HandlerFunc(r.serve)}
	g.mu.Lock()
	g.byAddr[r.addr] = r
	g.mu.Unlock()
	go r.srv.Serve(l)
	return r
}

// crash ends the replica without a word.
func (r *modelReplica) crash() {
	r.model.mu.Lock()
	r.gone = true
	r.model.mu.Unlock()
	_ = r.srv.Close()
	r.model.env.logf("replica %s crashes", r.id)
}

func (r *modelReplica) isGone() bool {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	return r.gone
}

func (r *modelReplica) register() {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	if r.gone {
		return
	}
	r.model.env.store.Put("servers/"+r.id, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":192,"state":%q,"coldRemainingMs":0,"kind":%q,"born":%d,"layers":{"from":%d,"target":%d,"version":1},"sequence":%d}`,
		r.model.service, r.addr, r.zone, r.state, r.model.kind, r.born, r.from, r.to, r.sequence)))
}

// leave reports draining, serves on for drain and a little longer, and exits.
func (r *modelReplica) leave(drain, longer time.Duration) {
	r.model.mu.Lock()
	r.state = "draining"
	r.model.mu.Unlock()
	r.register()
	r.model.env.logf("replica %s reports draining", r.id)
	time.Sleep(drain + longer)
	r.model.mu.Lock()
	r.gone = true
	r.model.mu.Unlock()
	r.model.env.store.Put("servers/"+r.id, nil)
	_ = r.srv.Close()
	r.model.env.logf("replica %s has left", r.id)
}

func (r *modelReplica) serve(w http.ResponseWriter, req *http.Request) {
	g := r.model
	switch req.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", r.id)
	case platform.ReportURI:
		g.mu.Lock()
		defer g.mu.Unlock()
		stalled := []m{}
		for id, addr := range r.stalled {
			stalled = append(stalled, m{"id": id, "address": addr})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m{"stage": "both", "born": r.born, "models": []m{}, "layers": m{"from": r.from, "target": r.to, "version": 1}, "busy": r.busy, "sequence": r.sequence,
			"queued": 0, "running": len(r.paths), "kvUsed": 0, "kvTotal": 90000, "handles": 0, "pace": 1, "stalled": stalled})
	case platform.OrderURI:
		r.order(w, req)
	default:
		r.stream(w, req)
	}
}

func (r *modelReplica) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation, ID, Path string
		From, Target        int
		Expected            *uint64
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(400)
		return
	}
	if x := req.Header.Get(platform.HeaderServerID); x != "" && x != r.id { // as for requests
		w.WriteHeader(421)
		return
	}
	g := r.model
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o.Operation {
	case "repath":
		if _, ok := r.paths[o.ID]; !ok {
			w.WriteHeader(404)
			return
		}
		if at := g.missing(newParts(r.paths[o.ID], o.Path), true); at != "" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(409)
			_ = json.NewEncoder(w).Encode(m{"address": at})
			return
		}
		r.paths[o.ID] = o.Path
		delete(r.stalled, o.ID)
		go g.env.logf("request %s goes on over %s", o.ID, o.Path)
		w.WriteHeader(200)
	case "place":
		if r.busy || r.state != "ready" || (o.Expected != nil && *o.Expected != r.sequence) {
			w.WriteHeader(409)
			return
		}
		if r.from == o.From && r.to == o.Target {
			w.WriteHeader(200)
			return
		}
		go g.env.logf("replica %s (%s, %s with %.0f MB) takes the order to hold layers %d to %d, expected sequence %d", r.id, g.service, g.kind, g.mb, o.From, o.Target, r.sequence)
		if float64(o.Target-o.From)*g.layerMB > g.mb { // it crashes
			g.overloaded = append(g.overloaded, r.id)
			go r.crash()
		}
		r.sequence++
		r.relFrom, r.relTo = r.from, r.to
		r.busy, r.from, r.to = true, 0, 0
		load := time.Duration(g.loadS * float64(o.Target-o.From) / float64(g.layers) * float64(time.Second))
		if !g.begun {
			load /= 10 // before the first request
		}
		go func() {
			g.env.logf("replica %s is ordered to hold layers %d to %d, which load in %v", r.id, o.From, o.Target, load)
			r.register()
			for g.inUse(r) {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(load)
			if r.isGone() {
				return
			}
			g.mu.Lock()
			r.busy, r.from, r.to, r.relFrom, r.relTo = false, o.From, o.Target, 0, 0
			g.mu.Unlock()
			g.env.logf("replica %s holds layers %d to %d", r.id, o.From, o.Target)
			r.register()
		}()
		w.WriteHeader(202)
	default:
		w.WriteHeader(400)
	}
}

// inUse reports whether a run passes through a replica.
func (g *model) inUse(r *modelReplica) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.byAddr {
		for _, path := range other.paths {
			if strings.Contains(path, r.addr+"=") {
				return true
			}
		}
	}
	return false
}

// newParts returns the parts of a path that another one does not have.
func newParts(old, path string) string {
	var out []string
	for _, part := range strings.Split(path, ",") {
		if !strings.Contains(","+old+",", ","+part+",") {
			out = append(out, part)
		}
	}
	return strings.Join(out, ",")
}

// missing returns the address of the first replica of a path that is gone or does not hold its
// part, "" for none. A new part must not be draining. The caller holds mu.
func (g *model) missing(path string, starts bool) string {
	for _, part := range strings.Split(path, ",") {
		if part == "" {
			continue
		}
		addr, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		f, _ := strconv.Atoi(from)
		t, _ := strconv.Atoi(to)
		s := g.byAddr[addr]
		if s == nil || s.gone || starts && s.state != "ready" {
			return addr
		}
		holds := s.from <= f && t <= s.to
		if !starts {
			holds = holds || s.relFrom <= f && t <= s.relTo
		}
		if !holds {
			return addr
		}
	}
	return ""
}

const (
	streamEvents = 120
	eventEvery   = 70 * time.Millisecond
)

func (r *modelReplica) stream(w http.ResponseWriter, req *http.Request) {
	g := r.model
	id, path := req.Header.Get(platform.HeaderRequestID), req.Header.Get(platform.HeaderPath)
	w.Header().Set(platform.HeaderRequestID, id)
	if x := req.Header.Get(platform.HeaderServerID); x != "" && x != r.id {
		w.WriteHeader(421)
		return
	}
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", r.addr, g.layers)
	}
	g.mu.Lock()
	g.begun = true
	at, full := g.missing(path, true), len(r.paths) >= g.slots
	if at == "" && !full {
		r.paths[id] = path
	}
	g.mu.Unlock()
	if full {
		g.env.logf("replica %s is full and does not run request %s", r.id, id)
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(503)
		return
	}
	if at != "" {
		w.Header().Set(platform.HeaderFailedServer, at)
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(503)
		return
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	g.env.logf("replica %s runs request %s after event %d over %s", r.id, id, after, path)
	who := "caller"
	defer func() {
		g.mu.Lock()
		delete(r.paths, id)
		delete(r.stalled, id)
		g.endedBy[id], g.ended[id] = who, time.Now()
		g.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(platform.HeaderSignature, "sig-"+r.id)
	w.Header().Set("X-Weight-Versions", "1")
	flusher := w.(http.Flusher)
	stalledSince := time.Time{}
	for n := after + 1; n <= streamEvents; {
		select {
		case <-req.Context().Done():
			g.env.logf("run of request %s at %s: ended by the VM after event %d", id, r.id, n-1)
			return
		case <-time.After(eventEvery):
		}
		g.mu.Lock()
		at := g.missing(r.paths[id], false)
		if at != "" {
			r.stalled[id] = at
		}
		g.mu.Unlock()
		if at != "" {
			if stalledSince.IsZero() {
				stalledSince = time.Now()
			}
			if time.Since(stalledSince) >= g.stall { // work that depends on a replica that is gone is cut off
				who = "replica"
				g.env.logf("run of request %s at %s: cut off by the replica after event %d", id, r.id, n-1)
				panic(http.ErrAbortHandler)
			}
			continue
		}
		stalledSince = time.Time{}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		flusher.Flush()
		n++
	}
	who = "replica"
	g.env.logf("run of request %s at %s: complete", id, r.id)
}

// covered reports whether two replicas hold all layers.
func (g *model) covered(a, b *modelReplica) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.to-a.from+b.to-b.from == g.layers
}

// holding returns the number of replicas that hold layers.
func (g *model) holding() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.byAddr {
		if r.to > r.from {
			n++
		}
	}
	return n
}

// begin ends the time in which loads take a tenth: the first request arrives.
func (g *model) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = true
}
