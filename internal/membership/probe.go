package membership

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// probe is one attempt to get a sign of life from a member: first directly,
// then over a new connection and through helpers.
type probe struct {
	vm          ident.VM
	incarnation ident.Incarnation
	wide        bool
	// waiting counts calls without an outcome.
	waiting int
	helpers int
	// heardHelpers counts the helpers that answered at all.
	heardHelpers int
	// witnesses are the helpers that had no answer from the member either.
	witnesses []ident.VM
}

// probeNext probes the next peer each period, and suspects more often.
func (m *Membership) probeNext() {
	for _, vm := range m.suspects() {
		e := m.members[vm]
		if m.now >= e.reprobe && (e.accusing || m.isPeer(vm) || m.orphaned(e)) {
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
	if e := m.nextPeer(); e != nil {
		m.startProbe(e, false)
	}
}

// suspects lists the suspect members.
func (m *Membership) suspects() []ident.VM {
	if m.count[Suspect] == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.order), func(vm ident.VM) bool {
		return m.members[vm].State != Suspect
	})
}

// orphaned reports whether a suspicion outlived those who raised it.
func (m *Membership) orphaned(e *entry) bool {
	return m.now-e.since > m.cfg.SuspicionMax
}

// startProbe begins a probe unless one is under way. A suspect is probed over a
// new connection and without helpers.
func (m *Membership) startProbe(e *entry, fresh bool) {
	vm := e.Instance.VM
	if slices.ContainsFunc(m.probes, func(p *probe) bool { return p.vm == vm }) {
		return
	}
	e.reprobe = m.now + m.cfg.ReprobePeriod
	p := &probe{vm: vm, incarnation: e.Instance.Incarnation, wide: fresh, waiting: 1}
	m.probes = append(m.probes, p)
	m.ask(e, Message{Kind: Probe}, askOptions{fresh: fresh, call: call{probe: p}})
}

// probeAnswered takes the outcome of one of a probe's calls.
func (m *Membership) probeAnswered(c *call, ev Answer) {
	p := c.probe
	if !slices.Contains(m.probes, p) {
		return
	}
	p.waiting--
	if c.helper {
		m.helperAnswered(p, c, ev)
	} else if ev.OK {
		m.probeDone(p)
	}
	if p.waiting > 0 || !slices.Contains(m.probes, p) {
		return
	}
	if !p.wide {
		m.widen(p)
		return
	}
	m.probeFailed(p)
}

func (m *Membership) helperAnswered(p *probe, c *call, ev Answer) {
	if !ev.OK {
		return
	}
	p.heardHelpers++
	if ev.Message.Failed {
		p.witnesses = append(p.witnesses, c.vm)
		return
	}
	m.contact(p.vm)
	m.probeDone(p)
}

// probeDone ends a probe that had a sign of life.
func (m *Membership) probeDone(p *probe) {
	m.endProbe(p)
	m.trust()
}

func (m *Membership) endProbe(p *probe) {
	m.probes = slices.DeleteFunc(m.probes, func(o *probe) bool { return o == p })
}

// widen tries a new connection, since the old one may have gone silent, and
// helpers, since the way may be cut from here only.
func (m *Membership) widen(p *probe) {
	p.wide = true
	e, ok := m.members[p.vm]
	if !ok || e.Instance.Incarnation != p.incarnation {
		m.endProbe(p)
		return
	}
	timeout := 2 * m.probeTimeout()
	p.waiting = 1
	m.ask(e, Message{Kind: Probe}, askOptions{fresh: true, timeout: timeout, call: call{probe: p}})
	for _, h := range m.pickHelpers(e) {
		p.waiting++
		p.helpers++
		msg := Message{Kind: IndirectProbe, Target: e.ControlAddr, TargetVM: p.vm}
		m.ask(h, msg, askOptions{timeout: timeout, call: call{probe: p, helper: true}})
	}
}

// pickHelpers draws helpers from the peers, so that no new connections are
// needed.
func (m *Membership) pickHelpers(target *entry) []*entry {
	peers := slices.DeleteFunc(m.reachablePeers(), func(e *entry) bool {
		return e == target || e.State != Alive
	})
	m.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(m.cfg.Helpers, len(peers))]
}

func (m *Membership) probeFailed(p *probe) {
	m.endProbe(p)
	if p.helpers > 0 && p.heardHelpers == 0 {
		m.doubt()
	}
	e, ok := m.members[p.vm]
	if !ok || e.Instance.Incarnation != p.incarnation {
		return
	}
	m.accuse(e, p.witnesses)
}

// heal probes unreachable members one at a time. A member that answers refutes,
// and the next one is probed at once.
func (m *Membership) heal() {
	if m.now < m.nextHeal || m.count[Unreachable] == 0 {
		return
	}
	behind := m.sample(1, func(e *entry) bool { return e.State == Unreachable })
	if len(behind) == 0 {
		return
	}
	m.nextHeal = m.now + m.healPeriod(behind[0])
	m.startProbe(behind[0], true)
}

// healPeriod is short while members of the same failure domain come back.
func (m *Membership) healPeriod(e *entry) time.Duration {
	for _, vm := range m.order {
		o := m.members[vm]
		back := o.State == Alive && o.contact >= 0 && m.now-o.contact < m.cfg.ProbePeriod && o.since > e.since
		if back && o.Place.FailureDomain == e.Place.FailureDomain {
			return TickPeriod
		}
	}
	return m.cfg.ProbePeriod
}
