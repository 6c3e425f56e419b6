package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Note says whether a backend server is leaving. Notes merge to the larger: by
// Round first, and within a round a leaving one beats the other. A round ends
// only with evidence that is newer than the leaving.
type ServerStatus struct {
	Server  ident.BackendServer `json:"s"`
	Epoch   uint64              `json:"r,omitempty"`
	Leaving bool                `json:"l,omitempty"`
}

// compare orders notes on the same server.
func (n ServerStatus) compare(o ServerStatus) int {
	return cmp.Or(cmp.Compare(n.Epoch, o.Epoch), cmp.Compare(rank(n), rank(o)))
}

func rank(n ServerStatus) int {
	if n.Leaving {
		return 1
	}
	return 0
}

// Listed is one backend server as the platform's VM list shows it.
type ListedServer struct {
	Server ident.BackendServer `json:"server"`
	// Addr tells a new server of an old name from the old one.
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
}

// BackendsConfig holds the bounds of Backends.
type BackendsConfig struct {
	// ListLag is the most by which the VM list may lag. A list fetched later
	// than this after a server began to leave counts as newer evidence.
	ListLag time.Duration `json:"list_lag_ns"`
	// ForgetAfter is how long notes on unlisted servers are kept.
	ForgetAfter time.Duration `json:"forget_after_ns"`
}

// DefaultBackendsConfig returns the defaults.
func DefaultBackendsConfig() BackendsConfig {
	return BackendsConfig{ListLag: 5 * time.Minute, ForgetAfter: 30 * time.Minute}
}

// Validate names every faulty field.
func (c BackendsConfig) Validate() error {
	var err error
	if c.ListLag <= 0 {
		err = errors.Join(err, errors.Newf("list_lag_ns is %s: want above 0", c.ListLag))
	}
	if c.ForgetAfter < c.ListLag {
		err = errors.Join(err, errors.Newf("forget_after_ns is %s: want at least list_lag_ns", c.ForgetAfter))
	}
	return err
}

// BackendEvent is what Backends takes in.
type BackendEvent interface{ isBackendEvent() }

// ListSeen is the VM list as it was fetched just now.
type ListSeen struct {
	Servers []ListedServer `json:"servers"`
}

// Refused says that a server itself refused work because it is leaving.
type Refused struct {
	Server ident.BackendServer `json:"server"`
}

// NotesHeard hands in what peers spread.
type NotesHeard struct {
	Statuses []ServerStatus `json:"notes"`
}

func (ListSeen) isBackendEvent()   {}
func (Refused) isBackendEvent()    {}
func (NotesHeard) isBackendEvent() {}

// BackendAction is what Backends gives out.
type BackendAction interface{ isBackendAction() }

// Spread hands notes to Membership's Publish.
type Spread struct {
	Statuses []ServerStatus `json:"notes"`
}

// WorkChanged says whether a server takes new work from now on.
type WorkChanged struct {
	Server      ident.BackendServer `json:"server"`
	AcceptsWork bool                `json:"accepts_work"`
}

func (Spread) isBackendAction()      {}
func (WorkChanged) isBackendAction() {}

// Backends decides which backend servers take new work. Any source that says
// that a server is leaving is believed at once: the VM list, the server itself,
// a peer. It takes work again only with newer evidence: the list showed it
// leaving, or not at all, and then live; or it is a new server under the same
// name; or the list still shows it live after the longest lag.
type Backends struct {
	cfg     BackendsConfig
	servers map[ident.BackendServer]*server
	actions []BackendAction
	spread  []ServerStatus
}

type server struct {
	note ServerStatus
	// leavingSince is when this VM first heard of the leaving.
	leavingSince time.Duration
	listed       ListedServer
	inList       bool
	// confirmed is set once the list agreed with the leaving.
	confirmed bool
	// addr is where the server stood when it began to leave.
	addr     string
	lastSeen time.Duration
}

// NewBackends returns a machine that knows no server.
func NewBackends(cfg BackendsConfig) (*Backends, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Backends{cfg: cfg, servers: map[ident.BackendServer]*server{}}, nil
}

// AcceptsWork reports whether a listed server takes new work.
func (b *Backends) AcceptsWork(id ident.BackendServer) bool {
	s, ok := b.servers[id]
	return ok && s.acceptsWork()
}

func (s *server) acceptsWork() bool { return s.inList && !s.note.Leaving }

// Notes lists every note that matters, by server, for a peer that starts.
func (b *Backends) Statuses() []ServerStatus {
	var notes []ServerStatus
	for _, s := range b.servers {
		if s.note.Leaving || s.note.Epoch > 0 {
			notes = append(notes, s.note)
		}
	}
	slices.SortFunc(notes, func(x, y ServerStatus) int { return cmp.Compare(x.Server, y.Server) })
	return notes
}

// Step takes one event at time now since the process's start.
func (b *Backends) Step(now time.Duration, ev BackendEvent) []BackendAction {
	b.actions, b.spread = nil, nil
	switch ev := ev.(type) {
	case ListSeen:
		b.list(now, ev.Servers)
	case Refused:
		s := b.get(now, ev.Server)
		b.leaving(now, s)
	case NotesHeard:
		for _, n := range ev.Statuses {
			b.hear(now, n)
		}
	}
	if len(b.spread) > 0 {
		b.actions = append(b.actions, Spread{Statuses: b.spread})
	}
	return b.actions
}

func (b *Backends) get(now time.Duration, id ident.BackendServer) *server {
	s, ok := b.servers[id]
	if !ok {
		s = &server{note: ServerStatus{Server: id}}
		b.servers[id] = s
	}
	s.lastSeen = now
	return s
}

// set changes a server and says so if that changes whether it takes work.
func (b *Backends) set(s *server, change func()) {
	before := s.acceptsWork()
	change()
	if s.acceptsWork() != before {
		b.actions = append(b.actions, WorkChanged{Server: s.note.Server, AcceptsWork: !before})
	}
}

// leaving marks a server within the present round.
func (b *Backends) leaving(now time.Duration, s *server) {
	if s.note.Leaving {
		return
	}
	n := s.note
	n.Leaving = true
	b.adopt(now, s, n)
}

// adopt takes over a newer note and sends it on.
func (b *Backends) adopt(now time.Duration, s *server, n ServerStatus) {
	b.set(s, func() { s.note = n })
	if n.Leaving {
		s.leavingSince = now
		s.addr = s.listed.Addr
		s.confirmed = false
	}
	b.spread = append(b.spread, n)
}

func (b *Backends) hear(now time.Duration, n ServerStatus) {
	if n.Server == "" {
		return
	}
	s := b.get(now, n.Server)
	if n.compare(s.note) > 0 {
		b.adopt(now, s, n)
	}
}

// list compares the VM list with what is known.
func (b *Backends) list(now time.Duration, listed []ListedServer) {
	seen := make(map[ident.BackendServer]bool, len(listed))
	for _, l := range listed {
		seen[l.Server] = true
		b.listOne(now, l)
	}
	for _, id := range b.ids() {
		if !seen[id] {
			b.unlisted(now, b.servers[id])
		}
	}
}

func (b *Backends) listOne(now time.Duration, l ListedServer) {
	s := b.get(now, l.Server)
	b.set(s, func() { s.listed, s.inList = l, true })
	switch {
	case l.Leaving:
		b.leaving(now, s)
		s.confirmed = true
	case s.note.Leaving && b.isNewer(now, s, l):
		b.adopt(now, s, ServerStatus{Server: l.Server, Epoch: s.note.Epoch + 1})
	}
}

// isNewer reports whether a list that shows the server live was made after the
// server began to leave.
func (b *Backends) isNewer(now time.Duration, s *server, l ListedServer) bool {
	replaced := s.addr != "" && l.Addr != s.addr
	return s.confirmed || replaced || now-s.leavingSince > b.cfg.ListLag
}

func (b *Backends) unlisted(now time.Duration, s *server) {
	b.set(s, func() { s.inList = false })
	if s.note.Leaving {
		s.confirmed = true
	}
	if now-s.lastSeen > b.cfg.ForgetAfter {
		delete(b.servers, s.note.Server)
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
