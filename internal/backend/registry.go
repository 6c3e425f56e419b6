package backend

import (
	"sort"
	"time"
)

// Config holds the settings of a Registry.
type Config struct {
	// MissingRecordTTL is how long a server is kept after its record disappeared while the
	// store was unreachable. The platform writes the record again within two seconds once
	// the store is reachable. Default 2.5 s.
	MissingRecordTTL time.Duration
	// Suspicion is how long a backend server is avoided after a failure. It doubles with
	// each consecutive failure. Default 300 ms.
	Suspicion time.Duration
	// MaxSuspicion is the upper bound of the doubled Suspicion. Default 5 s.
	MaxSuspicion time.Duration
	// SlowdownTTL is how long a reported slowdown is valid. Afterwards the server gets
	// requests again, which show whether it is still slow. Default 4 s.
	SlowdownTTL time.Duration
	// MinSlowdownRequestInterval is the minimum time between two requests for a
	// server's slowdown factor; each request is charged. Default 2 s.
	MinSlowdownRequestInterval time.Duration
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MissingRecordTTL: 2500 * time.Millisecond, Suspicion: 300 * time.Millisecond, MaxSuspicion: 5 * time.Second,
		SlowdownTTL: 4 * time.Second, MinSlowdownRequestInterval: 2 * time.Second}
}

// Server is the observed state of one backend server.
type Server struct {
	Record
	// AcceptedOrders is the number of placement orders that this incarnation is known to
	// have accepted.
	AcceptedOrders uint64
	// OwnWork is this VM's work in progress at the server.
	OwnWork Work
	// LastLoadReport is the last load report; its time is 0 if there was none.
	LastLoadReport LoadReport

	leaving             bool // it said so itself; its record may say so later
	consecutiveFailures int
	suspectUntil        time.Duration
	avoidUntil          time.Duration
	slowdown            float64
	slowdownUntil       time.Duration
	nextSlowdownRequest time.Duration // earliest time of the next slowdown request
	// expiresAt is when a server whose record disappeared during a store outage is
	// dropped; 0 if the record is present.
	expiresAt time.Duration
}

// Suspect reports whether requests avoid s at now.
func (s *Server) Suspect(now time.Duration) bool { return s.Failed(now) || now < s.avoidUntil }

// Failed reports whether s may be dead at now: its own failures are too recent. Unlike a
// server that requests only avoid, it does not count as holding its layers.
func (s *Server) Failed(now time.Duration) bool { return now < s.suspectUntil }

// SlowdownFactor returns how many times slower the server is than its accelerator, as
// last reported; 1 if the server is not slow or the report has expired.
func (s *Server) SlowdownFactor(now time.Duration) float64 {
	if now >= s.slowdownUntil {
		return 1
	}
	return s.slowdown
}

// LoadReport is the load that a server reported.
type LoadReport struct {
	At time.Duration
	// Requests is the number of requests that run or wait at the server as first stage.
	// OwnFirstStage is this VM's number of them when the report arrived.
	Requests, OwnFirstStage float64
}

// Work is the work in progress at a backend server.
type Work struct {
	// Streams counts requests. FirstStage counts those whose first stage is this server;
	// its slots limit them.
	Streams, FirstStage float64
	// TokenLayers is the sum of tokens times layers.
	TokenLayers float64
}

// Registry holds one VM's view of all backend servers.
type Registry struct {
	cfg     Config
	servers map[ID]*Server
	byAddr  map[string]ID
	version uint64
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, servers: map[ID]*Server{}, byAddr: map[string]ID{}}
}

// Version increases with each change of a record.
func (reg *Registry) Version() uint64 { return reg.version }

// Len returns the number of backend servers.
func (reg *Registry) Len() int { return len(reg.servers) }

// Get returns the server with the given ID, or nil.
func (reg *Registry) Get(id ID) *Server { return reg.servers[id] }

// ByAddr returns the server at addr, or nil.
func (reg *Registry) ByAddr(addr string) *Server { return reg.servers[reg.byAddr[addr]] }

// Put adds or updates a record and reports whether it starts a new incarnation. A new
// incarnation starts without the work and the failures of the previous one.
func (reg *Registry) Put(r Record) (newIncarnation bool) {
	reg.version++
	if other := reg.ByAddr(r.Addr); other != nil && other.ID != r.ID {
		if other.StartedMs > r.StartedMs {
			return false // outdated record of a server whose address was reused
		}
		reg.drop(other)
	}
	s := reg.servers[r.ID]
	if s == nil || s.StartedMs != r.StartedMs {
		if s != nil {
			reg.removeAddr(s)
		}
		reg.servers[r.ID] = &Server{Record: r}
		reg.byAddr[r.Addr] = r.ID
		return true
	}
	if s.Addr != r.Addr {
		reg.removeAddr(s)
	}
	if s.leaving {
		r.State = Draining
	}
	s.Record, s.expiresAt = r, 0
	reg.byAddr[r.Addr] = r.ID
	return false
}

// Remove removes a record. If the store was unreachable, the record may have expired only
// because it could not be renewed, so the server is kept for MissingRecordTTL.
func (reg *Registry) Remove(now time.Duration, id ID, storeWasUnreachable bool) {
	s := reg.servers[id]
	if s == nil {
		return
	}
	if storeWasUnreachable {
		if s.expiresAt == 0 {
			s.expiresAt = now + reg.cfg.MissingRecordTTL
		}
		return
	}
	reg.drop(s)
}

// KeepOlder keeps a server whose record is in a state of the store that is older than what is
// known. It takes nothing from the record: the server writes a new one soon, and one that is
// not known has gone since.
func (reg *Registry) KeepOlder(r Record) {
	if s := reg.current(r.Instance()); s != nil {
		s.expiresAt = 0
	}
}

// ForgetRevisions makes records count as new whatever their revisions: the store gives
// revisions out again.
func (reg *Registry) ForgetRevisions() {
	for _, s := range reg.servers {
		s.Revision = 0
	}
}

// Expire drops the servers whose records have been missing for MissingRecordTTL.
func (reg *Registry) Expire(now time.Duration) {
	for _, s := range reg.servers {
		if s.expiresAt > 0 && now >= s.expiresAt {
			reg.drop(s)
		}
	}
}

func (reg *Registry) drop(s *Server) {
	reg.version++
	reg.removeAddr(s)
	delete(reg.servers, s.ID)
}

func (reg *Registry) removeAddr(s *Server) {
	if reg.byAddr[s.Addr] == s.ID {
		delete(reg.byAddr, s.Addr)
	}
}

// ByService returns the servers of a service, sorted by ID.
func (reg *Registry) ByService(service string) []*Server {
	var out []*Server
	for _, s := range reg.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// RecordFailure records that work at an incarnation of a server failed because of the
// server. The server is avoided for at least minSuspicion.
func (reg *Registry) RecordFailure(now time.Duration, in Instance, minSuspicion time.Duration) {
	s := reg.current(in)
	if s == nil {
		return
	}
	suspicion := min(reg.cfg.Suspicion<<min(s.consecutiveFailures, 8), reg.cfg.MaxSuspicion)
	s.consecutiveFailures++
	s.suspectUntil = max(s.suspectUntil, now+max(suspicion, minSuspicion))
}

// RecordLeaving records that an incarnation of a server said that it leaves, and reports
// whether that is new.
func (reg *Registry) RecordLeaving(in Instance) bool {
	s := reg.current(in)
	if s == nil || s.leaving {
		return false
	}
	reg.version++
	isNew := s.State != Draining
	s.leaving, s.State = true, Draining
	return isNew
}

// Avoid makes requests avoid an incarnation of a server for d.
func (reg *Registry) Avoid(now time.Duration, in Instance, d time.Duration) {
	if s := reg.current(in); s != nil {
		s.avoidUntil = max(s.avoidUntil, now+d)
	}
}

// RecordSuccess records that work at an incarnation of a server succeeded.
func (reg *Registry) RecordSuccess(in Instance) {
	if s := reg.current(in); s != nil {
		s.consecutiveFailures, s.suspectUntil, s.avoidUntil = 0, 0, 0
	}
}

// ForgetFailures drops what is recorded of failures of a service's servers.
func (reg *Registry) ForgetFailures(service string) {
	for _, s := range reg.servers {
		if s.Service == service {
			s.consecutiveFailures, s.suspectUntil, s.avoidUntil = 0, 0, 0
		}
	}
}

// AllowSlowdownRequest reports whether an incarnation of a server may be asked for its
// slowdown factor now. If so, the next one is allowed after MinSlowdownRequestInterval.
func (reg *Registry) AllowSlowdownRequest(now time.Duration, in Instance) bool {
	s := reg.current(in)
	if s == nil || now < s.nextSlowdownRequest {
		return false
	}
	s.nextSlowdownRequest = now + reg.cfg.MinSlowdownRequestInterval
	return true
}

// SetSlowdown records the slowdown factor that a server reported, above 1 if it is slower
// than its accelerator. It returns whether the factor changed.
func (reg *Registry) SetSlowdown(now time.Duration, in Instance, factor float64) bool {
	s := reg.current(in)
	if s == nil {
		return false
	}
	s.nextSlowdownRequest = max(s.nextSlowdownRequest, now+reg.cfg.MinSlowdownRequestInterval)
	previous := s.SlowdownFactor(now)
	s.slowdown, s.slowdownUntil = max(1, factor), now+reg.cfg.SlowdownTTL
	return s.slowdown != previous
}

// SetLoadReport records the load that an incarnation of a server reported.
func (reg *Registry) SetLoadReport(now time.Duration, in Instance, requests float64) {
	if s := reg.current(in); s != nil {
		s.LastLoadReport = LoadReport{At: now, Requests: requests, OwnFirstStage: s.OwnWork.FirstStage}
	}
}

// AddWork adds work of this VM at a server; RemoveWork removes it.
func (reg *Registry) AddWork(in Instance, w Work) {
	if s := reg.current(in); s != nil {
		s.OwnWork = Work{Streams: s.OwnWork.Streams + w.Streams, FirstStage: s.OwnWork.FirstStage + w.FirstStage, TokenLayers: s.OwnWork.TokenLayers + w.TokenLayers}
	}
}

// RemoveWork removes what AddWork added. Rounding errors could make the result negative, so
// it is clamped to zero.
func (reg *Registry) RemoveWork(in Instance, w Work) {
	if s := reg.current(in); s != nil {
		s.OwnWork = Work{Streams: max(0, s.OwnWork.Streams-w.Streams), FirstStage: max(0, s.OwnWork.FirstStage-w.FirstStage), TokenLayers: max(0, s.OwnWork.TokenLayers-w.TokenLayers)}
	}
}

// current returns the server if in is its current incarnation, otherwise nil.
func (reg *Registry) current(in Instance) *Server {
	if s := reg.servers[in.ID]; s != nil && s.StartedMs == in.StartedMs {
		return s
	}
	return nil
}

// IDs returns the IDs of all backend servers in no particular order.
func (reg *Registry) IDs() []ID {
	out := make([]ID, 0, len(reg.servers))
	for id := range reg.servers {
		out = append(out, id)
	}
	return out
}
