package backend

import (
	"sort"
	"time"
)

// Config holds the settings of a Fleet.
type Config struct {
	// ReturnGrace is how long a record that vanished while the store could not be
	// reached is still believed: the platform writes it again within two seconds
	// of the store's return. Default 2.5 s.
	ReturnGrace time.Duration
	// Suspicion is how long a backend server is avoided after a failure; it
	// doubles with each further one. Default 300 ms.
	Suspicion time.Duration
	// MaxSuspicion bounds it. Default 5 s.
	MaxSuspicion time.Duration
	// SlowFor is how long a server's word that it is slow counts; then requests go
	// there again and find out. Default 4 s.
	SlowdownTTL time.Duration
	// AskPause is the least time between two priced questions to one server for its
	// pace. Default 2 s.
	MinReportInterval time.Duration
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{ReturnGrace: 2500 * time.Millisecond, Suspicion: 300 * time.Millisecond, MaxSuspicion: 5 * time.Second,
		SlowdownTTL: 4 * time.Second, MinReportInterval: 2 * time.Second}
}

// Server is what is believed of one backend server.
type Server struct {
	Record
	// Orders is the number of orders accepted in this life, as far as known.
	AcceptedOrders uint64
	// Own is this VM's own work in progress there.
	OwnWork Work
	// LastTold is what the server last said of its load.
	LastReport LoadReport

	strikes      int
	suspectUntil time.Duration
	slowX        float64
	slowUntil    time.Duration
	askAgain     time.Duration // its own word of its pace is not asked for before
	// goneAt is when a record that vanished during an outage stops counting.
	goneAt time.Duration
}

// Suspect reports whether s is avoided at now.
func (s *Server) Suspect(now time.Duration) bool { return now < s.suspectUntil }

// SlowX is over 1 for a server that was found slower than its card.
func (s *Server) SlowdownFactor(now time.Duration) float64 {
	if now >= s.slowUntil {
		return 1
	}
	return s.slowX
}

// Told is a server's own word of its load.
type LoadReport struct {
	At time.Duration
	// Requests were sent to it and run or wait there; OwnFirsts of them, at that
	// time, were this VM's.
	Requests, OwnFirstStage float64
}

// Work is work in progress at a backend server.
type Work struct {
	// Streams counts requests; Firsts those of them that were sent to this server,
	// which its slots bound.
	Streams, FirstStage float64
	TokenLayers         float64
}

// Fleet is the belief of one VM.
type Registry struct {
	cfg     Config
	servers map[ID]*Server
	byAddr  map[string]ID
	version uint64
}

// New returns a Fleet without backend servers.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, servers: map[ID]*Server{}, byAddr: map[string]ID{}}
}

// Version rises with each change of a record.
func (f *Registry) Version() uint64 { return f.version }

// Len is the number of backend servers known.
func (f *Registry) Len() int { return len(f.servers) }

// Get returns the server named id, or nil.
func (f *Registry) Get(id ID) *Server { return f.servers[id] }

// At returns the server at addr, or nil.
func (f *Registry) ByAddr(addr string) *Server { return f.servers[f.byAddr[addr]] }

// Put takes in a record and reports whether it begins a new life. A new life
// holds nothing of the work and the failures of the one before.
func (f *Registry) Put(r Record) (newLife bool) {
	f.version++
	if other := f.ByAddr(r.Addr); other != nil && other.ID != r.ID {
		if other.StartedMs > r.StartedMs {
			return false // an old record of a server whose address is used again
		}
		f.drop(other)
	}
	s := f.servers[r.ID]
	if s == nil || s.StartedMs != r.StartedMs {
		if s != nil {
			f.forgetAddr(s)
		}
		f.servers[r.ID] = &Server{Record: r}
		f.byAddr[r.Addr] = r.ID
		return true
	}
	if s.Addr != r.Addr {
		f.forgetAddr(s)
	}
	s.Record, s.goneAt = r, 0
	f.byAddr[r.Addr] = r.ID
	return false
}

// Remove takes out a record. While the store was away the removal may only mean
// that the record lapsed, so the server is believed for ReturnGrace more.
func (f *Registry) Remove(now time.Duration, id ID, storeWasAway bool) {
	s := f.servers[id]
	if s == nil {
		return
	}
	if storeWasAway {
		if s.goneAt == 0 {
			s.goneAt = now + f.cfg.ReturnGrace
		}
		return
	}
	f.drop(s)
}

// Expire drops the servers whose grace has passed.
func (f *Registry) Expire(now time.Duration) {
	for _, s := range f.servers {
		if s.goneAt > 0 && now >= s.goneAt {
			f.drop(s)
		}
	}
}

func (f *Registry) drop(s *Server) {
	f.version++
	f.forgetAddr(s)
	delete(f.servers, s.ID)
}

func (f *Registry) forgetAddr(s *Server) {
	if f.byAddr[s.Addr] == s.ID {
		delete(f.byAddr, s.Addr)
	}
}

// Of returns the servers of a service in the order of their ids.
func (f *Registry) ByService(service string) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Failed records that work at one life of a server failed for its own reasons.
// least is the shortest time for which it is avoided.
func (f *Registry) RecordFailure(now time.Duration, in Instance, least time.Duration) {
	s := f.current(in)
	if s == nil {
		return
	}
	span := min(f.cfg.Suspicion<<min(s.strikes, 8), f.cfg.MaxSuspicion)
	s.strikes++
	s.suspectUntil = max(s.suspectUntil, now+max(span, least))
}

// Worked records that work at one life of a server went well.
func (f *Registry) RecordSuccess(in Instance) {
	if s := f.current(in); s != nil {
		s.strikes, s.suspectUntil = 0, 0
	}
}

// MayAsk reports whether one life of a server may be asked for its pace now, and
// counts that as done.
func (f *Registry) AllowReportRequest(now time.Duration, in Instance) bool {
	s := f.current(in)
	if s == nil || now < s.askAgain {
		return false
	}
	s.askAgain = now + f.cfg.MinReportInterval
	return true
}

// Paced takes in a server's pace: over 1 where it is slower than its card. It
// reports whether that is news.
func (f *Registry) SetSlowdown(now time.Duration, in Instance, slowX float64) bool {
	s := f.current(in)
	if s == nil {
		return false
	}
	s.askAgain = max(s.askAgain, now+f.cfg.MinReportInterval)
	was := s.SlowdownFactor(now)
	s.slowX, s.slowUntil = max(1, slowX), now+f.cfg.SlowdownTTL
	return s.slowX != was
}

// Told takes in what one life of a server says of its load.
func (f *Registry) SetLoadReport(now time.Duration, in Instance, requests float64) {
	if s := f.current(in); s != nil {
		s.LastReport = LoadReport{At: now, Requests: requests, OwnFirstStage: s.OwnWork.FirstStage}
	}
}

// Begin adds own work at a server; End takes it off.
func (f *Registry) AddWork(in Instance, w Work) {
	if s := f.current(in); s != nil {
		s.OwnWork = Work{Streams: s.OwnWork.Streams + w.Streams, FirstStage: s.OwnWork.FirstStage + w.FirstStage, TokenLayers: s.OwnWork.TokenLayers + w.TokenLayers}
	}
}

// End takes off what Begin added. Sums of fractions leave a rest, which must not
// fall below zero.
func (f *Registry) RemoveWork(in Instance, w Work) {
	if s := f.current(in); s != nil {
		s.OwnWork = Work{Streams: max(0, s.OwnWork.Streams-w.Streams), FirstStage: max(0, s.OwnWork.FirstStage-w.FirstStage), TokenLayers: max(0, s.OwnWork.TokenLayers-w.TokenLayers)}
	}
}

func (f *Registry) current(in Instance) *Server {
	if s := f.servers[in.ID]; s != nil && s.StartedMs == in.StartedMs {
		return s
	}
	return nil
}

// IDs returns the ids of all backend servers, in no order.
func (f *Registry) IDs() []ID {
	out := make([]ID, 0, len(f.servers))
	for id := range f.servers {
		out = append(out, id)
	}
	return out
}
