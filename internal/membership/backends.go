package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// ServerStatus states whether a backend server is leaving. Merging keeps the larger
// status: the higher Epoch, and within an epoch the one with Leaving set. A server that
// is leaving returns to live only in a new epoch, which needs newer evidence.
type ServerStatus struct {
	Server  ident.BackendServer `json:"s"`
	Epoch   uint64              `json:"r,omitempty"`
	Leaving bool                `json:"l,omitempty"`
}

// compare orders statuses of the same server.
func (s ServerStatus) compare(other ServerStatus) int {
	return cmp.Or(cmp.Compare(s.Epoch, other.Epoch), cmp.Compare(leavingRank(s), leavingRank(other)))
}

func leavingRank(s ServerStatus) int {
	if s.Leaving {
		return 1
	}
	return 0
}

// ListedServer is a backend server in the platform's VM list.
type ListedServer struct {
	Server ident.BackendServer `json:"server"`
	// Addr distinguishes a new server from an old one of the same name.
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
}

// BackendsConfig holds the parameters of Backends.
type BackendsConfig struct {
	// ListLag is the maximum lag of the VM list. A list fetched later than this after a
	// server began to leave counts as newer evidence. Default 5 min.
	ListLag time.Duration `json:"list_lag_ns"`
	// ForgetAfter is how long the status of an unlisted server is kept. Default 30 min.
	ForgetAfter time.Duration `json:"forget_after_ns"`
}

// DefaultBackendsConfig returns the defaults.
func DefaultBackendsConfig() BackendsConfig {
	return BackendsConfig{ListLag: 5 * time.Minute, ForgetAfter: 30 * time.Minute}
}

// Validate reports every invalid field.
func (c BackendsConfig) Validate() error {
	var err error
	if c.ListLag <= 0 {
		err = errors.Join(err, errors.Newf("list_lag_ns is %s, must be positive", c.ListLag))
	}
	if c.ForgetAfter < c.ListLag {
		err = errors.Join(err, errors.Newf("forget_after_ns is %s, must be at least list_lag_ns", c.ForgetAfter))
	}
	return err
}

// BackendEvent is an input of Backends.
type BackendEvent interface{ isBackendEvent() }

// ListSeen is a VM list that was fetched just now.
type ListSeen struct {
	Servers []ListedServer `json:"servers"`
}

// Refused reports that a server refused work because it is leaving.
type Refused struct {
	Server ident.BackendServer `json:"server"`
}

// NotesHeard holds statuses received from peers.
type NotesHeard struct {
	Statuses []ServerStatus `json:"notes"`
}

func (ListSeen) isBackendEvent()   {}
func (Refused) isBackendEvent()    {}
func (NotesHeard) isBackendEvent() {}

// BackendAction is an output of Backends.
type BackendAction interface{ isBackendAction() }

// Spread gossips statuses by way of Membership's Publish.
type Spread struct {
	Statuses []ServerStatus `json:"notes"`
}

// WorkChanged reports that a server starts or stops accepting new work.
type WorkChanged struct {
	Server      ident.BackendServer `json:"server"`
	AcceptsWork bool                `json:"accepts_work"`
}

func (Spread) isBackendAction()      {}
func (WorkChanged) isBackendAction() {}

// Backends decides which backend servers accept new work. A server stops as soon as any
// source reports it as leaving: the VM list, the server itself or a peer. It accepts work
// again only on newer evidence: the list showed it leaving, or omitted it, and then
// showed it live; or it is a new server of the same name; or the list still shows it live
// after ListLag.
type Backends struct {
	cfg      BackendsConfig
	servers  map[ident.BackendServer]*server
	actions  []BackendAction
	outgoing []ServerStatus
}

type server struct {
	status ServerStatus
	// leavingSince is when this VM learned that the server is leaving.
	leavingSince time.Duration
	listed       ListedServer
	inList       bool
	// leavingConfirmed is set once the list showed the server leaving or omitted it.
	leavingConfirmed bool
	// leavingAddr is the server's listed address when it began to leave.
	leavingAddr string
	// lastSeen is when the server last appeared in a list, a refusal or a peer's status.
	lastSeen time.Duration
}

// NewBackends returns a Backends without servers.
func NewBackends(cfg BackendsConfig) (*Backends, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Backends{cfg: cfg, servers: map[ident.BackendServer]*server{}}, nil
}

// AcceptsWork reports whether a server is listed and accepts new work.
func (b *Backends) AcceptsWork(id ident.BackendServer) bool {
	s, ok := b.servers[id]
	return ok && s.acceptsWork()
}

func (s *server) acceptsWork() bool { return s.inList && !s.status.Leaving }

// Statuses lists, sorted by server, every status that differs from the initial one. It is
// part of the full state that a starting peer receives.
func (b *Backends) Statuses() []ServerStatus {
	var statuses []ServerStatus
	for _, s := range b.servers {
		if s.status.Leaving || s.status.Epoch > 0 {
			statuses = append(statuses, s.status)
		}
	}
	slices.SortFunc(statuses, func(x, y ServerStatus) int { return cmp.Compare(x.Server, y.Server) })
	return statuses
}

// Step processes one event. now is the time since the start of the process.
func (b *Backends) Step(now time.Duration, ev BackendEvent) []BackendAction {
	b.actions, b.outgoing = nil, nil
	switch ev := ev.(type) {
	case ListSeen:
		b.applyList(now, ev.Servers)
	case Refused:
		s := b.lookupOrAdd(now, ev.Server)
		b.markLeaving(now, s)
	case NotesHeard:
		for _, st := range ev.Statuses {
			b.mergeStatus(now, st)
		}
	}
	if len(b.outgoing) > 0 {
		b.actions = append(b.actions, Spread{Statuses: b.outgoing})
	}
	return b.actions
}

func (b *Backends) lookupOrAdd(now time.Duration, id ident.BackendServer) *server {
	s, ok := b.servers[id]
	if !ok {
		s = &server{status: ServerStatus{Server: id}}
		b.servers[id] = s
	}
	s.lastSeen = now
	return s
}

// update runs change and emits WorkChanged if s starts or stops accepting work.
func (b *Backends) update(s *server, change func()) {
	before := s.acceptsWork()
	change()
	if s.acceptsWork() != before {
		b.actions = append(b.actions, WorkChanged{Server: s.status.Server, AcceptsWork: !before})
	}
}

// markLeaving marks a server as leaving within its current epoch.
func (b *Backends) markLeaving(now time.Duration, s *server) {
	if s.status.Leaving {
		return
	}
	st := s.status
	st.Leaving = true
	b.adopt(now, s, st)
}

// adopt stores a newer status and gossips it.
func (b *Backends) adopt(now time.Duration, s *server, st ServerStatus) {
	b.update(s, func() { s.status = st })
	if st.Leaving {
		s.leavingSince = now
		s.leavingAddr = s.listed.Addr
		s.leavingConfirmed = false
	}
	b.outgoing = append(b.outgoing, st)
}

func (b *Backends) mergeStatus(now time.Duration, st ServerStatus) {
	if st.Server == "" {
		return
	}
	s := b.lookupOrAdd(now, st.Server)
	if st.compare(s.status) > 0 {
		b.adopt(now, s, st)
	}
}

// applyList updates all servers from a VM list.
func (b *Backends) applyList(now time.Duration, listed []ListedServer) {
	inList := make(map[ident.BackendServer]bool, len(listed))
	for _, l := range listed {
		inList[l.Server] = true
		b.applyListed(now, l)
	}
	for _, id := range b.ids() {
		if !inList[id] {
			b.markUnlisted(now, b.servers[id])
		}
	}
}

func (b *Backends) applyListed(now time.Duration, l ListedServer) {
	s := b.lookupOrAdd(now, l.Server)
	b.update(s, func() { s.listed, s.inList = l, true })
	switch {
	case l.Leaving:
		b.markLeaving(now, s)
		s.leavingConfirmed = true
	case s.status.Leaving && b.postdatesLeaving(now, s, l):
		b.adopt(now, s, ServerStatus{Server: l.Server, Epoch: s.status.Epoch + 1})
	}
}

// postdatesLeaving reports whether a list that shows the server live must be newer than
// the report that it is leaving.
func (b *Backends) postdatesLeaving(now time.Duration, s *server, l ListedServer) bool {
	replaced := s.leavingAddr != "" && l.Addr != s.leavingAddr
	return s.leavingConfirmed || replaced || now-s.leavingSince > b.cfg.ListLag
}

func (b *Backends) markUnlisted(now time.Duration, s *server) {
	b.update(s, func() { s.inList = false })
	if s.status.Leaving {
		s.leavingConfirmed = true
	}
	if now-s.lastSeen > b.cfg.ForgetAfter {
		delete(b.servers, s.status.Server)
	}
}

func (b *Backends) ids() []ident.BackendServer {
	ids := make([]ident.BackendServer, 0, len(b.servers))
	for id := range b.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
