//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

func init() { cases["strayentries"] = strayEntries }

// strayEntries has another writer leave a copy of each replica's entry, under a key of its own, with a
// service that no manifest names and the time of writing as `born`. Then all processes are killed and
// start again. It compares what is served before the final fault and recoveryS after it.
func strayEntries(w *world, trouble bool) (int, error) {
	const (
		replicas  = 3
		every     = 25 * time.Millisecond // between two requests
		before    = 6 * time.Second
		down      = time.Second
		recoveryS = 12 * time.Second
		after     = 10 * time.Second
	)
	w.putManifest(3, route{Name: "stock-check", Host: host, Prefix: "/lohu930/2f/", Kind: "idempotent", Service: "ordrebok", TimeoutMs: 1500, TargetLatencyMs: 300, Attempts: 2})
	for i := range replicas {
		if _, err := w.startReplica(fmt.Sprintf("i-%d", i), "ordrebok", w.zones[i], 6, func(s *replica, rw http.ResponseWriter, req *http.Request, _ []byte) {
			time.Sleep(20 * time.Millisecond)
			answer(s, rw, req.Header.Get(platform.HeaderRequestID))
		}); err != nil {
			return failed, err
		}
	}
	if err := w.startVMs(6, func(int) string { return w.store.Addr }); err != nil {
		return failed, err
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	sent, served := w.ask("a", every, before)
	w.record.line("before the final fault: %d of %d served", served, sent)
	if trouble {
		w.writeStrayEntries()
		time.Sleep(500 * time.Millisecond)
	}
	for _, v := range w.vms {
		v.kill()
	}
	w.record.line("all processes are killed")
	time.Sleep(down)
	for _, v := range w.vms {
		if err := v.start(w.store.Addr); err != nil {
			return failed, err
		}
	}
	back := time.Now()
	during, duringServed := w.ask("b", every, recoveryS-time.Since(back))
	w.record.line("within recoveryS: %d of %d served", duringServed, during)
	sentAfter, servedAfter := w.ask("c", every, after)
	w.record.line("later than recoveryS after the machines are back: %d of %d served", servedAfter, sentAfter)
	if 4*served < sent {
		return failed, fmt.Errorf("only %d of %d were served before the final fault", served, sent)
	}
	if 4*servedAfter < sentAfter {
		return broken, nil
	}
	return held, nil
}

// writeStrayEntries writes the entries of the other writer.
func (w *world) writeStrayEntries() {
	for _, s := range w.replicas {
		value, _ := json.Marshal(map[string]any{"service": s.service + "-copy", "address": s.addr, "zone": s.zone, "version": "1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
		w.store.Put(platform.ServersPrefix+"copy-of-"+s.id, value)
		w.record.line("another writer leaves the entry copy-of-%s: %s", s.id, value)
	}
}

// ask sends stock enquiries to all machines in turn and returns how many were sent and served.
func (w *world) ask(prefix string, every, duration time.Duration) (sent, served int) {
	var consumers sync.WaitGroup
	var mu sync.Mutex
	tick := time.NewTicker(every)
	defer tick.Stop()
	for begun := time.Now(); time.Since(begun) < duration; sent++ {
		<-tick.C
		v, id := w.vms[sent%len(w.vms)], fmt.Sprintf("%s%04x", prefix, sent)
		consumers.Go(func() {
			w.record.line("a consumer sends %s to %s", id, v.name)
			a, err := call(v.front(), request("GET", "/lohu930/2f/stock", id, "", 1500), "GET", 2*time.Second)
			w.record.line("the consumer of %s gets %d, error %v", id, a.status, err)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && a.status == http.StatusOK {
				served++
			}
		})
	}
	consumers.Wait()
	return sent, served
}
