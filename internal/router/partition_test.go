package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// setLink sets the links of a VM to all servers until the end of the test, which would wait
// for silent connections.
func (s *site) setLink(v *vm, link standin.Link) {
	s.backends.SetLink(v.host, link)
	s.t.Cleanup(func() { s.backends.SetLink(v.host, standin.LinkUp) })
}

// firstTries counts the first attempts of callers and how many of them were served, and keeps
// what tells a fault from a machine that is short of processor time.
type firstTries struct {
	sent, served atomic.Int32
	mu           sync.Mutex
	failures     map[string]int // by what the caller saw
	late         time.Duration  // longest time by which a pause between requests was too long
}

func (f *firstTries) share() float64 {
	return float64(f.served.Load()) / float64(max(1, f.sent.Load()))
}

func (f *firstTries) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures == nil {
		f.failures = map[string]int{}
	}
	f.failures[err.Error()]++
}

func (f *firstTries) paused(late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = max(f.late, late)
}

func (f *firstTries) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%d of %d (pauses up to %v late, failed %v)", f.served.Load(), f.sent.Load(), f.late.Round(time.Millisecond), f.failures)
}

// tryOnce sends a request and returns an error that says what the caller saw if it was not served
// completely within the callers' patience. It returns without an answer when ctx ends.
func (v *vm) tryOnce(ctx context.Context, method, uri, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.host+":18227"+uri, nil)
	if err != nil {
		return err
	}
	req.Host = "ficu95.example"
	for key, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000", "Authorization": "Bearer " + apiKey, "X-Prompt-Prefix": "caller:40,own-" + id + ":20"} {
		req.Header.Set(key, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(errors.UnwrapAll(err), "%s, no response", uri)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return errors.Wrapf(err, "%s %d, cut", uri, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return errors.Newf("%s %d, %s", uri, resp.StatusCode, bytes.TrimSpace(body))
	case resp.Header.Get("X-Response-Signature") == "":
		return errors.Newf("%s without a signature", uri)
	}
	return nil
}

const callerPatience = 2 * time.Second

// callWhile sends requests of all kinds to a VM for a time and counts them.
func (v *vm) callWhile(duration time.Duration, phase string, tries *firstTries) {
	var requests sync.WaitGroup
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		requests.Go(func() {
			kind := []struct{ method, uri string }{{"POST", streamURI}, {"GET", "/idempotent/x"}, {"POST", "/non_idempotent/x"}}[i%3]
			tries.sent.Add(1)
			if err := v.tryOnce(context.Background(), kind.method, kind.uri, fmt.Sprintf("%s-%s-%d", phase, v.settings.VM, i)); err != nil {
				tries.failed(err)
				return
			}
			tries.served.Add(1)
		})
		const pause = 30 * time.Millisecond
		began := time.Now()
		time.Sleep(pause)
		tries.paused(time.Since(began) - pause)
	}
	requests.Wait()
}

// callAll lets all VMs serve requests for a time. It returns what the partitioned VMs, the
// first ones, and the others served.
func callAll(vms []*vm, partitioned int, duration time.Duration, phase string) (cut, others *firstTries) {
	cut, others = &firstTries{}, &firstTries{}
	var calls sync.WaitGroup
	for i, v := range vms {
		tries := others
		if i < partitioned {
			tries = cut
		}
		calls.Go(func() { v.callWhile(duration, phase, tries) })
	}
	calls.Wait()
	return cut, others
}

func TestVMPartitionedFromAllServersServesItsCallers(t *testing.T) {
	for name, link := range map[string]standin.Link{"silent": standin.LinkSilent, "reset": standin.LinkReset, "refused": standin.LinkRefuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			var vms []*vm
			for i := range 4 {
				vms = append(vms, s.boundVM(fmt.Sprintf("a%d", i+1)))
			}
			s.configure(7)
			s.engines(vms[0], 20, 10*time.Millisecond)
			for i := range 3 {
				s.server(standin.ServerConfig{ID: fmt.Sprintf("app-%d", i), Service: "wuno96b", Domain: "bergen-a", Work: 20 * time.Millisecond})
			}
			for _, v := range vms {
				v.awaitReady(t)
			}
			const partitioned = 2
			cut, others := callAll(vms, partitioned, time.Second, "before")
			t.Logf("before: %v, the others %v", cut, others)
			require.GreaterOrEqual(t, cut.share(), 0.9)
			require.GreaterOrEqual(t, others.share(), 0.9)
			for _, v := range vms[:partitioned] {
				s.setLink(v, link)
			}
			cut, others = callAll(vms, partitioned, 1500*time.Millisecond, "first")
			t.Logf("first 1.5 s of the cut: %v, the others %v", cut, others)
			cut, others = callAll(vms, partitioned, 2*time.Second, "cut")
			t.Logf("then: %v, the others %v", cut, others)
			require.GreaterOrEqual(t, others.share(), 0.9)
			require.GreaterOrEqual(t, 3*cut.share(), 2*others.share(), "first tries at the partitioned VMs")
			for _, v := range vms[:partitioned] {
				s.setLink(v, standin.LinkUp)
			}
			time.Sleep(1500 * time.Millisecond)
			cut, others = callAll(vms, partitioned, time.Second, "after")
			t.Logf("1.5 s after the cut: %v, the others %v", cut, others)
			require.GreaterOrEqual(t, cut.share(), 0.9)
			require.GreaterOrEqual(t, others.share(), 0.9)
		})
	}
}

// partitionedSite starts VMs. It cuts the first one off from all servers, unless link is up,
// and waits until it knows.
func partitionedSite(t *testing.T, vmCount, events int, link standin.Link) (s *site, vms []*vm) {
	s = newSite(t)
	for i := range vmCount {
		vms = append(vms, s.boundVM(fmt.Sprintf("a%d", i+1)))
	}
	s.configure(7)
	s.engines(vms[0], events, 10*time.Millisecond)
	for i := range 3 {
		s.server(standin.ServerConfig{ID: fmt.Sprintf("app-%d", i), Service: "wuno96b", Domain: "bergen-a", Work: 20 * time.Millisecond})
	}
	for _, v := range vms {
		v.awaitReady(t)
	}
	if link == standin.LinkUp {
		return s, vms
	}
	s.setLink(vms[0], link)
	vms[0].callWhile(time.Second, "before", &firstTries{})
	require.Eventually(t, func() bool { return vms[0].cutOff("huvo11a") && vms[0].cutOff("wuno96b") }, waitTimeout, 10*time.Millisecond)
	return s, vms
}

func (v *vm) cutOff(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.core.Reach.CutOff(service)
}

func TestPassedOnRequestsAreAnsweredAsByOneVM(t *testing.T) {
	t.Parallel()
	s, vms := partitionedSite(t, 2, 20, standin.LinkReset)
	resp := vms[0].call(t, "POST", "/non_idempotent/x", "unsafe")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("X-Response-Signature"))
	require.Equal(t, 1, s.backends.Runs("unsafe"))

	resp = vms[0].call(t, "POST", streamURI, "stream")
	require.NotEmpty(t, resp.Header.Get("X-Response-Signature"))
	require.Empty(t, resp.Header.Get("Catkin-Passed-On"))
	requireCompleteStream(t, resp.Body, 20)
	require.Equal(t, 1, s.backends.Runs("stream"))

	require.Equal(t, http.StatusNotFound, vms[0].call(t, "GET", "/no-such-route/x", "unknown").StatusCode)
	vms[1].stopping.Store(true)
	resp = vms[0].call(t, "POST", "/non_idempotent/x", "refused")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, s.backends.Runs("refused"))
	vms[1].stopping.Store(false)
}

// Two VMs that are cut off must not pass requests to and fro.
func TestRequestIsRefusedAtOnceIfAllVMsAreCutOff(t *testing.T) {
	t.Parallel()
	s, vms := partitionedSite(t, 2, 20, standin.LinkReset)
	s.setLink(vms[1], standin.LinkReset)
	vms[1].callWhile(500*time.Millisecond, "second", &firstTries{})
	require.Eventually(t, func() bool { return vms[1].cutOff("huvo11a") }, waitTimeout, 10*time.Millisecond)
	for i := range 10 {
		start := time.Now()
		resp := vms[i%2].call(t, "POST", streamURI, fmt.Sprint("nobody-", i))
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Less(t, time.Since(start), 300*time.Millisecond)
	}
}

func TestStreamInProgressGoesOnThroughAnotherVM(t *testing.T) {
	for name, link := range map[string]standin.Link{"silent": standin.LinkSilent, "reset": standin.LinkReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, vms := partitionedSite(t, 2, 150, standin.LinkUp) // 1.5 s
			var streams sync.WaitGroup
			for i := range 4 {
				resp := vms[0].call(t, "POST", streamURI, fmt.Sprint("stream-", i))
				streams.Go(func() { requireCompleteStream(t, resp.Body, 150) })
			}
			time.Sleep(300 * time.Millisecond)
			s.setLink(vms[0], link)
			streams.Wait()
		})
	}
}

func TestCallerThatLeavesEndsItsPassedOnRun(t *testing.T) {
	t.Parallel()
	_, vms := partitionedSite(t, 2, 500, standin.LinkReset) // 5 s
	ctx, leave := context.WithCancel(context.Background())
	var left sync.WaitGroup
	left.Go(func() { _ = vms[0].tryOnce(ctx, "POST", streamURI, "left") }) // the caller leaves
	require.Eventually(t, func() bool { return vms[1].pathOf("left") != nil }, waitTimeout, 5*time.Millisecond)
	leave()
	left.Wait()
	require.Eventually(t, func() bool { return vms[1].pathOf("left") == nil }, time.Second, 5*time.Millisecond)
}

func TestLeaderThatReachesNoServersGivesWay(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	leads := func(v *vm) bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.election.IsLeader(v.clock.now())
	}
	first := s.boundVM("a1")
	s.configure(7)
	s.engines(first, 20, 10*time.Millisecond)
	second := s.boundVM("a2")
	second.awaitReady(t)
	require.True(t, leads(first))
	s.setLink(first, standin.LinkReset)
	first.callWhile(500*time.Millisecond, "cut", &firstTries{})
	require.Eventually(t, func() bool { return leads(second) }, 3*time.Second, 10*time.Millisecond)
	require.False(t, leads(first))
	fresh := s.server(standin.ServerConfig{ID: "fresh", Service: "huvo11a", Domain: "bergen-a", Accelerator: "a100"})
	require.Eventually(t, func() bool { return fresh.Held().Len() > 0 }, waitTimeout, 5*time.Millisecond, "placed by the VM that reaches it")
}
