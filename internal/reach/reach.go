package reach

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// Config holds the settings of a Core.
type Config struct {
	// MinServers is how many servers of a service must fail, without a response of any, for
	// this VM to count as cut off; all of them if there are fewer. Default 3.
	MinServers int
	// MaxSilence is how long a service may send nothing, while it runs MinRuns runs or more
	// for this VM, until it is probed. Default 300 ms.
	MaxSilence time.Duration
	// MinRuns is the number of runs whose silence leads to probes. Default 3.
	MinRuns int
	// DoubtDelay is how long after a failure the service is probed if no server of it has
	// responded since. Default 10 ms.
	DoubtDelay time.Duration
	// ProbeTimeout bounds a probe. Default 300 ms.
	ProbeTimeout time.Duration
	// ProbeInterval is the interval of probes while the VM is cut off. Default 250 ms.
	ProbeInterval time.Duration
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MinServers: 3, MaxSilence: 300 * time.Millisecond, MinRuns: 3, DoubtDelay: 10 * time.Millisecond,
		ProbeTimeout: 300 * time.Millisecond, ProbeInterval: 250 * time.Millisecond}
}

// Failure is how a server failed.
type Failure uint8

// The kinds of failures.
const (
	// NoAnswer means that a server was sent something and did not respond. It may have too
	// much to do.
	NoAnswer Failure = iota
	// NoConnection means that no connection could be opened, or that it was reset.
	NoConnection
)

// Core judges the links of one VM. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	services map[string]*service
}

// service is what is known of the links to the servers of one service.
type service struct {
	heardAt time.Duration                // when a server responded last
	failed  map[backend.ID]Failure       // since then
	since   time.Duration                // of the first failure in failed, or of the doubt
	doubted bool                         // a server is late
	probed  map[backend.ID]time.Duration // when probes in progress began
	cutOff  bool
	probeAt time.Duration // of the next probe while cut off
	next    int           // server to probe next while cut off
	servers int           // known ones
}

// New returns a Core that knows no service.
func New(cfg Config) *Core { return &Core{cfg: cfg, services: map[string]*service{}} }

func (c *Core) service(now time.Duration, name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{heardAt: now, failed: map[backend.ID]Failure{}, probed: map[backend.ID]time.Duration{}}
		c.services[name] = s
	}
	return s
}

// CutOff reports whether this VM counts as cut off from the servers of a service.
func (c *Core) CutOff(name string) bool {
	s := c.services[name]
	return s != nil && s.cutOff
}

// Unreachable reports whether the VM is cut off and no connection to any server can be
// opened, so that there is no use in sending a request.
func (c *Core) Unreachable(name string) bool {
	s := c.services[name]
	if s == nil || !s.cutOff {
		return false
	}
	for _, f := range s.failed {
		if f != NoConnection {
			return false
		}
	}
	return true
}

// HeardSince reports whether a server of a service has responded after a time.
func (c *Core) HeardSince(name string, at time.Duration) bool {
	s := c.services[name]
	return s != nil && !s.cutOff && s.heardAt > at
}

// Heard records a response, or a part of one, that arrived at the time at. Only a probe ends
// a cut: a connection may outlive the links that new ones need.
func (c *Core) Heard(at time.Duration, name string) {
	s := c.service(at, name)
	if at > s.heardAt {
		s.heardAt = at
		if !s.cutOff {
			s.reset()
		}
	}
}

func (s *service) reset() {
	clear(s.failed)
	clear(s.probed)
	s.doubted = false
}

// SetServers sets how many servers of a service are known.
func (c *Core) SetServers(now time.Duration, name string, servers int) {
	c.service(now, name).servers = servers
}

// Failed records that a server failed, and reports whether the VM counts as cut off from now
// on.
func (c *Core) Failed(now time.Duration, name string, server backend.ID, how Failure) bool {
	s := c.service(now, name)
	if len(s.failed) == 0 && !s.doubted {
		s.since = now
	}
	s.failed[server] = max(s.failed[server], how)
	if s.cutOff || s.servers == 0 || len(s.failed) < min(c.cfg.MinServers, s.servers) {
		return false
	}
	s.cutOff, s.probeAt = true, now // failures that a pause of the VM has caused are over
	return true
}

// Doubt records that a server is late, which alone does not count as a failure.
func (c *Core) Doubt(now time.Duration, name string) {
	s := c.service(now, name)
	if len(s.failed) == 0 && !s.doubted {
		s.doubted, s.since = true, now
	}
}

// ProbeSucceeded records that a server responded to a probe, and reports whether that ends a
// cut.
func (c *Core) ProbeSucceeded(now time.Duration, name string) bool {
	s := c.service(now, name)
	ended := s.cutOff
	s.cutOff = false
	s.heardAt = max(s.heardAt, now)
	s.reset()
	return ended
}

// ServerAdded makes the next probe of a VM that is cut off due at once: the new server may
// be reachable.
func (c *Core) ServerAdded(now time.Duration, name string) {
	if s := c.services[name]; s != nil {
		s.probeAt = min(s.probeAt, now)
	}
}

// Probes returns the servers of a service to probe now. list returns all of them, in a fixed
// order, and is called only if some may have to be; runs is how many runs of this VM they have
// that have begun to answer.
func (c *Core) Probes(now time.Duration, name string, list func() []backend.ID, runs int) []backend.ID {
	s := c.service(now, name)
	if s.cutOff && now < s.probeAt || !s.cutOff && !c.inDoubt(now, s, runs) {
		return nil
	}
	servers := list()
	s.servers = len(servers)
	switch {
	case len(servers) == 0:
		return nil
	case s.cutOff:
		s.probeAt = now + c.cfg.ProbeInterval
		s.next = (s.next + 1) % len(servers)
		return servers[s.next : s.next+1]
	default:
		return c.unprobed(now, s, servers)
	}
}

func (c *Core) inDoubt(now time.Duration, s *service, runs int) bool {
	if (len(s.failed) > 0 || s.doubted) && now-s.since >= c.cfg.DoubtDelay {
		return true
	}
	return runs >= c.cfg.MinRuns && now-s.heardAt > c.cfg.MaxSilence
}

// unprobed returns servers that have not failed and are not being probed, as many as are
// needed for a verdict, from a different start each time.
func (c *Core) unprobed(now time.Duration, s *service, servers []backend.ID) []backend.ID {
	needed := min(c.cfg.MinServers, len(servers)) - len(s.failed)
	for id, at := range s.probed {
		if now-at > c.cfg.ProbeTimeout {
			delete(s.probed, id)
		} else if _, failed := s.failed[id]; !failed {
			needed--
		}
	}
	var out []backend.ID
	for i := 0; i < len(servers) && len(out) < needed; i++ {
		s.next = (s.next + 1) % len(servers)
		id := servers[s.next]
		_, failed := s.failed[id]
		_, probed := s.probed[id]
		if failed || probed {
			continue
		}
		s.probed[id] = now
		out = append(out, id)
	}
	return out
}

// Forget drops the services for which keep returns false.
func (c *Core) Forget(keep func(name string) bool) {
	for name := range c.services {
		if !keep(name) {
			delete(c.services, name)
		}
	}
}
