package router

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// callWithPrompt sends a stream request with the given prompt parts and returns the status,
// 0 if the response was cut.
func (v *vm) callWithPrompt(t *testing.T, id, parts string) (status int, retryAfter string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+v.host+":18227"+streamURI, nil)
	require.NoError(t, err)
	req.Host = "ficu95.example"
	for key, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "20000", "Authorization": "Bearer " + apiKey, "X-Prompt-Prefix": parts} {
		req.Header.Set(key, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// maxCrashes is how many servers a part may crash before its requests reach no server.
const maxCrashes = 3

func TestPromptPartThatCrashesServersIsBlockedOnAllVMs(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	vms := []*vm{s.vm("a1"), s.vm("a2"), s.vm("a3")}
	s.configure(7)
	s.engines(vms[0], 6, 10*time.Millisecond)
	var restarts atomic.Int32
	s.backends.CrashOnPart("deadly", func(crashed *standin.Server) {
		time.AfterFunc(200*time.Millisecond, func() {
			cfg := crashed.ServerConfig
			cfg.ID = fmt.Sprintf("restarted-%d", restarts.Add(1))
			s.server(cfg)
		})
	})
	for _, v := range vms {
		v.awaitReady(t)
	}
	var soundServed, soundSent atomic.Int32
	var requests sync.WaitGroup
	for i := range 60 { // a request of each kind every 50 ms, at any VM
		v := vms[i%len(vms)]
		requests.Go(func() {
			v.callWithPrompt(t, fmt.Sprintf("deadly-%d", i), fmt.Sprintf("shared:40,deadly:100,own-%d:20", i))
		})
		requests.Go(func() {
			soundSent.Add(1)
			if status, _ := v.callWithPrompt(t, fmt.Sprintf("sound-%d", i), fmt.Sprintf("shared:40,other-%d:100,own-sound-%d:20", i%7, i)); status == http.StatusOK {
				soundServed.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	requests.Wait()
	t.Logf("%d servers crashed; %d of %d sound requests served", s.backends.Crashes(), soundServed.Load(), soundSent.Load())
	require.LessOrEqual(t, s.backends.Crashes(), maxCrashes, "servers crashed by requests with one part")
	require.GreaterOrEqual(t, 2*soundServed.Load(), soundSent.Load(), "sound requests with the same first part")
	for i, v := range vms {
		start := time.Now()
		status, retryAfter := v.callWithPrompt(t, fmt.Sprintf("late-%d", i), fmt.Sprintf("shared:40,deadly:100,late-%d:20", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.NotEmpty(t, retryAfter)
		require.Less(t, time.Since(start), 500*time.Millisecond)
		require.Zero(t, s.backends.Runs(fmt.Sprintf("late-%d", i)))
	}
}

// blocks reports whether the VM has blocked a part.
func (v *vm) blocks(part string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, blocked := v.core.Poison.Find(v.clock.now(), poison.Subject{Prompt: poison.NewPrompt([]string{part})})
	return blocked
}

// After the loss of all VMs the list of blocked parts comes from the store.
func TestBlockedPromptPartsOutliveAllVMs(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.engines(v, 4, 10*time.Millisecond)
	v.awaitReady(t)
	v.locked(func() {
		v.core.Poison.Restore(v.clock.now(), poison.Block{Part: "deadly", Since: v.clock.now(), Seen: v.clock.now(), Crashes: 2})
	})
	require.Eventually(t, func() bool { return len(s.store.Get(blockedKey)) > 0 }, waitTimeout, 20*time.Millisecond)
	v.stop()
	v.done <- <-v.done

	restarted := s.vm("a2")
	restarted.awaitReady(t)
	require.True(t, restarted.blocks("deadly"))
	status, _ := restarted.callWithPrompt(t, "refused", "first:10,deadly:5,own:3")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Zero(t, s.backends.Runs("refused"))

	s.store.Put(blockedKey, []byte("not a list"))
	s.configure(8)
	require.Eventually(t, func() bool {
		restarted.mu.Lock()
		defer restarted.mu.Unlock()
		return restarted.core.Table().Config().Version == 8
	}, waitTimeout, 10*time.Millisecond)
	require.True(t, restarted.blocks("deadly"), "an invalid list changes nothing")
}

// A VM that starts while the store is down or has no list learns the parts from the others.
func TestBlockedPromptPartsReachVMThatStarts(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	v.awaitReady(t)
	v.locked(func() {
		v.core.Poison.Restore(v.clock.now(), poison.Block{Part: "deadly", Since: v.clock.now(), Seen: v.clock.now(), Crashes: 2})
		v.storedBlocks.version = v.core.Poison.Version() // keeps the list out of the store
	})
	started := s.vm("a2")
	require.Eventually(t, func() bool { return started.blocks("deadly") }, waitTimeout, 10*time.Millisecond)
	require.Empty(t, s.store.Get(blockedKey))
}

// A plain request must not end one replica after the other.
func TestPlainRequestEndsAtMostTwoServers(t *testing.T) {
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	for i := range 4 {
		s.server(standin.ServerConfig{ID: fmt.Sprintf("app-%d", i), Service: "wuno96b", Domain: "bergen-a", ResetRequests: true})
	}
	v.awaitReady(t)
	require.Equal(t, http.StatusBadGateway, v.call(t, "GET", "/many_attempts/x", "deadly").StatusCode)
	require.LessOrEqual(t, s.backends.Runs("deadly"), 2)
}

// A complete response of one event clears its prompt as well.
func TestShortStreamClearsItsPrompt(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	s.engines(v, 1, 5*time.Millisecond)
	v.awaitReady(t)
	prompt := poison.NewPrompt([]string{"first", "shared", "own"})
	cleared := func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.core.Poison.Cleared(prompt, 0)
	}
	require.False(t, cleared())
	status, _ := v.callWithPrompt(t, "short", "first:10,shared:5,own:3")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, cleared, waitTimeout, 5*time.Millisecond)
}
