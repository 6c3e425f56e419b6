//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

const (
	streamsPerVM = 6
	grace        = 8 * time.Second
	// patience is when a consumer abandons a stream: four times the objective.
	patience = 4 * time.Second
)

type streamResult struct {
	id       string
	vm       *router
	status   int
	events   int
	whole    bool
	gaveUp   bool
	endedAt  time.Time
	lastAt   time.Time
	sentAt   time.Time
	firstBad string
}

// playLost: a replica in the middle of the path is replaced as planned, and the VM that serves the
// streams gets SIGTERM. The VM must not end answers that their replicas have not ended.
func playLost(trouble bool) int {
	e := newEnv()
	defer e.close()
	const service = "llm"
	g := e.newModel(service, 80, 14, 3*time.Second)
	e.putConfig(modelManifest(service))
	first, second := g.start("i-first", "z"), g.start("i-second", "z")
	for n := range 2 {
		e.startRouter(fmt.Sprintf("front-z-%d", n+1), "z", loopback(n))
	}
	for _, r := range e.routers {
		r.waitReady()
	}
	for i := 0; !g.covered(first, second); i++ {
		if i > 300 {
			must(fmt.Errorf("the layers were not placed"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // contactMs after the start, and more
	results := make(chan streamResult, 2*streamsPerVM)
	var wg sync.WaitGroup
	for i := range 2 * streamsPerVM {
		wg.Go(func() { results <- e.consume(e.routers[i%2], fmt.Sprintf("q-%d", i)) })
	}
	stopAt := time.Time{}
	if trouble {
		time.Sleep(time.Second)
		// The last stage: the new replica starts first, the old one drains.
		old := second
		if first.from > 0 {
			old = first
		}
		g.start("i-third", "z")
		go old.leave(2*time.Second, 3200*time.Millisecond)
		time.Sleep(4200 * time.Millisecond)
		stopAt = time.Now()
		e.logf("SIGTERM to %s", e.routers[0].name)
		_ = e.routers[0].cmd.Process.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	close(results)
	return e.judgeStreams(g, results, stopAt, 2*streamsPerVM)
}

func (e *env) consume(vm *router, id string) streamResult {
	s := streamResult{id: id, vm: vm, sentAt: time.Now(), lastAt: time.Now()}
	req, err := http.NewRequest("POST", "http://"+vm.front()+"/draft/x", strings.NewReader(strings.Repeat("p", 700)))
	must(err)
	req.Host = "h.example"
	for k, v := range map[string]string{platform.HeaderRequestID: id, platform.HeaderTimeLeft: "20000", platform.HeaderTokens: "700,560", "X-Model": "m0", "X-Prompt-Prefix": "5c1e07a2:40," + fmt.Sprintf("%x", len(id)*7919) + id[2:] + ":660"} {
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	e.logf("request %s sent to %s", id, vm.name)
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		s.endedAt = time.Now()
		return s
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	abandon := time.AfterFunc(patience, func() { s.gaveUp = true; _ = resp.Body.Close() })
	defer abandon.Stop()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "id: ") {
			s.events++
			s.lastAt = time.Now()
			abandon.Reset(patience)
		}
	}
	s.endedAt = time.Now()
	s.whole = sc.Err() == nil && s.events == streamEvents
	return s
}

// judgeStreams judges the streams of the first VM by LOST, around its SIGTERM.
func (e *env) judgeStreams(g *model, results <-chan streamResult, stopAt time.Time, sent int) int {
	broken, served := 0, 0
	for s := range results {
		g.mu.Lock()
		by, runEnd := g.endedBy[s.id], g.ended[s.id]
		g.mu.Unlock()
		verdict := "whole"
		switch {
		case s.whole:
			served++
		case !stopAt.IsZero() && s.vm == e.routers[0] && s.status == 200 && !s.gaveUp && s.endedAt.After(stopAt) && s.endedAt.Before(stopAt.Add(grace+time.Second)) &&
			by == "caller" && runEnd.Before(stopAt.Add(grace*5/6)): // in the last sixth it is excused
			verdict = fmt.Sprintf("LOST: the VM ended the run %.2f s before it closed the channel, %.2f s after the last event; the replica had not broken off", s.endedAt.Sub(runEnd).Seconds(), s.endedAt.Sub(s.lastAt).Seconds())
			broken++
		case s.gaveUp:
			verdict = "the consumer gave up"
		default:
			verdict = "not whole, not counted (run ended by the " + by + ")"
		}
		e.logf("request %s at %s: status %d, %d of %d events: %s", s.id, s.vm.name, s.status, s.events, streamEvents, verdict)
	}
	e.logf("served %d, lost under planned work %d", served, broken)
	fmt.Printf("served %d, lost under planned work %d\n", served, broken)
	switch {
	case broken > 0:
		return 1
	case stopAt.IsZero() && served < sent:
		return 2
	}
	return 0
}
