//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stale"] = playStale }

// storeProxy stands between one VM and the store. While it is cut it swallows all bytes both
// ways, without a reset.
type storeProxy struct {
	addr string
	cut  atomic.Bool
}

func newStoreProxy(store string) (*storeProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp4", store)
			if err != nil {
				_ = c.Close()
				continue
			}
			go p.pipe(c, up)
			go p.pipe(up, c)
		}
	}()
	return p, nil
}

func (p *storeProxy) pipe(from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for p.cut.Load() {
			time.Sleep(5 * time.Millisecond) // held until the cut heals
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// playStale: a route moves to another service while one VM is cut off from the store.
func playStale(f *Fleet, rec *Recorder, trouble bool) (bool, error) {
	var shedding atomic.Bool
	var count atomic.Int64
	answer := func(sheds bool) func(id string, r *http.Request) Outcome {
		return func(_ string, _ *http.Request) Outcome {
			if sheds && shedding.Load() && count.Add(1)*39%100 < 39 {
				return Outcome{Status: http.StatusServiceUnavailable}
			}
			return Outcome{Status: http.StatusOK, Ran: true, Body: "reserved", Work: 20 * time.Millisecond}
		}
	}
	for i := range 11 {
		zone := zones[i%len(zones)]
		if _, err := f.StartReplica(fmt.Sprintf("i-old-%d", i+1), "ordrebok", zone, answer(false)); err != nil {
			return false, err
		}
		if _, err := f.StartReplica(fmt.Sprintf("i-new-%d", i+1), "ordrebok-2", zone, answer(i == 0)); err != nil {
			return false, err
		}
	}
	services := []map[string]any{PlainService("ordrebok", 96), PlainService("ordrebok-2", 96)}
	f.Manifest(7, []map[string]any{PlainRoute("reserve", "/reserve/", "non_idempotent", "ordrebok", 1, 1500)}, services)
	proxy, err := newStoreProxy(f.Store.Addr)
	if err != nil {
		return false, err
	}
	if err := f.StartVMs(6, func(vm *VM) {
		if vm.Name == "front-4" { // in the zone of front-1
			vm.StoreAddr = proxy.addr
		}
	}); err != nil {
		return false, err
	}
	if err := f.AwaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		proxy.cut.Store(true)
		shedding.Store(true)
		rec.Printf("disruptions begin: front-4 is partitioned from the store; i-new-1 rejects 0.39 of its requests")
	}
	f.Manifest(12, []map[string]any{PlainRoute("reserve", "/reserve/", "non_idempotent", "ordrebok-2", 1, 1500)}, services)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	vm := f.VMs[0]
	for i := range 165 { // 30 a second for 5.5 s
		id := fmt.Sprintf("b%015x", i+1)
		wg.Go(func() {
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			rec.Printf("%s: POST /reserve/p sent to %s", id, vm.Name)
			rep, _ := Send(vm.Callers, "POST", "/reserve/p", id, f.key, 1500*time.Millisecond, false)
			rec.Printf("%s: answered %d %q %v", id, rep.Status, rep.Body, rep.Err)
		})
		time.Sleep(33 * time.Millisecond)
	}
	wg.Wait()
	proxy.cut.Store(false)
	shedding.Store(false)
	time.Sleep(500 * time.Millisecond)
	// A replica of the new service saw the effect of version 12 with the first run there.
	var seen time.Time
	for id := range sentAt {
		for _, r := range rec.Runs(id) {
			if r.Service == "ordrebok-2" && (seen.IsZero() || r.At.Before(seen)) {
				seen = r.At
			}
		}
	}
	if seen.IsZero() {
		return false, fmt.Errorf("no request reached the new service")
	}
	back := 0
	const rollbackSlack = 250 * time.Millisecond
	for id, at := range sentAt {
		for _, r := range rec.Runs(id) {
			if r.Service == "ordrebok" && at.After(seen.Add(rollbackSlack)) {
				back++
				rec.Printf("REGRESS: %s, sent to %s %.0f ms after the new service saw version 12, was run by %s of the old service", id, vm.Name, float64(at.Sub(seen).Milliseconds()), r.Replica)
			}
		}
	}
	rec.Printf("%d requests, %d run by the old service more than 250 ms after the new one saw the version", len(sentAt), back)
	return back > 0, nil
}
