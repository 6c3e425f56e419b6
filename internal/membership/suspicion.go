package membership

import (
	"math"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// domainProbes is the number of members of a suspect's failure domain that are probed to
// distinguish a dead VM from a network partition.
const domainProbes = 2

// raiseSuspicion marks a member as suspect, or confirms that it is. confirmers are the
// helpers that got no answer from it either.
func (m *Membership) raiseSuspicion(e *memberEntry, confirmers []ident.VM) {
	if e.State > Suspect {
		return
	}
	if e.State == Alive {
		e.confirmers = nil
		m.setState(e, Suspect)
	}
	e.suspectedHere = true
	m.confirm(e, append([]ident.VM{m.self.Instance.VM}, confirmers...))
	m.probeDomain(e)
}

// probeDomain probes other members of the suspect's failure domain, at most once per
// ProbePeriod.
func (m *Membership) probeDomain(suspect *memberEntry) {
	domain := suspect.Place.FailureDomain
	if last, ok := m.domainProbedAt[domain]; ok && m.now-last < m.cfg.ProbePeriod {
		return
	}
	m.domainProbedAt[domain] = m.now
	others := m.sample(domainProbes, func(e *memberEntry) bool {
		return e != suspect && e.Place.FailureDomain == domain && e.State <= Suspect
	})
	for _, e := range others {
		m.startProbe(e, false)
	}
}

// expireSuspicions resolves suspicions that timed out. A VM does this only for members
// that failed its own probes; for others it receives the result by gossip.
func (m *Membership) expireSuspicions() {
	for _, vm := range m.suspects() {
		e := m.members[vm]
		if !e.suspectedHere || m.now-e.stateSince < m.suspicionTimeout(e) {
			continue
		}
		if m.likelyPartitioned(e) {
			m.setState(e, Unreachable)
			continue
		}
		m.setState(e, Gone)
	}
}

// suspicionTimeout returns how long a suspicion lasts. As in Lifeguard, the time decreases
// from SuspicionMax to SuspicionMin with the logarithm of the number of confirmations.
func (m *Membership) suspicionTimeout(e *memberEntry) time.Duration {
	confirmations := max(len(e.confirmers)-1, 0)
	share := math.Log(float64(confirmations+1)) / math.Log(float64(m.cfg.Confirmations+1))
	span := float64(m.cfg.SuspicionMax - m.cfg.SuspicionMin)
	return m.cfg.SuspicionMax - time.Duration(min(share, 1)*span)
}

// likelyPartitioned reports whether a suspect is probably behind a network partition
// instead of dead. That is so if, since the suspicion began, this VM had no contact with
// any other member, or none with the other members of the suspect's failure domain if
// there are any.
func (m *Membership) likelyPartitioned(suspect *memberEntry) bool {
	anyContact, domainContact := false, false
	domainMembers := 0
	for _, vm := range m.order {
		e := m.members[vm]
		if e == suspect || e.State == Gone {
			continue
		}
		contacted := e.lastContact >= suspect.stateSince
		anyContact = anyContact || contacted
		if e.Place.FailureDomain == suspect.Place.FailureDomain {
			domainMembers++
			domainContact = domainContact || contacted
		}
	}
	return !anyContact || domainMembers > 0 && !domainContact
}
