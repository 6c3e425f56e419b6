package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Spread is the state machine that keeps this VM at the newest accepted version and
// distributes it to peers.
type Spread struct {
	cfg        SpreadConfig
	rng        *rand.Rand
	members    []Member
	isWatcher  bool
	collectors []ident.VM

	held  Snapshot
	ready bool
	// answeredDomains holds the other failure domains that reported no newer version than
	// the held one while this VM was not ready; firstAdoptedAt is when the first version
	// was adopted.
	answeredDomains map[ident.FailureDomain]bool
	firstAdoptedAt  time.Duration
	hasAdopted      bool
	// revision is that of the last head read from the service; zero reads it again at once.
	revision uint64
	// pendingHead is a head read from the service whose parts are still being read;
	// pendingTexts holds the parts already known, by hash.
	pendingHead  *Head
	pendingTexts map[PartHash]string

	readInFlight bool
	readStarted  time.Duration
	nextRead     time.Duration
	pullFrom     ident.VM
	pullStarted  time.Duration
	nextGossip   time.Duration
	nextReport   time.Duration
	nextSeek     time.Duration
	reports      map[ident.VM]VersionReport
}

// NewSpread returns a Spread without a version.
func NewSpread(cfg SpreadConfig) (*Spread, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Spread{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, rank(cfg.Self, "spread"))),
		reports: map[ident.VM]VersionReport{}, pendingTexts: map[PartHash]string{}, answeredDomains: map[ident.FailureDomain]bool{},
		members: []Member{{VM: cfg.Self, Domain: cfg.Domain}},
	}, nil
}

// Version returns the version in force on this VM; zero if there is none.
func (s *Spread) Version() uint64 { return s.held.Head.Version }

// Snapshot returns the configuration in force on this VM.
func (s *Spread) Snapshot() Snapshot { return s.held }

// Ready reports whether this VM may serve. It may once the service confirmed the held
// version or that no version exists, once peers in SeekDomains failure domains reported no
// newer version, or once SeekTimeout has passed since the first adopted version.
func (s *Spread) Ready() bool { return s.ready }

// Watching reports whether this VM watches the head in the service.
func (s *Spread) Watching() bool { return s.isWatcher }

// Collectors lists the VMs that receive the version reports of all VMs.
func (s *Spread) Collectors() []ident.VM { return slices.Clone(s.collectors) }

// VersionReports returns the last version report of each VM.
func (s *Spread) VersionReports() map[ident.VM]VersionReport { return maps.Clone(s.reports) }

// Step processes one event.
func (s *Spread) Step(now time.Duration, ev SpreadEvent) []SpreadAction {
	switch ev := ev.(type) {
	case SpreadTick:
		return s.tick(now)
	case MembersSeen:
		s.setMembers(ev.Members)
		return s.tick(now)
	case HeadRead:
		return s.handleHeadRead(now, ev)
	case PartsRead:
		return s.handlePartsRead(now, ev)
	case ReadFailed:
		s.readFailed(now)
	case PeerVersion:
		return s.handlePeerVersion(now, ev)
	case PeerPull:
		return s.handlePeerPull(ev)
	case PeerParts:
		return s.handlePeerParts(now, ev)
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
	var ownDomain []Member
	live := map[ident.VM]bool{}
	for _, member := range s.members {
		live[member.VM] = true
		if member.Domain == s.cfg.Domain {
			ownDomain = append(ownDomain, member)
		}
	}
	s.isWatcher = slices.Contains(topRanked(ownDomain, "watch", s.cfg.WatchersPerDomain), s.cfg.Self)
	s.collectors = topRanked(s.members, "collect", s.cfg.Collectors)
	maps.DeleteFunc(s.reports, func(vm ident.VM, _ VersionReport) bool { return !live[vm] })
}

func (s *Spread) tick(now time.Duration) []SpreadAction {
	var actions []SpreadAction
	s.updateReady(now)
	actions = append(actions, s.startRead(now)...)
	actions = append(actions, s.seek(now)...)
	if now >= s.nextGossip {
		s.nextGossip = now + s.cfg.GossipEvery
		actions = append(actions, s.sendVersion(s.pickPeers(1))...)
	}
	if now >= s.nextReport {
		s.nextReport = now + s.cfg.ReportEvery
		actions = append(actions, s.report(now)...)
	}
	return actions
}

// startRead reads the head, or pending parts, on a watcher and on any VM that is not ready.
func (s *Spread) startRead(now time.Duration) []SpreadAction {
	if s.readInFlight && now-s.readStarted >= s.cfg.WatchTimeout {
		s.readFailed(now)
	}
	if s.readInFlight || now < s.nextRead || (s.ready && !s.isWatcher) {
		return nil
	}
	s.readInFlight, s.readStarted = true, now
	if s.pendingHead != nil {
		return []SpreadAction{ReadParts{Hashes: MissingParts(*s.pendingHead, s.pendingTexts)}}
	}
	return []SpreadAction{WatchHead{After: s.revision}}
}

func (s *Spread) readFailed(now time.Duration) {
	s.readInFlight = false
	jitter := time.Duration(s.rng.Int64N(int64(s.cfg.WatchRetry)))
	s.nextRead = now + s.cfg.WatchRetry/2 + jitter
}

func (s *Spread) handleHeadRead(now time.Duration, ev HeadRead) []SpreadAction {
	s.readInFlight = false
	s.revision = max(s.revision, ev.Revision)
	if !ev.Found {
		s.ready = true
		s.nextRead = now + s.cfg.WatchRetry
		return nil
	}
	if ev.Head.Version <= s.Version() {
		s.ready = true
		return s.startRead(now)
	}
	return s.fetchParts(now, ev.Head)
}

// fetchParts reads from the service those parts of a newer head that this VM lacks.
func (s *Spread) fetchParts(now time.Duration, head Head) []SpreadAction {
	s.pendingTexts = s.held.Texts()
	missing := MissingParts(head, s.pendingTexts)
	if len(missing) == 0 {
		actions := s.assemble(now, head, s.pendingTexts)
		s.ready = s.ready || s.Version() >= head.Version
		return actions
	}
	s.pendingHead = &head
	s.readInFlight, s.readStarted = true, now
	return []SpreadAction{ReadParts{Hashes: missing}}
}

func (s *Spread) handlePartsRead(now time.Duration, ev PartsRead) []SpreadAction {
	s.readInFlight = false
	if s.pendingHead == nil {
		return s.startRead(now)
	}
	head := *s.pendingHead
	s.pendingHead = nil
	maps.Copy(s.pendingTexts, ev.Texts)
	if len(MissingParts(head, s.pendingTexts)) > 0 {
		s.revision = 0
		s.nextRead = now + s.cfg.WatchRetry
		return nil
	}
	actions := s.assemble(now, head, s.pendingTexts)
	s.ready = s.ready || s.Version() >= head.Version
	return append(actions, s.startRead(now)...)
}

func (s *Spread) assemble(now time.Duration, head Head, texts map[PartHash]string) []SpreadAction {
	snapshot, err := Assemble(head, texts, s.held.State)
	if err != nil {
		return nil
	}
	return s.adopt(now, snapshot)
}

// adopt puts a newer version in force. The limits are joined with the held ones, so that
// even a service that lost its data cannot lower a limit.
func (s *Spread) adopt(now time.Duration, snapshot Snapshot) []SpreadAction {
	if snapshot.Head.Version <= s.Version() {
		return nil
	}
	snapshot.State = snapshot.State.Join(s.held.State)
	s.held = snapshot
	if !s.hasAdopted {
		s.hasAdopted, s.firstAdoptedAt = true, now
	}
	s.pullFrom = ""
	s.pendingHead = nil
	actions := []SpreadAction{Adopted{Snapshot: snapshot}}
	actions = append(actions, s.sendVersion(s.pickPeers(s.cfg.Fanout))...)
	return append(actions, s.report(now)...)
}
