package classes

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/admission"
	"github.com/catkinstair/catkinstair/internal/routes"
)

// Request is a caller's request to a service with several classes.
type Request struct {
	ID, Service, Route, Team string
	// Rank is the class of the request, 0 for the most urgent of Classes.
	Rank, Classes int
	// PromptTokens and Tokens are the predicted sizes of the prompt, and of prompt and answer
	// together; zero for plain services.
	PromptTokens, Tokens float64
	// ArrivedAt is the process time of its arrival, and Deadline that of its deadline.
	// Objective is the time to the first event that its route aims at, zero for none.
	ArrivedAt, Objective, Deadline time.Duration

	mayBeReturn bool // its caller may have been refused before
	returned    bool // counted as a caller that comes back
	decided     bool // counted as served or refused
	missed      bool // counted as without capacity at its first try
}

// state is what a VM has seen of one service.
type state struct {
	all     share
	kinds   map[string]*share
	teams   map[string]*share
	counted int // requests with a team
	sizes   [sizeClasses]share
	bounds  sizeBounds

	missed, tried float64 // decaying counts of first tries, weighted by Core.missWeight
	triedAt       time.Duration
	used          float64 // used share of the fleet's capacity, as last observed

	freed       freedRate
	promises    promises
	returning   []float64 // by rank: refused callers that may come back, decaying
	returningAt time.Duration

	firstToken       float64 // decaying sum of predicted times to the first token, in seconds
	firstTokenPrompt float64 // decaying sum of the prompt tokens of the same requests
	firstTokenAt     time.Duration

	drain admission.DrainRate
}

// Core holds the classes of one VM. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	byService map[string]serviceClasses
	states    map[string]*state
	queue     waitQueue
}

// New returns a Core without a configuration.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, byService: map[string]serviceClasses{}, states: map[string]*state{}}
}

// Apply replaces the classes by those of a configuration and returns its invalid values.
func (c *Core) Apply(cfg *routes.Config) []Correction {
	var corrections []Correction
	c.byService, corrections = classesOf(cfg)
	names := map[string]bool{}
	for i := range cfg.Routes {
		names[cfg.Routes[i].Name] = true
	}
	for service, s := range c.states {
		if len(c.byService[service].priorities) < 2 {
			delete(c.states, service)
			continue
		}
		for name := range s.kinds {
			if !names[name] {
				delete(s.kinds, name)
			}
		}
	}
	return corrections
}

func (c *Core) state(service string) *state {
	s := c.states[service]
	if s == nil {
		s = &state{kinds: map[string]*share{}, teams: map[string]*share{}, returning: make([]float64, maxPriority+1)}
		c.states[service] = s
	}
	return s
}

// Observe records the used share of the fleet's usable capacity of a service, at the layers
// with the least left.
func (c *Core) Observe(service string, used float64) { c.state(service).used = used }

// Shortness returns how short the capacity of a service is: 0 if there is plenty, 1 if there
// is none. It is the larger of what the estimated load of the fleet and the VM's own misses
// say: loads may be unknown, and a VM that is cut off from others judges by its own requests.
func (c *Core) Shortness(now time.Duration, service string) float64 {
	s := c.states[service]
	if s == nil {
		return 0
	}
	byLoad := (s.used - c.cfg.ShortFrom) / (c.cfg.ShortAt - c.cfg.ShortFrom)
	byMisses := 0.0
	if s.tried > 0 {
		// The count of tries is kept above MinOffered, so that one miss of few requests does
		// not make capacity short.
		f := math.Exp(-float64(now-s.triedAt) / float64(c.cfg.Window))
		byMisses = s.missed * f / max(s.tried*f, c.cfg.MinOffered) / c.cfg.MissesAtShort
	}
	return min(1, max(0, byLoad, byMisses))
}

// Share returns the share, 0 to 1, of a server's usable KV cache and slots that a request may
// use. Requests that have begun and those of services with one class may use all.
func (c *Core) Share(now time.Duration, r *Request, begun bool) float64 {
	if r == nil || begun {
		return 1
	}
	short := c.Shortness(now, r.Service)
	if short == 0 {
		return 1
	}
	reserve := c.cfg.MoveReserve
	if !c.belowFloor(now, r) {
		byClass := c.cfg.ClassReserve * rankFraction(r)
		if r.returned {
			byClass *= c.cfg.ReturnReserve
		}
		reserve += byClass
		if c.teamExcess(now, r) > c.cfg.TeamExcess {
			reserve += c.cfg.TeamReserve
		}
	}
	return 1 - short*reserve
}

func rankFraction(r *Request) float64 { return float64(r.Rank) / float64(max(1, r.Classes-1)) }

// belowFloor reports whether the kind, team or size class of a request has been served less
// often than its floor.
func (c *Core) belowFloor(now time.Duration, r *Request) bool {
	s := c.state(r.Service)
	s.all.decay(now, c.cfg.Window)
	if s.all.offered < c.cfg.MinOffered {
		return false
	}
	floor := c.cfg.FloorShare * s.all.served / s.all.offered
	below := func(x *share) bool {
		if x == nil {
			return false
		}
		x.decay(now, c.cfg.Window)
		return x.offered >= c.cfg.MinOffered && x.served < floor*x.offered
	}
	if below(s.kinds[r.Route]) || below(s.teams[r.Team]) {
		return true
	}
	class := s.bounds.class(r.Tokens)
	return class != ordinarySize && below(&s.sizes[class])
}

// teamExcess returns the recently served tokens of a request's team as a multiple of the mean
// of the teams with recent requests.
func (c *Core) teamExcess(now time.Duration, r *Request) float64 {
	s := c.state(r.Service)
	t := s.teams[r.Team]
	if t == nil || r.Team == "" {
		return 0
	}
	t.decay(now, c.cfg.Window)
	s.all.decay(now, c.cfg.Window)
	if s.all.cost <= 0 || t.served < c.cfg.MinOffered {
		return 0
	}
	return t.cost / (s.all.cost / float64(len(s.teams)))
}

// Urgency returns the urgency of a request for its servers, 0 to 9 with 0 first. Each class
// has a band of its own; within it, resumed streams come first, then by the remaining slack.
// With more than five classes a band has no room for that, and resumed streams share the
// value of the next more urgent class.
func (c *Core) Urgency(now time.Duration, r *Request, resumed bool) int {
	const levels = 10
	width := levels / r.Classes
	first := r.Rank * levels / r.Classes
	switch {
	case resumed && width > 1:
		return first
	case resumed:
		return max(0, first-1)
	case width == 1:
		return first
	}
	left := 1.0
	if r.Objective > 0 {
		left = min(1, max(0, float64(c.Slack(now, r))/float64(r.Objective)))
	}
	return first + 1 + int(left*float64(width-2)+0.5)
}

// Slack returns how long a request may still wait to meet its objective: the objective less
// the predicted time to the first token and the time since its arrival.
func (c *Core) Slack(now time.Duration, r *Request) time.Duration {
	waited := now - r.ArrivedAt
	s := c.state(r.Service)
	slack := c.cfg.UnknownWait - waited
	if r.Objective > 0 && (r.PromptTokens == 0 || s.firstTokenPrompt > 0) {
		predicted := 0.0
		if r.PromptTokens > 0 {
			predicted = s.firstToken / s.firstTokenPrompt * r.PromptTokens
		}
		slack = r.Objective - time.Duration(predicted*float64(time.Second)) - waited
	}
	return min(slack, r.Deadline-now, c.cfg.MaxWait-waited)
}

// fraction returns a pseudo-random number in [0, 1), fixed for a request ID.
func fraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// Teams returns the number of teams of a service with statistics of their own.
func (c *Core) Teams(service string) int { return len(c.state(service).teams) }
