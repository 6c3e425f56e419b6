package membership

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// domainChecks is how many members of a suspect's failure domain are probed to
// tell a dead VM from a cut.
const domainChecks = 2

// accuse notes that a member did not answer this VM, nor the witnesses.
func (m *Membership) accuse(e *entry, witnesses []ident.VM) {
	if e.State > Suspect {
		return
	}
	if e.State == Alive {
		e.accusers = nil
		m.setState(e, Suspect)
	}
	e.accusing = true
	m.confirm(e, append([]ident.VM{m.self.Instance.VM}, witnesses...))
	m.checkDomain(e)
}

// checkDomain probes others of the suspect's failure domain.
func (m *Membership) checkDomain(suspect *entry) {
	domain := suspect.Place.FailureDomain
	if last, ok := m.checked[domain]; ok && m.now-last < m.cfg.ProbePeriod {
		return
	}
	m.checked[domain] = m.now
	others := m.sample(domainChecks, func(e *entry) bool {
		return e != suspect && e.Place.FailureDomain == domain && e.State <= Suspect
	})
	for _, e := range others {
		m.startProbe(e, false)
	}
}

// judgeSuspects ends the suspicions whose time is over. Only those who had no
// answer themselves judge; the others hear of it.
func (m *Membership) judgeSuspects() {
	for _, vm := range m.suspects() {
		e := m.members[vm]
		if !e.accusing || m.now-e.since < m.suspicionTimeout(e) {
			continue
		}
		if m.looksCut(e) {
			m.setState(e, Unreachable)
			continue
		}
		m.setState(e, Gone)
	}
}

// suspicionTimeout shrinks from SuspicionMax to SuspicionMin with the logarithm
// of the confirmations, as in Lifeguard.
func (m *Membership) suspicionTimeout(e *entry) time.Duration {
	confirmations := max(len(e.accusers)-1, 0)
	share := math.Log(float64(confirmations+1)) / math.Log(float64(m.cfg.Confirmations+1))
	span := float64(m.cfg.SuspicionMax - m.cfg.SuspicionMin)
	return m.cfg.SuspicionMax - time.Duration(min(share, 1)*span)
}

// looksCut tells a cut from a dead VM: since the suspicion began nobody at all
// was heard, or nobody else of the suspect's failure domain, though there are
// others.
func (m *Membership) looksCut(suspect *entry) bool {
	heardAny, heardDomain := false, false
	inDomain := 0
	for _, vm := range m.order {
		e := m.members[vm]
		if e == suspect || e.State == Gone {
			continue
		}
		heard := e.contact >= suspect.since
		heardAny = heardAny || heard
		if e.Place.FailureDomain == suspect.Place.FailureDomain {
			inDomain++
			heardDomain = heardDomain || heard
		}
	}
	return !heardAny || inDomain > 0 && !heardDomain
}
