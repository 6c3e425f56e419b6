package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

// fault is one fault to inject. It has ended when inject returns.
type fault struct {
	at     time.Duration // time from the call of injectFaults to the start of the fault
	name   string
	inject func()
}

const (
	faultsPerRun     = 7
	partitionsPerRun = 2
	leavingPerRun    = 3
	faultWindow      = 7 * time.Second
	maxExtraDuration = 2500 * time.Millisecond
)

// drawFaults draws the faults of a run at random; the same seed gives the same list.
func (r *run) drawFaults() []fault {
	var out []fault
	for range faultsPerRun {
		at := time.Duration(r.rng.Int64N(int64(faultWindow)))
		duration := 200*time.Millisecond + time.Duration(r.rng.Int64N(int64(maxExtraDuration)))
		kinds := []func(time.Duration) fault{r.vmFault, r.serverFault, r.linkFault, r.storeFault}
		out = append(out, r.drawn(kinds[r.rng.IntN(len(kinds))], at, duration))
	}
	for range partitionsPerRun { // drawn last, so that the others of a seed stay the same
		at := time.Duration(r.rng.Int64N(int64(faultWindow)))
		duration := 200*time.Millisecond + time.Duration(r.rng.Int64N(int64(maxExtraDuration)))
		out = append(out, r.drawn(r.partitionFault, at, duration))
	}
	at := time.Duration(r.rng.Int64N(int64(faultWindow)))
	out = append(out, r.drawn(r.changeDuringCutFault, at, time.Second))
	for range leavingPerRun {
		at := time.Duration(r.rng.Int64N(int64(faultWindow)))
		out = append(out, r.drawn(r.leavingFault, at, leavingTime))
	}
	return out
}

func (r *run) drawn(kind func(time.Duration) fault, at, duration time.Duration) fault {
	f := kind(duration)
	f.at = at
	f.name = fmt.Sprintf("%v %s for %v", at.Round(time.Millisecond), f.name, duration.Round(time.Millisecond))
	return f
}

func (r *run) vmFault(duration time.Duration) fault {
	v := r.vms[r.rng.IntN(len(r.vms))]
	switch r.rng.IntN(5) {
	case 0:
		return fault{name: v.name + " stopped and started", inject: func() { v.restart() }}
	case 1:
		return fault{name: v.name + " killed and started", inject: func() { defer v.beginReplacing()(); v.kill(); time.Sleep(duration / 4); v.start() }}
	case 2:
		return fault{name: v.name + " paused", inject: func() { v.signal(syscall.SIGSTOP); time.Sleep(duration); v.signal(syscall.SIGCONT) }}
	case 3:
		return fault{name: v.name + " gets SIGHUP to reload its settings", inject: func() { v.signal(syscall.SIGHUP) }}
	default:
		return fault{name: "all VMs killed and started", inject: func() {
			for _, v := range r.vms {
				defer v.beginReplacing()()
			}
			for _, v := range r.vms {
				v.kill()
			}
			r.mu.Lock()
			r.killsOfAll = append(r.killsOfAll, time.Now())
			r.mu.Unlock()
			for _, v := range r.vms {
				v.start()
			}
		}}
	}
}

// beginReplacing waits until no other replacement of the process is in progress, where that is
// asked for, and returns a function that ends this one.
func (v *vm) beginReplacing() (end func()) {
	if v.replacing == nil {
		return func() {}
	}
	v.replacing.Lock()
	return v.replacing.Unlock
}

// restart stops the process with SIGTERM, as the platform does, and starts it again.
func (v *vm) restart() {
	defer v.beginReplacing()()
	v.stopAndStart()
}

func (v *vm) stopAndStart() {
	v.signal(syscall.SIGTERM)
	if !v.waitExit(graceBound) {
		v.run.results.addViolation("%s: still running %v after SIGTERM", v.name, graceBound)
		v.kill()
	}
	v.start()
}

func (r *run) serverFault(duration time.Duration) fault {
	i := r.rng.IntN(enginesPerDomain*len(domains) + replicas)
	switch r.rng.IntN(6) {
	case 0:
		return fault{name: fmt.Sprintf("server %d names a limit", i), inject: func() { r.changeServer(i, duration, limitOn, limitOff) }}
	case 1:
		return fault{name: fmt.Sprintf("server %d asks for pauses", i), inject: func() { r.changeServer(i, duration, pauseOn, pauseOff) }}
	case 2:
		return fault{name: fmt.Sprintf("server %d says it leaves and is replaced", i), inject: func() { r.leaveAndReplace(i, leaving{inResponses: true}) }}
	case 3:
		return fault{name: fmt.Sprintf("server %d dribbles and is replaced", i), inject: func() {
			r.changeServer(i, duration, (*standin.Server).Dribble, func(*standin.Server) {})
			r.replaceServer(i, false, duration)
		}}
	default:
		silent := r.rng.IntN(2) == 0
		return fault{name: fmt.Sprintf("server %d lost (silent %v) and replaced", i, silent), inject: func() { r.replaceServer(i, silent, duration) }}
	}
}

func limitOn(s *standin.Server)  { s.NameLimit("3.5") }
func limitOff(s *standin.Server) { s.NameLimit("") }
func pauseOn(s *standin.Server)  { s.RefuseFor("0.4") }
func pauseOff(s *standin.Server) { s.RefuseFor("") }

// changeServer changes a server for a time.
func (r *run) changeServer(i int, duration time.Duration, on, off func(*standin.Server)) {
	r.mu.Lock()
	s := r.servers[i]
	r.mu.Unlock()
	on(s)
	time.Sleep(duration)
	off(s)
}

func (r *run) linkFault(duration time.Duration) fault {
	var p *proxy
	name := ""
	if n := r.rng.IntN(len(r.vms) + 6); n < len(r.vms) {
		p, name = r.vms[n].storeProxy, r.vms[n].name+" to the store"
	} else {
		i := r.rng.IntN(len(r.proxies))
		p, name = r.proxies[i], fmt.Sprintf("VMs to server %d", i)
	}
	kind := r.rng.IntN(4)
	inject := func() {
		defer r.recordHarm(harm{server: p.addr, from: time.Now()})
		switch kind {
		case 0:
			p.resetConns()
		default:
			p.setLink([]linkState{{}, {delay: 40 * time.Millisecond}, {holdToClient: true}, {holdToTarget: true, holdToClient: true}}[kind])
			time.Sleep(duration)
			p.setLink(linkState{})
		}
	}
	return fault{name: name + ": " + []string{"reset", "delayed", "blocked in one direction", "silent"}[kind], inject: inject}
}

// partitionFault cuts some VMs, but not all, off from all servers.
func (r *run) partitionFault(duration time.Duration) fault {
	first, count := r.rng.IntN(len(r.vms)), 1+r.rng.IntN(len(r.vms)-1)
	kind := r.rng.IntN(3)
	inject := func() {
		for i := range count {
			defer r.recordHarm(harm{vm: r.vms[(first+i)%len(r.vms)].host, from: time.Now()})
		}
		r.setLinks(first, count, []standin.Link{standin.LinkSilent, standin.LinkReset, standin.LinkRefuse}[kind])
		time.Sleep(2 * duration)
		r.setLinks(first, count, standin.LinkUp)
	}
	return fault{name: fmt.Sprintf("%d VMs from %s on cut off from all servers (%s, twice the time)", count, r.vms[first].name, []string{"silent", "reset", "refused"}[kind]), inject: inject}
}

func (r *run) setLinks(first, count int, link standin.Link) {
	for i := range count {
		r.backends.SetLink(r.vms[(first+i)%len(r.vms)].host, link)
	}
}

func (r *run) storeFault(duration time.Duration) fault {
	switch r.rng.IntN(4) {
	case 3:
		return fault{name: "store goes back", inject: func() { r.goBack(duration) }}
	case 0:
		return fault{name: "store compacts its history", inject: r.store.CompactHistory}
	case 1:
		return fault{name: "store refuses calls", inject: func() { r.injectStoreFaults(standin.StoreFaults{Unavailable: true}, duration) }}
	default:
		return fault{name: "store loses replies", inject: func() { r.injectStoreFaults(standin.StoreFaults{DropReplies: true}, duration) }}
	}
}

// changeDuringCutFault writes a configuration while some VMs are cut off from the store, and then
// drops the history, so that those VMs and all that follow them have to read everything again.
func (r *run) changeDuringCutFault(duration time.Duration) fault {
	first, count := r.rng.IntN(len(r.vms)), 1+r.rng.IntN(len(r.vms)-1)
	setLinks := func(l linkState) {
		for i := range count {
			r.vms[(first+i)%len(r.vms)].storeProxy.setLink(l)
		}
	}
	inject := func() {
		setLinks(linkState{holdToTarget: true, holdToClient: true})
		time.Sleep(duration / 2)
		r.putConfig(versionDuringCut, []string{routeDuringCut})
		r.store.CompactHistory()
		time.Sleep(duration / 2)
		setLinks(linkState{})
	}
	return fault{name: fmt.Sprintf("%d VMs from %s on cut off from the store; a configuration is written and the history dropped", count, r.vms[first].name), inject: inject}
}

// goBack makes the store unavailable for a moment and come back from a copy of the state
// before it, as old as duration. Servers and the operator write again what they wrote.
func (r *run) goBack(duration time.Duration) {
	older := r.store.Copy()
	time.Sleep(duration)
	r.store.SetFaults(standin.StoreFaults{Unavailable: true})
	time.Sleep(duration / 4)
	r.store.GoBack(older)
	r.store.SetFaults(standin.StoreFaults{})
	time.Sleep(heartbeat / 4)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.Register()
	}
	for _, id := range r.removedServers {
		r.store.Put(platform.ServersPrefix+id, nil)
	}
	r.store.Put(platform.ConfigKey, r.config)
}

func (r *run) injectStoreFaults(f standin.StoreFaults, duration time.Duration) {
	r.store.SetFaults(f)
	time.Sleep(duration)
	r.store.SetFaults(standin.StoreFaults{})
}
