package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/catkinstair/catkinstair/platform/standin"
)

// fault is one disturbance: it begins at a moment and is over when do returns.
type fault struct {
	at   time.Duration
	name string
	do   func()
}

const (
	faultsPerRun = 7
	faultsUntil  = 7 * time.Second
	longest      = 2500 * time.Millisecond
)

// faults draws what happens in a run. A seed gives the same list each time.
func (r *run) faults() []fault {
	var out []fault
	for range faultsPerRun {
		at := time.Duration(r.rng.Int64N(int64(faultsUntil)))
		span := 200*time.Millisecond + time.Duration(r.rng.Int64N(int64(longest)))
		kinds := []func(time.Duration) fault{r.vmFault, r.serverFault, r.linkFault, r.storeFault}
		f := kinds[r.rng.IntN(len(kinds))](span)
		f.at = at
		f.name = fmt.Sprintf("%v %s for %v", at.Round(time.Millisecond), f.name, span.Round(time.Millisecond))
		out = append(out, f)
	}
	return out
}

func (r *run) vmFault(span time.Duration) fault {
	v := r.vms[r.rng.IntN(len(r.vms))]
	switch r.rng.IntN(5) {
	case 0:
		return fault{name: v.name + " stopped and started", do: func() { v.restart() }}
	case 1:
		return fault{name: v.name + " killed and started", do: func() { v.kill(); time.Sleep(span / 4); v.start() }}
	case 2:
		return fault{name: v.name + " paused", do: func() { v.signal(syscall.SIGSTOP); time.Sleep(span); v.signal(syscall.SIGCONT) }}
	case 3:
		return fault{name: v.name + " told that its settings changed", do: func() { v.signal(syscall.SIGHUP) }}
	default:
		return fault{name: "all VMs killed and started", do: func() {
			for _, v := range r.vms {
				v.kill()
			}
			for _, v := range r.vms {
				v.start()
			}
		}}
	}
}

// restart is a planned stop, as the platform does it.
func (v *vm) restart() {
	v.signal(syscall.SIGTERM)
	if !v.ended(graceBound) {
		v.run.seen.breaks("%s: still there %v after the request to stop", v.name, graceBound)
		v.kill()
	}
	v.start()
}

func (r *run) serverFault(span time.Duration) fault {
	i := r.rng.IntN(enginesPer*len(domains) + replicas)
	dark := r.rng.IntN(2) == 0
	return fault{name: fmt.Sprintf("server %d lost (dark %v), another started", i, dark), do: func() { r.replaceServer(i, dark, span) }}
}

func (r *run) linkFault(span time.Duration) fault {
	var p *proxy
	name := ""
	if n := r.rng.IntN(len(r.vms) + 6); n < len(r.vms) {
		p, name = r.vms[n].toStore, r.vms[n].name+" to the store"
	} else {
		i := r.rng.IntN(len(r.proxies))
		p, name = r.proxies[i], fmt.Sprintf("VMs to server %d", i)
	}
	kind := r.rng.IntN(4)
	do := func() {
		switch kind {
		case 0:
			p.reset()
		default:
			p.set([]link{{}, {delay: 40 * time.Millisecond}, {noBack: true}, {noThere: true, noBack: true}}[kind])
			time.Sleep(span)
			p.set(link{})
		}
	}
	return fault{name: name + ": " + []string{"reset", "delayed", "cut one way", "silent"}[kind], do: do}
}

func (r *run) storeFault(span time.Duration) fault {
	switch r.rng.IntN(3) {
	case 0:
		return fault{name: "store forgets its history", do: r.store.CompactHistory}
	case 1:
		return fault{name: "store refuses", do: func() { r.fail(standin.StoreFaults{Unavailable: true}, span) }}
	default:
		return fault{name: "store loses replies", do: func() { r.fail(standin.StoreFaults{DropReplies: true}, span) }}
	}
}

func (r *run) fail(f standin.StoreFaults, span time.Duration) {
	r.store.SetFaults(f)
	time.Sleep(span)
	r.store.SetFaults(standin.StoreFaults{})
}
