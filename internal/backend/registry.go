package backend

import (
	"maps"
	"slices"
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
	// FindingTTL is how long another VM's finding that a server leaves is believed, as
	// loads.Config.LeavingKeepFor. Default 30 s.
	FindingTTL time.Duration
	// WithdrawRecords and WithdrawAfter are how many newer records have to say ready, and for
	// how long, until a record that said draining does not count any more. Defaults 3 and 10 s.
	WithdrawRecords int
	WithdrawAfter   time.Duration
	// DepartureTTL is how long a server that left is remembered: for that time an older record
	// of it may turn up. MaxDepartures bounds their number. Defaults 10 min and 4,096.
	DepartureTTL  time.Duration
	MaxDepartures int
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MissingRecordTTL: 2500 * time.Millisecond, Suspicion: 300 * time.Millisecond, MaxSuspicion: 5 * time.Second,
		SlowdownTTL: 4 * time.Second, MinSlowdownRequestInterval: 2 * time.Second,
		FindingTTL: 30 * time.Second, WithdrawRecords: 3, WithdrawAfter: 10 * time.Second, DepartureTTL: 10 * time.Minute, MaxDepartures: 4096}
}

// Server is the observed state of one backend server.
type Server struct {
	// Record is the record, but for its State: a server that is known to leave is Draining
	// whatever its record says.
	Record
	// AcceptedOrders is the number of placement orders that this incarnation is known to
	// have accepted.
	AcceptedOrders uint64
	// OwnWork is this VM's work in progress at the server.
	OwnWork Work
	// LastLoadReport is the last load report; its time is 0 if there was none.
	LastLoadReport LoadReport

	departure           *departure // nil if nothing says that it leaves
	recordState         State
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

func (w Work) plus(o Work) Work {
	return Work{Streams: w.Streams + o.Streams, FirstStage: w.FirstStage + o.FirstStage, TokenLayers: w.TokenLayers + o.TokenLayers}
}

// minus returns the difference, clamped to zero because rounding errors could make it negative.
func (w Work) minus(o Work) Work {
	return Work{Streams: max(0, w.Streams-o.Streams), FirstStage: max(0, w.FirstStage-o.FirstStage), TokenLayers: max(0, w.TokenLayers-o.TokenLayers)}
}

// Registry holds one VM's view of all backend servers.
type Registry struct {
	cfg     Config
	servers map[ID]*Server
	byAddr  map[string]ID
	version uint64

	departures departures
	// unlistedWork is this VM's work in progress at incarnations without a record.
	unlistedWork map[Instance]Work
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, servers: map[ID]*Server{}, byAddr: map[string]ID{}, departures: newDepartures(cfg), unlistedWork: map[Instance]Work{}}
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
// incarnation starts without the work and the failures of the previous one. A record that was
// written before the incarnation's record was gone is ignored.
func (reg *Registry) Put(now time.Duration, r Record) (newIncarnation bool) {
	if reg.departures.isOutdated(r) {
		return false
	}
	reg.version++
	if other := reg.ByAddr(r.Addr); other != nil && other.ID != r.ID {
		if other.StartedMs > r.StartedMs {
			return false // outdated record of a server whose address was reused
		}
		reg.drop(other)
	}
	s := reg.servers[r.ID]
	if s != nil && s.Addr != r.Addr {
		reg.removeAddr(s)
	}
	if newIncarnation = s == nil || s.StartedMs != r.StartedMs; newIncarnation {
		if s != nil {
			reg.setUnlistedWork(s.Instance(), s.OwnWork)
		}
		s = &Server{OwnWork: reg.unlistedWork[r.Instance()]}
		delete(reg.unlistedWork, r.Instance())
		reg.servers[r.ID] = s
	}
	s.Record, s.recordState, s.expiresAt = r, r.State, 0
	reg.byAddr[r.Addr] = r.ID
	if r.State == Draining {
		reg.departures.leaving(now, 0, r.Instance(), InRecord)
	} else {
		reg.departures.readyRecord(now, r)
	}
	reg.refreshState(now, s)
	return newIncarnation
}

// refreshState sets the state of a server by its record and its departure.
func (reg *Registry) refreshState(now time.Duration, s *Server) {
	s.departure = reg.departures.byInstance[s.Instance()]
	state := s.recordState
	if s.departure.leaves(now) {
		state = Draining
	}
	if s.State != state {
		s.State = state
		reg.version++
	}
}

// Remove removes a record that was gone at a revision of the store, 0 if that is unknown. If the
// store was unreachable, the record may have expired only because it could not be renewed, so
// the server is kept for MissingRecordTTL.
func (reg *Registry) Remove(now time.Duration, id ID, revision uint64, storeWasUnreachable bool) {
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
	reg.departures.removed(now, s.Instance(), revision)
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
	reg.departures.forgetRevisions()
}

// Expire drops the servers whose records have been missing for MissingRecordTTL, and findings
// that are no longer believed.
func (reg *Registry) Expire(now time.Duration) {
	for _, s := range reg.servers {
		switch {
		case s.expiresAt > 0 && now >= s.expiresAt:
			reg.drop(s)
		case s.departure != nil:
			reg.refreshState(now, s)
		}
	}
	reg.departures.trim(now, func(in Instance) bool { return reg.current(in) != nil })
}

func (reg *Registry) drop(s *Server) {
	reg.version++
	reg.setUnlistedWork(s.Instance(), s.OwnWork)
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

// RecordLeaving records evidence of an age that an incarnation of a server leaves, known or not,
// and reports whether that is new.
func (reg *Registry) RecordLeaving(now, age time.Duration, in Instance, e Evidence) bool {
	isNew := reg.departures.leaving(now, age, in, e)
	if s := reg.current(in); s != nil {
		reg.refreshState(now, s)
	}
	return isNew
}

// LeavingSince returns since when an incarnation is known to leave, false if it is not.
func (reg *Registry) LeavingSince(now time.Duration, in Instance) (time.Duration, bool) {
	d := reg.departures.byInstance[in]
	if !d.leaves(now) {
		return 0, false
	}
	return d.since, true
}

// Departures returns the number of incarnations that are remembered because they leave or have
// left.
func (reg *Registry) Departures() int { return len(reg.departures.byInstance) }

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

// AddWork adds work of this VM at a server; RemoveWork removes it. Work outlives the record of its
// server, which may come back.
func (reg *Registry) AddWork(in Instance, w Work) {
	if s := reg.current(in); s != nil {
		s.OwnWork = s.OwnWork.plus(w)
		return
	}
	reg.unlistedWork[in] = reg.unlistedWork[in].plus(w)
}

// RemoveWork removes what AddWork added.
func (reg *Registry) RemoveWork(in Instance, w Work) {
	if s := reg.current(in); s != nil {
		s.OwnWork = s.OwnWork.minus(w)
		return
	}
	reg.setUnlistedWork(in, reg.unlistedWork[in].minus(w))
}

func (reg *Registry) setUnlistedWork(in Instance, w Work) {
	if w.Streams == 0 {
		delete(reg.unlistedWork, in)
		return
	}
	reg.unlistedWork[in] = w
}

// current returns the server if in is its current incarnation, otherwise nil.
func (reg *Registry) current(in Instance) *Server {
	if s := reg.servers[in.ID]; s != nil && s.StartedMs == in.StartedMs {
		return s
	}
	return nil
}

// IDs returns the IDs of all backend servers, sorted.
func (reg *Registry) IDs() []ID { return slices.Sorted(maps.Keys(reg.servers)) }
