//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

func init() { cases["cutwatch"] = cutwatch }

// storeFront passes calls on to the store. It cuts a watch that has waited for cutAfter, if that is
// positive, by closing its channel.
type storeFront struct {
	addr     string
	store    string
	cutAfter atomic.Int64
	cuts     atomic.Int64
	server   *http.Server
	client   http.Client
}

func newStoreFront(store string) (*storeFront, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{addr: l.Addr().String(), store: store}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (f *storeFront) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	ctx := req.Context()
	cutAfter := time.Duration(f.cutAfter.Load())
	isWatch := req.URL.Query().Has("waitMs") && cutAfter > 0
	if isWatch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cutAfter)
		defer cancel()
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+f.store+req.URL.RequestURI(), req.Body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadGateway)
		return
	}
	out.ContentLength = req.ContentLength
	out.Header = req.Header.Clone()
	resp, err := f.client.Do(out)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			rw.Header().Set("Content-Type", "application/json")
			rw.WriteHeader(resp.StatusCode)
			_, _ = rw.Write(body)
			return
		}
	}
	if isWatch {
		f.cuts.Add(1)
	}
	if c, _, hijackErr := rw.(http.Hijacker).Hijack(); hijackErr == nil {
		_ = c.Close()
	}
}

// cutwatch has half of the replicas replaced, the old ones leave without a report, while the store cuts watches that wait, and looks for
// requests that reach a replica later than drainMs after the store has removed its entry.
func cutwatch(w *world, trouble bool) (int, error) {
	const (
		cutAfter  = 60 * time.Millisecond
		perSecond = 60
		leaving   = 8
		every     = 5500 * time.Millisecond
	)
	front, err := newStoreFront(w.store.Addr)
	if err != nil {
		return failed, err
	}
	defer front.server.Close()
	w.putManifest(3, route{Name: "stock-check", Host: host, Prefix: "/lohu930/2f/", Kind: "idempotent", Service: "ordrebok", TimeoutMs: 1500, TargetLatencyMs: 300, Attempts: 2})
	zones := []string{"bergen-a", "bergen-b", "stord"}
	start := func(i int) error {
		_, err := w.startReplica(fmt.Sprintf("i-%d", i), "ordrebok", zones[i%3], 6, func(s *replica, rw http.ResponseWriter, req *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			answer(s, rw, req.Header.Get(platform.HeaderRequestID))
		})
		return err
	}
	for i := range 2 * leaving {
		if err := start(i); err != nil {
			return failed, err
		}
	}
	if err := w.startVMs(3, func(int) string { return front.addr }); err != nil {
		return failed, err
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	if trouble {
		front.cutAfter.Store(int64(cutAfter))
		w.record.line("from now on the store cuts each watch that has waited for %v", cutAfter)
	}
	time.Sleep(4 * time.Second) // in touch
	begun := time.Now()
	removedAt := map[string]time.Time{}
	var consumers sync.WaitGroup
	var served atomic.Int64
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	n := 0
	for ; time.Since(begun) < every*(leaving+1); n++ {
		<-tick.C
		if k := int(time.Since(begun) / every); k > len(removedAt) && len(removedAt) < leaving {
			if err := start(2*leaving + len(removedAt)); err != nil { // the new one first
				return failed, err
			}
			s := w.replicas[len(removedAt)]
			removedAt[s.id] = s.removeEntry()
			time.AfterFunc(5*time.Second, s.close)
		}
		v := w.vms[n%len(w.vms)]
		id := fmt.Sprintf("%016x", n)
		consumers.Go(func() {
			w.record.line("a consumer sends %s to %s", id, v.name)
			a, err := call(v.front(), request("GET", "/lohu930/2f/stock", id, "", 1500), "GET", 2*time.Second)
			w.record.line("the consumer of %s gets %d, error %v", id, a.status, err)
			if err == nil && a.status == 200 {
				served.Add(1)
			}
		})
	}
	consumers.Wait()
	late := 0
	for _, s := range w.replicas {
		at, left := removedAt[s.id]
		if !left {
			continue
		}
		last, lateHere := time.Duration(0), 0
		for _, a := range s.received() {
			if a.ran && a.at.Sub(at) > last {
				last = a.at.Sub(at)
			}
			if a.ran && a.at.Sub(at) > drainFor {
				lateHere++
			}
		}
		late += lateHere
		w.record.line("replica %s: last request %.3f s after its entry was removed; %d requests later than %v", s.id, last.Seconds(), lateHere, drainFor)
	}
	w.record.line("sent %d, served %d; %d watches cut; %d requests reached a replica too late", n, served.Load(), front.cuts.Load(), late)
	if served.Load() == 0 {
		return failed, fmt.Errorf("no request was served")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
