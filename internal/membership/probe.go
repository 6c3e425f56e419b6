package membership

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// probe is one attempt to reach a member: first directly, then over a new connection and
// through helpers.
type probe struct {
	vm          ident.VM
	incarnation ident.Incarnation
	// widened is set once the probe uses a new connection; no further attempt follows.
	widened bool
	// pending counts the calls without an outcome, helpers the helpers asked.
	pending int
	helpers int
	// answeredHelpers counts the helpers that answered, with any result.
	answeredHelpers int
	// confirmers are the helpers that got no answer from the member either.
	confirmers []ident.VM
}

// startDueProbes probes the next peer every ProbePeriod and each suspect every
// ReprobePeriod.
func (m *Membership) startDueProbes() {
	for _, vm := range m.suspects() {
		e := m.members[vm]
		if m.now >= e.reprobeAt && (e.suspectedHere || m.isPeer(vm) || m.suspicionOverdue(e)) {
			m.startProbe(e, true)
		}
	}
	if m.now < m.nextProbe {
		return
	}
	m.nextProbe += m.cfg.ProbePeriod
	if m.nextProbe <= m.now {
		m.nextProbe = m.now + m.cfg.ProbePeriod
	}
	if e := m.nextProbeTarget(); e != nil {
		m.startProbe(e, false)
	}
}

// suspects lists the suspect members.
func (m *Membership) suspects() []ident.VM {
	if m.stateCounts[Suspect] == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.order), func(vm ident.VM) bool {
		return m.members[vm].State != Suspect
	})
}

// suspicionOverdue reports whether a suspicion has lasted longer than SuspicionMax. The
// VMs that raised it have then presumably ended without resolving it.
func (m *Membership) suspicionOverdue(e *memberEntry) bool {
	return m.now-e.stateSince > m.cfg.SuspicionMax
}

// startProbe starts a probe of a member unless one is in flight. With newConnection the
// probe uses a new connection and no helpers.
func (m *Membership) startProbe(e *memberEntry, newConnection bool) {
	vm := e.Instance.VM
	if slices.ContainsFunc(m.probes, func(p *probe) bool { return p.vm == vm }) {
		return
	}
	e.reprobeAt = m.now + m.cfg.ReprobePeriod
	p := &probe{vm: vm, incarnation: e.Instance.Incarnation, widened: newConnection, pending: 1}
	m.probes = append(m.probes, p)
	m.ask(e, Message{Kind: Probe}, askOptions{newConnection: newConnection, call: call{probe: p}})
}

// probeAnswered processes the outcome of one of a probe's calls.
func (m *Membership) probeAnswered(c *call, ev Answer) {
	p := c.probe
	if !slices.Contains(m.probes, p) {
		return
	}
	p.pending--
	if c.indirect {
		m.helperAnswered(p, c, ev)
	} else if ev.OK {
		m.probeSucceeded(p)
	}
	if p.pending > 0 || !slices.Contains(m.probes, p) {
		return
	}
	if !p.widened {
		m.widenProbe(p)
		return
	}
	m.probeFailed(p)
}

func (m *Membership) helperAnswered(p *probe, c *call, ev Answer) {
	if !ev.OK {
		return
	}
	p.answeredHelpers++
	if ev.Message.Failed {
		p.confirmers = append(p.confirmers, c.vm)
		return
	}
	m.recordContact(p.vm)
	m.probeSucceeded(p)
}

// probeSucceeded ends a probe whose target was reached.
func (m *Membership) probeSucceeded(p *probe) {
	m.endProbe(p)
	m.improveHealth()
}

func (m *Membership) endProbe(p *probe) {
	m.probes = slices.DeleteFunc(m.probes, func(o *probe) bool { return o == p })
}

// widenProbe retries over a new connection, because the old one may be dead, and through
// helpers, because the target may be unreachable only from this VM.
func (m *Membership) widenProbe(p *probe) {
	p.widened = true
	e, ok := m.members[p.vm]
	if !ok || e.Instance.Incarnation != p.incarnation {
		m.endProbe(p)
		return
	}
	timeout := 2 * m.probeTimeout()
	p.pending = 1
	m.ask(e, Message{Kind: Probe}, askOptions{newConnection: true, timeout: timeout, call: call{probe: p}})
	for _, h := range m.pickHelpers(e) {
		p.pending++
		p.helpers++
		msg := Message{Kind: IndirectProbe, TargetAddr: e.ControlAddr, TargetVM: p.vm}
		m.ask(h, msg, askOptions{timeout: timeout, call: call{probe: p, indirect: true}})
	}
}

// pickHelpers returns up to Helpers random alive peers. Connections to peers are already
// open.
func (m *Membership) pickHelpers(target *memberEntry) []*memberEntry {
	peers := slices.DeleteFunc(m.reachablePeers(), func(e *memberEntry) bool {
		return e == target || e.State != Alive
	})
	m.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(m.cfg.Helpers, len(peers))]
}

func (m *Membership) probeFailed(p *probe) {
	m.endProbe(p)
	if p.helpers > 0 && p.answeredHelpers == 0 {
		m.degradeHealth()
	}
	e, ok := m.members[p.vm]
	if !ok || e.Instance.Incarnation != p.incarnation {
		return
	}
	m.raiseSuspicion(e, p.confirmers)
}

// probeUnreachable probes one random unreachable member every unreachableProbePeriod.
func (m *Membership) probeUnreachable() {
	if m.now < m.nextUnreachableProbe || m.stateCounts[Unreachable] == 0 {
		return
	}
	unreachable := m.sample(1, func(e *memberEntry) bool { return e.State == Unreachable })
	if len(unreachable) == 0 {
		return
	}
	m.nextUnreachableProbe = m.now + m.unreachableProbePeriod(unreachable[0])
	m.startProbe(unreachable[0], true)
}

// unreachableProbePeriod returns TickPeriod if a member of e's failure domain recovered
// within the last ProbePeriod, since the partition has then probably healed, and
// ProbePeriod otherwise.
func (m *Membership) unreachableProbePeriod(e *memberEntry) time.Duration {
	for _, vm := range m.order {
		o := m.members[vm]
		recovered := o.State == Alive && o.lastContact >= 0 && m.now-o.lastContact < m.cfg.ProbePeriod && o.stateSince > e.stateSince
		if recovered && o.Place.FailureDomain == e.Place.FailureDomain {
			return TickPeriod
		}
	}
	return m.cfg.ProbePeriod
}
