package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// firstTries counts the first attempts of callers and how many of them were served.
type firstTries struct{ sent, served atomic.Int32 }

func (f *firstTries) share() float64 {
	return float64(f.served.Load()) / float64(max(1, f.sent.Load()))
}

func (f *firstTries) String() string { return fmt.Sprintf("%d of %d", f.served.Load(), f.sent.Load()) }

// tryOnce sends a request and reports whether it was served completely within the callers'
// patience. It returns without an answer when ctx ends.
func (v *vm) tryOnce(ctx context.Context, method, uri, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.host+":18227"+uri, nil)
	if err != nil {
		return false
	}
	req.Host = "ficu95.example"
	for key, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000", "Authorization": "Bearer " + apiKey, "X-Prompt-Prefix": "caller:40,own-" + id + ":20"} {
		req.Header.Set(key, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Signature") != ""
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
			if v.tryOnce(context.Background(), kind.method, kind.uri, fmt.Sprintf("%s-%s-%d", phase, v.settings.VM, i)) {
				tries.served.Add(1)
			}
		})
		time.Sleep(30 * time.Millisecond)
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
			require.GreaterOrEqual(t, cut.share(), 0.9)
			require.GreaterOrEqual(t, others.share(), 0.9)
			for _, v := range vms[:partitioned] {
				s.backends.SetLink(v.host, link)
			}
			cut, others = callAll(vms, partitioned, 1500*time.Millisecond, "first")
			t.Logf("first 1.5 s of the cut: %v, the others %v", cut, others)
			cut, others = callAll(vms, partitioned, 2*time.Second, "cut")
			t.Logf("then: %v, the others %v", cut, others)
			require.GreaterOrEqual(t, others.share(), 0.9)
			require.GreaterOrEqual(t, 3*cut.share(), 2*others.share(), "first tries at the partitioned VMs")
			for _, v := range vms[:partitioned] {
				s.backends.SetLink(v.host, standin.LinkUp)
			}
			time.Sleep(1500 * time.Millisecond)
			cut, others = callAll(vms, partitioned, time.Second, "after")
			t.Logf("1.5 s after the cut: %v, the others %v", cut, others)
			require.GreaterOrEqual(t, cut.share(), 0.9)
			require.GreaterOrEqual(t, others.share(), 0.9)
		})
	}
}
