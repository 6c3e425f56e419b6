package router

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// avoidAllBut keeps all servers but those of a path from being chosen by a VM for a time.
func (v *vm) avoidAllBut(path []paths.Stage, within time.Duration) {
	v.locked(func() {
		for _, id := range v.core.Backends.IDs() {
			if !slices.ContainsFunc(path, func(stage paths.Stage) bool { return stage.Instance.ID == id }) {
				v.core.Backends.Avoid(v.clock.now(), v.core.Backends.Get(id).Instance(), within)
			}
		}
	})
}

// Guards against a run that is given up while no server can take over from a lost one, although its
// first server keeps it until one can (LOST).
func TestRunIsKeptUntilAnotherServerCanTakeOver(t *testing.T) {
	const events, without = 60, 2 * time.Second
	for _, c := range []struct {
		name string
		lost int // servers of the path
		stop bool
	}{
		{"VM goes on", 1, false},
		{"VM stops", 1, true},
		{"two servers are lost, VM stops", 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			vms := []*vm{s.vm("a1"), s.vm("a2")}
			s.configure(7)
			engines := s.engines(vms[0], events, 10*time.Millisecond)
			for _, v := range vms {
				v.awaitReady(t)
			}
			resp := vms[0].call(t, http.MethodPost, streamURI, "kept")
			require.Equal(t, http.StatusOK, resp.StatusCode)
			path := vms[0].pathOf("kept")
			require.Greater(t, len(path), 2)
			for _, v := range vms {
				v.avoidAllBut(path, without)
			}
			for _, stage := range path[1 : 1+c.lost] {
				serverAt(engines, stage.Addr).Hang()
			}
			if c.stop {
				vms[0].stop()
			}
			requireCompleteStream(t, resp.Body, events)
			require.LessOrEqual(t, s.backends.Runs("kept"), c.lost, "the path should change within the same run; after the second loss another one may begin")
		})
	}
}

// Guards against a stream that was passed on and ends because the VM that keeps its run is silent until
// a server can take over (LOST).
func TestPassedOnStreamOutlastsALostServer(t *testing.T) {
	const events, without = 100, 2 * time.Second
	t.Parallel()
	s, vms := partitionedSite(t, 3, events, standin.LinkReset)
	resp := vms[0].call(t, http.MethodPost, streamURI, "passed-on")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var path []paths.Stage
	for _, v := range vms[1:] {
		if p := v.pathOf("passed-on"); p != nil {
			path = p
		}
	}
	require.Greater(t, len(path), 2)
	for _, v := range vms[1:] {
		v.avoidAllBut(path, without)
	}
	s.backends.At(path[1].Addr).Hang()
	requireCompleteStream(t, resp.Body, events)
}

// Guards against a passed-on stream that is closed because the VM that had its run stops while the
// others have no room for a moment (LOST).
func TestPassedOnStreamWaitsForAnotherVM(t *testing.T) {
	const events, without = 100, 2 * time.Second
	t.Parallel()
	_, vms := partitionedSite(t, 3, events, standin.LinkReset)
	resp := vms[0].call(t, http.MethodPost, streamURI, "passed-on")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	holder, other := vms[1], vms[2]
	if holder.pathOf("passed-on") == nil {
		holder, other = other, holder
	}
	require.NotNil(t, holder.pathOf("passed-on"))
	other.avoidAllBut(nil, without)
	holder.giveUpRequests()
	requireCompleteStream(t, resp.Body, events)
}

// Guards against a stream that is closed at once when its engine has cut the kept run, although its caller
// and its deadline still allow another one (LOST).
func TestStreamWhoseKeptRunWasCutWaitsForAnother(t *testing.T) {
	const events, without = 60, 5 * time.Second // longer than the engine waits
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, events, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, http.MethodPost, streamURI, "cut")
	path := v.pathOf("cut")
	require.Greater(t, len(path), 2)
	v.avoidAllBut(path, without)
	serverAt(engines, path[1].Addr).Hang()
	requireCompleteStream(t, resp.Body, events)
	require.Equal(t, 2, s.backends.Runs("cut"))
}

// Guards against a second run that is given up for the loss of a server of the first one's path, which
// several goroutines find at the same time.
func TestRunIsNotLeftForAServerOffItsPath(t *testing.T) {
	const events = 60
	t.Parallel()
	s := newSite(t)
	v := s.vm("a1")
	s.configure(7)
	engines := s.engines(v, events, 10*time.Millisecond)
	v.awaitReady(t)
	resp := v.call(t, http.MethodPost, streamURI, "stays")
	path := v.pathOf("stays")
	streams := v.streams.through(path[0].Addr)
	require.Len(t, streams, 1)
	for _, e := range engines {
		if !slices.ContainsFunc(path, func(stage paths.Stage) bool { return stage.Addr == e.Addr }) {
			streams[0].leaveRun(e.Addr, "a server of its path is lost")
		}
	}
	requireCompleteStream(t, resp.Body, events)
	require.Equal(t, 1, s.backends.Runs("stays"))
}

// Guards against a sound first server that is left out of a stream's next run, because the record of the
// lost server is gone or its address belongs to another one by now.
func TestLostServerIsNotMistakenForAnother(t *testing.T) {
	for name, reused := range map[string]bool{"record gone": false, "address used again": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			v := s.vm("a1")
			s.configure(7)
			engines := s.engines(v, 400, 10*time.Millisecond)
			v.awaitReady(t)
			require.Equal(t, http.StatusOK, v.call(t, http.MethodPost, streamURI, "left").StatusCode)
			path := v.pathOf("left")
			lost := serverAt(engines, path[1].Addr)
			streams := v.streams.through(lost.Addr)
			require.Len(t, streams, 1)
			x, ch := streams[0].x, streams[0].choice()
			s.store.Put(platform.ServersPrefix+lost.ID, nil)
			user := standin.ServerConfig{ID: "next-user", Service: "wuno96b", Domain: "bergen-a"}
			if reused {
				user.AdvertiseAddr = func(string) string { return lost.Addr }
				s.server(user)
			}
			require.Eventually(t, func() (known bool) {
				v.locked(func() {
					now := v.core.Backends.ByAddr(lost.Addr)
					known = reused && now != nil && string(now.ID) == user.ID || !reused && now == nil
				})
				return known
			}, waitTimeout, 5*time.Millisecond)
			v.locked(func() {
				for _, other := range v.core.Backends.ByService("huvo11a") {
					if other.Held.From == 0 && other.ID != path[0].Instance.ID {
						v.core.Backends.Avoid(v.clock.now(), other.Instance(), waitTimeout)
					}
				}
			})
			next, refusal := x.chooseSuccessor(ch, lost.Addr)
			require.Nil(t, refusal)
			require.Equal(t, path[0].Instance, next.Target().Instance)
			x.release(next)
			x.recordFailure(&sendResult{choice: ch, faultAddr: lost.Addr, err: errUnsigned, outcome: verdict.MayHaveRun})
			v.locked(func() {
				require.NotContains(t, x.req.Avoid, backend.ID(user.ID))
				require.NotContains(t, x.req.Avoid, path[0].Instance.ID)
			})
		})
	}
}
