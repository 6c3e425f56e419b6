//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

// playRecover: a replica of the large model crashes and comes back empty, all VMs are killed and start
// again, and the only replica of a small model is lost for good. The large model must be served again
// in time.
func playRecover(trouble bool) int {
	e := newEnv()
	defer e.close()
	big := e.newModel("llm-big", 80, 14, 3*time.Second)
	small := e.newModel("llm-small", 4, 14, 3*time.Second)
	small.kind, small.mb = "small", 14400
	manifest := modelManifest(big.service)
	other := modelManifest(small.service)["services"].([]m)[0]
	engine := other["engine"].(m)
	engine["layers"], engine["kvTokenBytes"], engine["kinds"] = 4, 29500, []m{{"name": "small", "mb": 20000.0, "pace": 5.3, "readX": 7.9}}
	small.mb = 20000
	route := modelManifest(small.service)["routes"].([]m)[0]
	route["name"], route["prefix"] = "title", "/title/"
	manifest["routes"] = append(manifest["routes"].([]m), route)
	manifest["services"] = append(manifest["services"].([]m), other)
	e.putConfig(manifest)
	a, b := big.start("i-big-1", "z"), big.start("i-big-2", "z")
	only := small.start("i-small", "z")
	for n := range 6 {
		e.startRouter(fmt.Sprintf("front-z-%d", n+1), "z", loopback(n))
	}
	for _, r := range e.routers {
		r.waitReady()
	}
	for i := 0; !big.covered(a, b) || small.holding() < 1; i++ {
		if i > 300 {
			must(fmt.Errorf("the layers were not placed"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // contactMs after the start, and more
	var mu sync.Mutex
	type sample struct {
		at     time.Time
		served bool
	}
	var samples []sample
	stop := time.Now().Add(42 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() { // twenty requests a second, four of five for the large model
		for n := 0; time.Now().Before(stop); n++ {
			path := "/draft/x"
			if n%5 == 4 {
				path = "/title/x"
			}
			vm, id := e.routers[n%len(e.routers)], fmt.Sprintf("q-%d", n)
			wg.Go(func() {
				at := time.Now()
				status := e.firstEvent(vm, path, id)
				e.logf("request %s to %s, %s: %d", id, vm.name, path, status)
				mu.Lock()
				samples = append(samples, sample{at, status == 200})
				mu.Unlock()
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(5 * time.Second)
	fault := time.Now()
	if trouble {
		b.crash()
		time.AfterFunc(3600*time.Millisecond, func() { e.store.Put("servers/"+b.id, nil) })
		time.AfterFunc(4500*time.Millisecond, func() { // it starts again, empty
			big.start("i-big-3", "z")
			e.logf("replica i-big-3 starts in place of i-big-2")
		})
		time.Sleep(500 * time.Millisecond)
		fault = time.Now()
		if os.Getenv("KEEP_VMS") == "" {
			e.restartAll()
		}
	}
	back := time.Now()
	e.logf("the machines are back")
	if trouble && os.Getenv("KEEP_SMALL") == "" {
		time.Sleep(1500 * time.Millisecond)
		only.crash()
		time.AfterFunc(3600*time.Millisecond, func() { // three heartbeats of silence
			e.store.Put("servers/"+only.id, nil)
			e.logf("record of i-small expires")
		})
	}
	wg.Wait()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, s := range samples {
		switch {
		case s.at.Before(fault.Add(-time.Second)):
			before++
			if s.served {
				servedBefore++
			}
		case s.at.After(back.Add(12 * time.Second)): // recoveryS
			after++
			if s.served {
				servedAfter++
			}
		}
	}
	text := fmt.Sprintf("served before the final fault %d of %d, later than 12 s after the machines were back %d of %d", servedBefore, before, servedAfter, after)
	e.logf("%s", text)
	fmt.Println(text)
	switch {
	case servedBefore*4 < before || after == 0:
		return 2
	case servedAfter*4 < after: // RECOVER
		return 1
	}
	return 0
}

// restartAll kills all VMs and starts them again.
func (e *env) restartAll() {
	e.logf("final fault: all processes are killed")
	for _, r := range e.routers {
		r.kill()
	}
	time.Sleep(time.Second)
	for _, r := range e.routers {
		r.start()
	}
	for _, r := range e.routers {
		r.waitReady()
	}
}

// firstEvent sends a streamed request and returns its status, 200 only if an event came; a 503 is tried
// again once, as it asks.
func (e *env) firstEvent(vm *router, path, id string) int {
	status := 0
	for try := range 2 {
		req, err := http.NewRequest("POST", "http://"+vm.front()+path, strings.NewReader("prompt"))
		must(err)
		req.Host = "h.example"
		for k, v := range map[string]string{platform.HeaderRequestID: fmt.Sprintf("%s-%d", id, try), platform.HeaderTimeLeft: "20000", platform.HeaderTokens: "700,560", "X-Model": "m0", "X-Prompt-Prefix": "5c1e07a2:40,a" + id[2:] + ":660"} {
			req.Header.Set(k, v)
		}
		tr := &http.Transport{DisableKeepAlives: true}
		resp, err := (&http.Client{Transport: tr, Timeout: 12 * time.Second}).Do(req)
		if err != nil {
			return 0
		}
		var first [4]byte
		_, readErr := io.ReadFull(resp.Body, first[:])
		if strings.HasPrefix(path, "/title/") { // these are read to their end
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		_ = resp.Body.Close()
		status = resp.StatusCode
		if status == 200 && readErr != nil {
			status = 0
		}
		if status != 503 {
			break
		}
		time.Sleep(time.Second)
	}
	return status
}
