//go:build review

package main

import (
	"fmt"
	"time"
)

// playLimit: a replica that was added crashes at once, and its address is used again by a replica of
// another service. No order that was meant for the first may reach the second.
func playLimit(trouble bool) int {
	e := newEnv()
	defer e.close()
	big := e.newModel("llm-big", 80, 14, 3*time.Second)
	small := e.newModel("llm-small", 80, 14, 3*time.Second)
	small.kind, small.mb = "small", 14400
	manifest := modelManifest(big.service)
	other := modelManifest(small.service)["services"].([]m)[0]
	other["engine"].(m)["kinds"] = []m{{"name": "small", "mb": 14400.0, "pace": 5.3, "readX": 7.9}}
	manifest["services"] = append(manifest["services"].([]m), other)
	e.putConfig(manifest)
	const placed = 6 // with the added one, one of seven crashes
	for n := range placed {
		big.start(fmt.Sprintf("i-big-%d", n+1), "z")
	}
	small.start("i-small", "z")
	for n := range 2 {
		e.startRouter(fmt.Sprintf("front-z-%d", n+1), "z", loopback(n))
	}
	for _, r := range e.routers {
		r.waitReady()
	}
	for i := 0; big.holding() < placed; i++ {
		if i > 300 {
			must(fmt.Errorf("the layers were not placed"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // contactMs after the start, and more
	big.begin()
	small.begin()
	addr := "127.0.0.1:0"
	if trouble {
		added := big.listen("i-added", "z", addr)
		addr = added.addr
		added.register()
		added.crash()
		time.AfterFunc(3600*time.Millisecond, func() { // three heartbeats of silence
			e.store.Put("servers/"+added.id, nil)
			e.logf("record of i-added expires")
		})
		time.Sleep(2100 * time.Millisecond) // reuseAfterS is 2
	} else {
		big.start("i-added", "z")
		time.Sleep(2100 * time.Millisecond)
	}
	reused := small.listen("i-reused", "z", addr)
	e.logf("replica i-reused of %s starts at %s", small.service, reused.addr)
	go reused.beat(time.Second) // a heartbeat is 1.2 s
	time.Sleep(12 * time.Second)
	big.mu.Lock()
	small.mu.Lock()
	overloaded := append(big.overloaded, small.overloaded...)
	small.mu.Unlock()
	big.mu.Unlock()
	e.logf("replicas that were ordered to hold more than their mb holds: %v", overloaded)
	fmt.Printf("replicas that were ordered to hold more than their mb holds: %v\n", overloaded)
	if len(overloaded) > 0 {
		return 1
	}
	return 0
}
