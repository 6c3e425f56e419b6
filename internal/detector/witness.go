package detector

import (
	"slices"
	"time"
)

// witnessTry is a try in progress to a possible witness.
type witnessTry struct {
	server Server
	at     time.Duration
}

// maxWitnesses bounds Config.WitnessTries.
const maxWitnesses = 8

func (c *Core) witnessTried(now time.Duration, chk *check, id uint64, outcome Outcome) {
	asked := chk.witnessTries[id]
	delete(chk.witnessTries, id)
	if outcome == Opened {
		chk.witness = asked.server.ID
		return
	}
	if outcome == Inconclusive || outcome == Unanswered && c.isLate(now, asked.at) {
		return
	}
	if s := c.state(now, asked.server.Instance); s != nil {
		s.badWitness, s.badWitnessAt = true, now
	}
}

// awaitWitness ends a check with result once it has a witness.
func (c *Core) awaitWitness(now time.Duration, chk *check, result Result, a *Actions) {
	if chk.witness != "" {
		chk.result, chk.done = result, true
		return
	}
	if next := chk.witnessAskedAt + c.cfg.TryInterval; len(chk.witnessTries) > 0 && now < next {
		a.wakeAt(next)
		return
	}
	// A witness whose packet was lost would hold the verdict up for AnswerTimeout.
	if !c.askWitness(now, chk, a) && len(chk.witnessTries) == 0 {
		chk.result, chk.done = Unwitnessed, true
	}
}

// askWitness tries another server, which is to be the witness. It reports false if none is
// left to ask.
func (c *Core) askWitness(now time.Duration, chk *check, a *Actions) bool {
	if chk.witnessesAsked >= c.cfg.WitnessTries {
		return false
	}
	server, ok := c.pickWitness(now, chk)
	if !ok {
		return false
	}
	chk.askedWitnesses[chk.witnessesAsked] = server.ID
	chk.witnessesAsked++
	if server.Domain == chk.server.Domain {
		chk.sameDomainAsked++
	}
	chk.witnessAskedAt = now
	a.wakeAt(now + c.cfg.TryInterval)
	id := c.nextID(chk)
	chk.witnessTries[id] = witnessTry{server, now}
	a.Tries = append(a.Tries, Try{ID: id, Server: server, Timeout: c.cfg.AnswerTimeout, Witness: true})
	return true
}

// pickWitness draws a server of the same failure domain, later of any. A dark server keeps to
// witnesses of its domain as long as there were two: this VM may be cut off from the domain
// alone.
func (c *Core) pickWitness(now time.Duration, chk *check) (Server, bool) {
	if chk.sameDomainAsked < c.cfg.SameDomainWitnesses {
		if s, ok := c.draw(now, chk, c.byDomain[chk.server.Domain]); ok {
			return s, true
		}
	}
	if chk.refused == 0 && chk.sameDomainAsked >= c.cfg.SameDomainWitnesses {
		return Server{}, false
	}
	return c.draw(now, chk, nil)
}

// draw returns a random server out of the given indices, nil for all, that may be a witness.
// Servers that are being checked themselves come last.
func (c *Core) draw(now time.Duration, chk *check, indices []int) (Server, bool) {
	if s, ok := c.drawFrom(now, chk, indices, false); ok {
		return s, true
	}
	return c.drawFrom(now, chk, indices, true)
}

func (c *Core) drawFrom(now time.Duration, chk *check, indices []int, beingChecked bool) (Server, bool) {
	n := len(indices)
	if indices == nil {
		n = len(c.servers)
	}
	if n == 0 {
		return Server{}, false
	}
	c.random += 0x9e3779b97f4a7c15
	start := int(mix(c.random) % uint64(n))
	for k := range n {
		i := (start + k) % n
		if indices != nil {
			i = indices[i]
		}
		if s := c.servers[i]; c.mayWitness(now, chk, s, beingChecked) {
			return s, true
		}
	}
	return Server{}, false
}

func (c *Core) mayWitness(now time.Duration, chk *check, s Server, beingChecked bool) bool {
	if s.ID == chk.server.ID || slices.Contains(chk.askedWitnesses[:chk.witnessesAsked], s.ID) {
		return false
	}
	if st := c.states[s.Instance]; st != nil && (now < st.lostUntil || st.badWitness && now-st.badWitnessAt < c.cfg.WitnessMemory) {
		return false
	}
	other := c.byID[s.Instance]
	return other == nil || beingChecked && other.refused+other.silent == 0
}
