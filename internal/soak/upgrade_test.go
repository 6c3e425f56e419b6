package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform"
)

// earlierCommit is the build of the last landing, which runs beside this one.
const earlierCommit = "9c480fea068f8be4705bf1da4dabbf6bc3f362cd"

// errNoHistory says that the sources of earlierCommit are not there.
type errNoHistory struct{ reason string }

func (e errNoHistory) Error() string { return e.reason }

// buildEarlier builds the router of earlierCommit from the repository's history.
var buildEarlier = sync.OnceValues(func() (string, error) {
	for _, program := range []string{"git", "tar"} {
		if _, err := exec.LookPath(program); err != nil {
			return "", errNoHistory{err.Error()}
		}
	}
	if out, err := exec.Command("git", "cat-file", "-e", earlierCommit+"^{commit}").CombinedOutput(); err != nil {
		return "", errNoHistory{fmt.Sprintf("no commit %s here: %v: %s", earlierCommit, err, out)}
	}
	dir, err := os.MkdirTemp("", "catkin-earlier")
	if err != nil {
		return "", err
	}
	archive := filepath.Join(dir, "sources.tar")
	sources := filepath.Join(dir, "sources")
	if err := os.Mkdir(sources, 0o755); err != nil {
		return "", err
	}
	root := filepath.Join("..", "..") // git archive packs the current directory alone
	pack := exec.Command("git", "archive", "--format=tar", "-o", archive, earlierCommit)
	pack.Dir = root
	if out, err := pack.CombinedOutput(); err != nil {
		return "", errNoHistory{fmt.Sprintf("git archive %s: %v: %s", earlierCommit, err, out)}
	}
	if out, err := exec.Command("tar", "xf", archive, "-C", sources).CombinedOutput(); err != nil {
		return "", fmt.Errorf("unpacking: %w: %s", err, out)
	}
	file := filepath.Join(dir, "catkin-router")
	// Without paths in the executable, the compiled packages are found in the cache next time.
	build := exec.Command("go", "build", "-trimpath", "-o", file, "./cmd/catkin-router")
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", earlierCommit, err, out)
	}
	return file, nil
})

const (
	// replacementTime is about the time to replace a process: it accepts connections for 3 s
	// after it left the directory, and the next one waits for it.
	replacementTime = 3500 * time.Millisecond
	// vmsOfShortUpgrade keeps the test without CATKIN_SOAK_N below 40 s; with three VMs it takes 44 s.
	vmsOfShortUpgrade = 2
)

// TestRollingUpgrade replaces processes of an earlier build by this one, one after the other:
// forward, half of them back, and forward, with the faults, callers and checks of TestSoak.
// It guards against builds that do not understand each other's messages and records. It takes
// the variables of TestSoak; without CATKIN_SOAK_N it runs seed 1 with fewer VMs.
func TestRollingUpgrade(t *testing.T) {
	go func() { _, _ = buildRouter() }() // at the same time; its result is read below
	earlier, err := buildEarlier()
	if missing, ok := err.(errNoHistory); ok {
		t.Skipf("the build of the last landing can't be made from the repository's history: %s", missing.reason)
	}
	require.NoError(t, err)
	current, err := buildRouter()
	require.NoError(t, err)
	earlierVersion := versionOf(t, earlier)
	seeds, vms := []uint64{1}, vmsOfShortUpgrade
	if n := envUint(t, "CATKIN_SOAK_N", 0); n > 0 {
		seeds, vms = nil, vmsPerRun
		for i := range n {
			seeds = append(seeds, envUint(t, "CATKIN_SOAK_SEED", 1)+i)
		}
	}
	jobs := make(chan struct{}, envUint(t, "CATKIN_SOAK_JOBS", 3))
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			jobs <- struct{}{}
			defer func() { <-jobs }()
			r := newRun(t, seed, vms, earlier)
			r.earlierVersion = earlierVersion
			for _, v := range r.vms {
				v.replacing = new(sync.Mutex)
			}
			runSoak(r, func(r *run) { r.upgrade(earlier, current) })
			r.checkBuilds()
		})
	}
}

// upgrade replaces the processes one after the other, with faults all the while.
func (r *run) upgrade(earlier, current string) {
	type replacement struct {
		v      *vm
		binary string
	}
	var replacements []replacement
	half := r.vms[:len(r.vms)/2]
	for _, v := range r.vms {
		replacements = append(replacements, replacement{v, current})
	}
	for _, binary := range []string{earlier, current} {
		for _, v := range half {
			replacements = append(replacements, replacement{v, binary})
		}
	}
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaultsWithin(time.Duration(len(replacements)) * replacementTime) })
	for _, p := range replacements {
		p.v.replaceBy(p.binary)
	}
	faults.Wait()
}

// replaceBy stops the process, as the platform does, and starts a build in its place.
func (v *vm) replaceBy(binary string) {
	defer v.beginReplacing()()
	v.mu.Lock()
	v.binary = binary
	v.mu.Unlock()
	v.stopAndStart()
	// The next VM is replaced when this one serves, or after a while: faults may prevent it.
	for deadline := time.Now().Add(maxReadyTime); time.Now().Before(deadline) && !v.isReady(); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(mixedTime)
}

const (
	maxReadyTime = 2 * time.Second
	// mixedTime is the least time for which the builds of a step run side by side.
	mixedTime = 200 * time.Millisecond
)

func (v *vm) isReady() bool {
	resp, err := readyClient.Get("http://" + v.host + ":18220" + platform.ReadyURI)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var readyClient = &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// versionOf returns the version of a build, as in its start line.
func versionOf(t *testing.T, binary string) string {
	out, err := exec.Command(binary, "version").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return strings.TrimSpace(string(out))
}

// checkBuilds checks by the logs that the VMs ran the builds in turn, and that no build refused a
// message or record of the other.
func (r *run) checkBuilds() {
	for n, v := range r.vms {
		log, err := os.Open(filepath.Join(r.dir, v.name+".log"))
		require.NoError(r.t, err)
		defer log.Close()
		var builds []string
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct{ Message, Version string }
			if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
				continue // a line that was cut by a kill
			}
			switch {
			case line.Message == "start":
				build := "current"
				if line.Version == r.earlierVersion {
					build = "earlier"
				}
				builds = append(builds, build)
			case strings.HasPrefix(line.Message, "loads: invalid"), strings.HasPrefix(line.Message, "invalid VM record"), strings.HasPrefix(line.Message, "invalid list"), strings.HasPrefix(line.Message, "internal error"):
				r.t.Errorf("%s: %s", v.name, lines.Text())
			}
		}
		require.NoError(r.t, lines.Err())
		want := []string{"earlier", "current"}
		if n < len(r.vms)/2 {
			want = append(want, want...)
		}
		require.Equal(r.t, want, slices.Compact(builds), v.name) // faults start the same build again
	}
}
