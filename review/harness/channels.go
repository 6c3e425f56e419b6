//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/catkinstair/catkinstair/platform"
)

func init() { cases["channels"] = playChannels }

// openFiles returns the number of descriptors of a process.
func openFiles(pid int) int {
	d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return -1
	}
	return len(d)
}

// playChannels: users of a small deployment, each with a channel of its own that it leaves
// open, while five of the six machines are lost.
func playChannels(f *Fleet, rec *Recorder, trouble bool) (bool, error) {
	answer := func(string, *http.Request) Outcome {
		return Outcome{Status: http.StatusOK, Ran: true, Body: "12 in stock", Work: 5 * time.Millisecond}
	}
	for i, zone := range zones {
		if _, err := f.StartReplica(fmt.Sprintf("i-desk-%d", i+1), "ordrebok", zone, answer); err != nil {
			return false, err
		}
	}
	f.Manifest(1, []map[string]any{PlainRoute("stock", "/stock/", "idempotent", "ordrebok", 2, 1500)}, []map[string]any{PlainService("ordrebok", 96)})
	if err := f.StartVMs(6, func(vm *VM) { vm.MaxFds = 4200 }); err != nil {
		return false, err
	}
	if err := f.AwaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	left := f.VMs[0]
	alive := f.VMs
	if trouble {
		for _, vm := range f.VMs[1:] {
			f.Signal(vm, syscall.SIGKILL)
		}
		alive = f.VMs[:1]
		rec.Printf("disruption: five of six machines are lost")
	}
	var mu sync.Mutex
	var open []net.Conn
	var wg sync.WaitGroup
	var served, failed atomic.Int64
	const perSecond, seconds = 97, 60
	tick := time.NewTicker(time.Second / perSecond)
	for i := range perSecond * seconds {
		<-tick.C
		id := fmt.Sprintf("c%015x", i+1)
		vm := alive[i%len(alive)]
		wg.Go(func() {
			rep, c := Send(vm.Callers, "GET", "/stock/gloves", id, f.key, 1500*time.Millisecond, true)
			if rep.Status == http.StatusOK {
				served.Add(1)
			} else if failed.Add(1) <= 20 {
				rec.Printf("%s: to %s: %d %v", id, vm.Name, rep.Status, rep.Err)
			}
			if c != nil {
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
			}
		})
		if i%(5*perSecond) == 0 {
			rec.Printf("users so far %d: served %d, not served %d; %s has %d descriptors", i, served.Load(), failed.Load(), left.Name, openFiles(left.cmd.Process.Pid))
		}
	}
	tick.Stop()
	wg.Wait()
	for _, c := range open {
		_ = c.Close()
	}
	rec.Printf("all users have left: served %d, not served %d", served.Load(), failed.Load())
	// 5 s for a choked machine, and contactMs, without any disruption or load.
	time.Sleep(8 * time.Second)
	rec.Printf("8 s later %s has %d descriptors and runs: %v", left.Name, openFiles(left.cmd.Process.Pid), left.Alive())
	ready, err := readyOnKeptChannel(left)
	rec.Printf("ready: %v %v", ready, err)
	var ok atomic.Int64
	begun := time.Now()
	for i := range 12 { // twelve consumers try, over 4 s
		id := fmt.Sprintf("d%015x", i+1)
		wg.Go(func() {
			rep, _ := Send(left.Callers, "GET", "/stock/gloves", id, f.key, 3*time.Second, false)
			rec.Printf("%s: new channel to %s: %d %v", id, left.Name, rep.Status, rep.Err)
			if rep.Status != 0 {
				ok.Add(1)
			}
		})
		time.Sleep(333 * time.Millisecond)
	}
	wg.Wait()
	status, _, rerr := get(left.Ready, platform.ReadyURI)
	rec.Printf("ready on a new channel: %d %v; %.1f s passed", status, rerr, time.Since(begun).Seconds())
	rec.Printf("of 12 consumers on new channels %d were answered", ok.Load())
	if lines, err := os.ReadFile(f.dir + "/" + left.Name + ".log"); err == nil {
		for line := range strings.SplitSeq(string(lines), "\n") {
			if strings.Contains(line, "accept") || strings.Contains(line, "server for requests stopped") {
				rec.Printf("log of %s: %.300s", left.Name, line)
			}
		}
	}
	return left.Alive() && (ready || status == http.StatusOK) && ok.Load() == 0, nil
}

// readyOnKeptChannel asks for readiness as the platform does.
func readyOnKeptChannel(vm *VM) (bool, error) {
	status, _, err := get(vm.Ready, platform.ReadyURI)
	return status == http.StatusOK, err
}
