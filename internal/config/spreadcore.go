package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Spread keeps this VM at the newest accepted version and passes it on.
type Spread struct {
	cfg     SpreadConfig
	rng     *rand.Rand
	members []Member
	watches bool
	collect []ident.VM

	held  Snapshot
	ready bool
	// heard holds the failure domains that answered while not ready; taken is
	// when a first version came from a peer.
	heard    map[ident.FailureDomain]bool
	taken    time.Duration
	isTaken  bool
	revision uint64
	// wanted is a head that the service gave and whose parts are being read.
	wanted *Head
	texts  map[PartHash]string

	reading    bool
	readSince  time.Duration
	readAgain  time.Duration
	pullFrom   ident.VM
	pullSince  time.Duration
	nextGossip time.Duration
	nextReport time.Duration
	nextSeek   time.Duration
	seen       map[ident.VM]VersionReport
}

// NewSpread returns a VM that holds no version.
func NewSpread(cfg SpreadConfig) (*Spread, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Spread{
		cfg:  cfg,
		rng:  rand.New(rand.NewPCG(cfg.Seed, rank(cfg.Self, "spread"))),
		seen: map[ident.VM]VersionReport{}, texts: map[PartHash]string{}, heard: map[ident.FailureDomain]bool{},
		members: []Member{{VM: cfg.Self, Domain: cfg.Domain}},
	}, nil
}

// Version is the version in force here; zero while there is none.
func (s *Spread) Version() uint64 { return s.held.Head.Version }

// Snapshot is what is in force here.
func (s *Spread) Snapshot() Snapshot { return s.held }

// Ready reports whether this VM may serve: the service itself said which version
// is in force, or that none is, or peers in several failure domains know of none
// newer than the one held.
func (s *Spread) Ready() bool { return s.ready }

// Watching reports whether this VM follows the head in the service.
func (s *Spread) Watching() bool { return s.watches }

// Collectors lists the VMs that hear everybody's version.
func (s *Spread) Collectors() []ident.VM { return slices.Clone(s.collect) }

// Seen returns what each VM last told of its version.
func (s *Spread) VersionReports() map[ident.VM]VersionReport { return maps.Clone(s.seen) }

// Step takes one event.
func (s *Spread) Step(now time.Duration, ev SpreadEvent) []SpreadAction {
	switch ev := ev.(type) {
	case SpreadTick:
		return s.tick(now)
	case MembersSeen:
		s.setMembers(ev.Members)
		return s.tick(now)
	case HeadRead:
		return s.headRead(now, ev)
	case PartsRead:
		return s.partsRead(now, ev)
	case ReadFailed:
		s.readFailed(now)
	case PeerVersion:
		return s.peerVersion(now, ev)
	case PeerPull:
		return s.peerPull(ev)
	case PeerParts:
		return s.peerParts(now, ev)
	case SelfApplied:
		s.ready = true
		return s.adopt(now, ev.Snapshot)
	}
	return nil
}

func (s *Spread) setMembers(members []Member) {
	s.members = slices.Clone(members)
	if !slices.ContainsFunc(s.members, func(m Member) bool { return m.VM == s.cfg.Self }) {
		s.members = append(s.members, Member{VM: s.cfg.Self, Domain: s.cfg.Domain})
	}
	slices.SortFunc(s.members, func(a, b Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	var domain []Member
	live := map[ident.VM]bool{}
	for _, member := range s.members {
		live[member.VM] = true
		if member.Domain == s.cfg.Domain {
			domain = append(domain, member)
		}
	}
	s.watches = slices.Contains(topRanked(domain, "watch", s.cfg.WatchersPerDomain), s.cfg.Self)
	s.collect = topRanked(s.members, "collect", s.cfg.Collectors)
	maps.DeleteFunc(s.seen, func(vm ident.VM, _ VersionReport) bool { return !live[vm] })
}

func (s *Spread) tick(now time.Duration) []SpreadAction {
	var actions []SpreadAction
	s.settle(now)
	actions = append(actions, s.watch(now)...)
	actions = append(actions, s.seek(now)...)
	if now >= s.nextGossip {
		s.nextGossip = now + s.cfg.GossipEvery
		actions = append(actions, s.tell(s.pickPeers(1))...)
	}
	if now >= s.nextReport {
		s.nextReport = now + s.cfg.ReportEvery
		actions = append(actions, s.report(now)...)
	}
	return actions
}

// watch reads the head on a watcher, and on any VM that holds nothing yet.
func (s *Spread) watch(now time.Duration) []SpreadAction {
	if s.reading && now-s.readSince >= s.cfg.WatchTimeout {
		s.readFailed(now)
	}
	if s.reading || now < s.readAgain || (s.ready && !s.watches) {
		return nil
	}
	s.reading, s.readSince = true, now
	if s.wanted != nil {
		return []SpreadAction{ReadParts{Hashes: MissingParts(*s.wanted, s.texts)}}
	}
	return []SpreadAction{WatchHead{After: s.revision}}
}

func (s *Spread) readFailed(now time.Duration) {
	s.reading = false
	jitter := time.Duration(s.rng.Int64N(int64(s.cfg.WatchRetry)))
	s.readAgain = now + s.cfg.WatchRetry/2 + jitter
}

func (s *Spread) headRead(now time.Duration, ev HeadRead) []SpreadAction {
	s.reading = false
	s.revision = max(s.revision, ev.Revision)
	if !ev.Found {
		s.ready = true
		s.readAgain = now + s.cfg.WatchRetry
		return nil
	}
	if ev.Head.Version <= s.Version() {
		s.ready = true
		return s.watch(now)
	}
	return s.want(now, ev.Head)
}

// want reads from the service what a newer head names and this VM lacks.
func (s *Spread) want(now time.Duration, head Head) []SpreadAction {
	s.texts = s.held.Texts()
	lacking := MissingParts(head, s.texts)
	if len(lacking) == 0 {
		actions := s.assemble(now, head, s.texts)
		s.ready = s.ready || s.Version() >= head.Version
		return actions
	}
	s.wanted = &head
	s.reading, s.readSince = true, now
	return []SpreadAction{ReadParts{Hashes: lacking}}
}

func (s *Spread) partsRead(now time.Duration, ev PartsRead) []SpreadAction {
	s.reading = false
	if s.wanted == nil {
		return s.watch(now)
	}
	head := *s.wanted
	s.wanted = nil
	maps.Copy(s.texts, ev.Texts)
	if len(MissingParts(head, s.texts)) > 0 {
		s.revision = 0
		s.readAgain = now + s.cfg.WatchRetry
		return nil
	}
	actions := s.assemble(now, head, s.texts)
	s.ready = s.ready || s.Version() >= head.Version
	return append(actions, s.watch(now)...)
}

func (s *Spread) assemble(now time.Duration, head Head, texts map[PartHash]string) []SpreadAction {
	snapshot, err := Assemble(head, texts, s.held.State)
	if err != nil {
		return nil
	}
	return s.adopt(now, snapshot)
}

// adopt puts a newer version in force. The limits are joined with those held,
// so that not even a service that lost its data takes a limit back.
func (s *Spread) adopt(now time.Duration, snapshot Snapshot) []SpreadAction {
	if snapshot.Head.Version <= s.Version() {
		return nil
	}
	snapshot.State = snapshot.State.Join(s.held.State)
	s.held = snapshot
	if !s.isTaken {
		s.isTaken, s.taken = true, now
	}
	s.pullFrom = ""
	s.wanted = nil
	actions := []SpreadAction{Adopted{Snapshot: snapshot}}
	actions = append(actions, s.tell(s.pickPeers(s.cfg.Fanout))...)
	return append(actions, s.report(now)...)
}
