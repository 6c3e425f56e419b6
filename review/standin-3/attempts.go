//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

func init() { cases["attempts"] = attempts }

// attempts sends requests on an idempotent route with attempts = 1 while two of four replicas lose
// the answers of some requests that they have run, and counts the requests that ran on more replicas
// than that.
func attempts(w *world, trouble bool) (int, error) {
	const (
		attempts   = 1
		perSecond  = 40
		troubleAt  = 3 * time.Second
		troubleFor = 6 * time.Second
		total      = 12 * time.Second
		lostShare  = 0.3
		allowed    = 3
	)
	w.putManifest(3, route{Name: "stock-check", Host: host, Prefix: "/lohu930/2f/", Kind: "idempotent", Service: "ordrebok", TimeoutMs: 1500, TargetLatencyMs: 300, Attempts: attempts})
	var begun time.Time
	var mu sync.Mutex
	ranOn := map[string]map[string]bool{}
	run := func(s *replica, rw http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get(platform.HeaderRequestID)
		mu.Lock()
		if ranOn[id] == nil {
			ranOn[id] = map[string]bool{}
		}
		ranOn[id][s.id] = true
		since := time.Since(begun)
		mu.Unlock()
		time.Sleep(60 * time.Millisecond)
		h := fnv.New32a()
		_, _ = h.Write([]byte(s.id + id))
		if trouble && (s.id == "i-0" || s.id == "i-1") && since > troubleAt && since < troubleAt+troubleFor && float64(h.Sum32()%1000) < 1000*lostShare {
			w.record.line("replica %s has run %s and loses the answer", s.id, id)
			reset(rw)
			return
		}
		answer(s, rw, id)
	}
	zones := []string{"bergen-a", "bergen-b", "stord", "stord"}
	for i, zone := range zones {
		if _, err := w.startReplica(fmt.Sprintf("i-%d", i), "ordrebok", zone, 6, run); err != nil {
			return failed, err
		}
	}
	if err := w.startVMs(3, func(int) string { return w.store.Addr }); err != nil {
		return failed, err
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second) // in touch
	mu.Lock()
	begun = time.Now()
	mu.Unlock()
	var consumers sync.WaitGroup
	served := 0
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for n := 0; time.Since(begun) < total; n++ {
		<-tick.C
		v := w.vms[n%len(w.vms)]
		id := fmt.Sprintf("%016x", n)
		consumers.Go(func() {
			w.record.line("a consumer sends %s to %s", id, v.name)
			a, err := call(v.front(), request("GET", "/lohu930/2f/stock", id, "", 1500), "GET", 2*time.Second)
			w.record.line("the consumer of %s gets %d, error %v", id, a.status, err)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
			}
		})
	}
	consumers.Wait()
	mu.Lock()
	defer mu.Unlock()
	var over []string
	for id, replicas := range ranOn {
		if len(replicas) > attempts {
			over = append(over, id)
		}
	}
	sort.Strings(over)
	w.record.line("served %d of %d; %d requests ran on more than %d replica: %v", served, len(ranOn), len(over), attempts, over)
	if served == 0 {
		return failed, fmt.Errorf("no request was served")
	}
	if len(over) > allowed {
		return broken, nil
	}
	return held, nil
}
