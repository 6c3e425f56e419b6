package classes

import (
	"math"
	"sort"
	"time"
)

// share is a decaying count of requests, and of those of them that were served.
type share struct {
	served, offered float64
	cost            float64 // of the served ones, in tokens
	at              time.Duration
}

func (s *share) decay(now, window time.Duration) {
	f := math.Exp(-float64(now-s.at) / float64(window))
	s.served, s.offered, s.cost, s.at = s.served*f, s.offered*f, s.cost*f, now
}

// Arrived counts the first try of a request. A caller that was refused before takes one of
// the returns that are expected, and then leaves less free than its class does: it has kept
// to its Retry-After. Callers that state short deadlines of their own cannot take more than
// were refused.
func (c *Core) Arrived(now time.Duration, r *Request) {
	if r == nil || !r.mayBeReturn {
		return
	}
	s := c.state(r.Service)
	s.decayReturning(now, c.cfg.Window)
	if s.returning[r.Rank] >= 1 {
		s.returning[r.Rank]--
		r.returned = true
	}
}

func (s *state) decayReturning(now, window time.Duration) {
	f := math.Exp(-float64(now-s.returningAt) / float64(2*window))
	s.returningAt = now
	for i := range s.returning {
		s.returning[i] *= f
	}
}

// missWeight returns how much a miss of a request says about the capacity. What the
// reservation itself refuses says nothing: counted fully, it would keep capacity short by
// itself.
func (c *Core) missWeight(now time.Duration, r *Request) float64 {
	return 1 - c.Shortness(now, r.Service)*rankFraction(r)
}

// Missed counts a request without capacity at its first try.
func (c *Core) Missed(now time.Duration, r *Request) {
	if r == nil || r.missed || r.decided {
		return
	}
	r.missed = true
	weight := c.missWeight(now, r)
	s := c.state(r.Service)
	s.decayTries(now, c.cfg.Window)
	s.missed += weight
}

func (s *state) decayTries(now, window time.Duration) {
	f := math.Exp(-float64(now-s.triedAt) / float64(window))
	s.missed, s.tried, s.triedAt = s.missed*f, s.tried*f, now
}

// Started counts a request that got a path with the given predicted time to the first token.
func (c *Core) Started(now time.Duration, r *Request, firstToken time.Duration) {
	if r == nil || r.decided {
		return
	}
	s := c.state(r.Service)
	if r.PromptTokens > 0 && firstToken > 0 {
		f := math.Exp(-float64(now-s.firstTokenAt) / float64(c.cfg.Window))
		s.firstToken = s.firstToken*f + firstToken.Seconds()
		s.firstTokenPrompt = s.firstTokenPrompt*f + r.PromptTokens
		s.firstTokenAt = now
	}
	s.drain.Start(now)
	s.freed.start(now, c.cfg.Window, c.Shortness(now, r.Service) > 0)
	c.count(now, s, r, true)
}

// count adds a decided request to the shares of its kind, team and size class.
func (c *Core) count(now time.Duration, s *state, r *Request, served bool) {
	r.decided = true
	s.decayTries(now, c.cfg.Window)
	s.tried++
	s.bounds.add(r.Tokens)
	add := func(x *share) {
		x.decay(now, c.cfg.Window)
		x.offered++
		if served {
			x.served++
			x.cost += max(1, r.Tokens)
		}
	}
	add(&s.all)
	add(lookUp(s.kinds, r.Route))
	add(&s.sizes[s.bounds.class(r.Tokens)])
	if r.Team == "" {
		return
	}
	s.counted++
	if s.counted%forgetTeamsEvery == 0 || (len(s.teams) >= c.cfg.MaxTeams && s.teams[r.Team] == nil) {
		c.forgetTeams(now, s)
	}
	if len(s.teams) < c.cfg.MaxTeams || s.teams[r.Team] != nil {
		add(lookUp(s.teams, r.Team))
	}
}

func lookUp(m map[string]*share, key string) *share {
	x := m[key]
	if x == nil {
		x = &share{}
		m[key] = x
	}
	return x
}

// idleOffered is the decayed count of requests below which a team is forgotten: two time
// constants after its last single request.
const idleOffered = 0.14

// forgetTeamsEvery is the number of requests after which idle teams are forgotten. Teams that
// stay would lower the fair share of the active ones.
const forgetTeamsEvery = 256

// forgetTeams forgets the teams without recent requests.
func (c *Core) forgetTeams(now time.Duration, s *state) {
	for name, t := range s.teams {
		if t.decay(now, c.cfg.Window); t.offered < idleOffered {
			delete(s.teams, name)
		}
	}
}

// Size classes: the largest tenth of the requests, the fifth below it, and the others.
const (
	ordinarySize = iota
	largeSize
	largestSize
	sizeClasses
)

// sizeSample is the number of recent requests from which the bounds of the size classes are
// computed, anew after each quarter of them.
const sizeSample = 128

// sizeBounds holds the bounds of the size classes.
type sizeBounds struct {
	recent         [sizeSample]float64
	n              int
	large, largest float64 // zero until known
}

func (b *sizeBounds) add(tokens float64) {
	b.recent[b.n%sizeSample] = tokens
	b.n++
	if b.n < sizeSample || b.n%(sizeSample/4) != 0 {
		return
	}
	sorted := b.recent
	sort.Float64s(sorted[:])
	b.large, b.largest = sorted[sizeSample*7/10], sorted[sizeSample*9/10]
}

func (b *sizeBounds) class(tokens float64) int {
	switch {
	case b.largest == 0 || tokens <= b.large:
		return ordinarySize
	case tokens > b.largest:
		return largestSize
	default:
		return largeSize
	}
}
