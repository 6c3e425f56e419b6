package entrylist

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// grant is the state of one peer's grant to stay open.
type grant struct {
	peer Peer
	// openUntil is when the grant expires, on this process's clock.
	openUntil time.Duration
	// seq and requestedAt identify the last request. nextRequestAt is when the next one
	// is due.
	seq           uint64
	requestedAt   time.Duration
	nextRequestAt time.Duration
}

// phase is the stage of this entry's planned shutdown.
type phase uint8

const (
	phaseServing phase = iota
	phaseDraining
	phaseClosed
	phaseStopped
)

// List issues address lists to callers and decides when this entry closes.
type List struct {
	cfg          Config
	grants       map[ident.VM]*grant
	seq          uint64
	phase        phase
	openRequests int
	// promisedUntil is the latest time until which a caller or peer may rely on this
	// entry being open.
	promisedUntil time.Duration
}

// New returns a List without peers.
func New(cfg Config) (*List, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &List{cfg: cfg, grants: map[ident.VM]*grant{}}, nil
}

// Draining reports whether a planned shutdown has begun.
func (l *List) Draining() bool { return l.phase != phaseServing }

// PromisedUntil returns the latest time, on this process's clock, until which a caller
// may use a list that contains this entry.
func (l *List) PromisedUntil() time.Duration { return l.promisedUntil }

// OpenRequests returns the number of requests and streams in progress.
func (l *List) OpenRequests() int { return l.openRequests }

// Step handles one event at time now and returns the actions to perform.
func (l *List) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		return l.tick(now)
	case Peers:
		l.setPeers(ev.Peers)
		return l.tick(now)
	case GrantAsked:
		return l.grantAsked(now, ev)
	case GrantGiven:
		l.grantGiven(ev)
	case Drain:
		return l.drain(now)
	case Opened:
		l.openRequests++
	case Closed:
		l.openRequests = max(0, l.openRequests-1)
		return l.advanceDrain(now)
	}
	return nil
}

// IssueAddresses returns the list for a caller of team. It commits this entry to stay
// open for the list's lifetime, so call it only for a list that is sent to a caller.
func (l *List) IssueAddresses(now time.Duration, team ident.Team) AddressList {
	candidates := l.eligible(now, l.cfg.MinLifetime)
	chosen := selectCandidates(candidates, team, l.cfg.MaxAddresses)
	reply := AddressList{Lifetime: l.cfg.Lifetime, Addresses: []Address{}}
	for _, c := range chosen {
		reply.Lifetime = min(reply.Lifetime, c.openUntil-now)
		reply.Addresses = append(reply.Addresses, c.address)
	}
	if l.phase != phaseServing {
		return reply
	}
	l.promisedUntil = max(l.promisedUntil, now+reply.Lifetime)
	reply.KeyPrefix = call.KeyPrefix(l.cfg.Self, l.issueSecond(now))
	return reply
}

func (l *List) issueSecond(now time.Duration) int64 {
	return l.cfg.StartUnix + int64(now/time.Second)
}

// candidate is an entry that may be listed, or a peer whose grant may be held.
type candidate struct {
	address   Address
	openUntil time.Duration
}

// eligible lists the entries that are certain to stay open for at least minRemaining.
func (l *List) eligible(now, minRemaining time.Duration) []candidate {
	var eligible []candidate
	if l.phase == phaseServing {
		self := Address{VM: l.cfg.Self.VM, Addr: l.cfg.Addr, FailureDomain: l.cfg.Domain}
		eligible = append(eligible, candidate{address: self, openUntil: now + l.cfg.Lifetime})
	}
	for _, vm := range slices.Sorted(maps.Keys(l.grants)) {
		g := l.grants[vm]
		if g.peer.Leaving || g.openUntil-now < minRemaining {
			continue
		}
		address := Address{VM: vm, Addr: g.peer.Addr, FailureDomain: g.peer.Domain}
		eligible = append(eligible, candidate{address: address, openUntil: g.openUntil})
	}
	return eligible
}

// selectCandidates returns up to n candidates in the order of their rank for team, one
// of each failure domain before a second of any.
func selectCandidates(candidates []candidate, team ident.Team, n int) []candidate {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return compareHashes(rendezvousHash(string(team), a.address.VM), rendezvousHash(string(team), b.address.VM))
	})
	perDomain := map[ident.FailureDomain]int{}
	rounds := make([][]candidate, len(candidates))
	for _, c := range candidates {
		round := perDomain[c.address.FailureDomain]
		perDomain[c.address.FailureDomain]++
		rounds[round] = append(rounds[round], c)
	}
	ordered := slices.Concat(rounds...)
	return ordered[:min(n, len(ordered))]
}

func rendezvousHash(salt string, vm ident.VM) uint64 {
	return xxhash.Sum64String(salt + "/" + string(vm))
}

func compareHashes(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// setPeers keeps grants of at most MaxPeers peers, spread over the failure domains and
// ranked by this VM's name.
func (l *List) setPeers(peers []Peer) {
	candidates := make([]candidate, 0, len(peers))
	byVM := map[ident.VM]Peer{}
	for _, peer := range peers {
		if peer.Instance.VM == l.cfg.Self.VM {
			continue
		}
		byVM[peer.Instance.VM] = peer
		candidates = append(candidates, candidate{address: Address{VM: peer.Instance.VM, FailureDomain: peer.Domain}})
	}
	chosen := map[ident.VM]bool{}
	for _, c := range selectCandidates(candidates, ident.Team(l.cfg.Self.VM), l.cfg.MaxPeers) {
		chosen[c.address.VM] = true
	}
	maps.DeleteFunc(l.grants, func(vm ident.VM, g *grant) bool {
		return !chosen[vm] || g.peer.Instance != byVM[vm].Instance
	})
	for vm := range chosen {
		if l.grants[vm] == nil {
			l.grants[vm] = &grant{}
		}
		l.grants[vm].peer = byVM[vm]
	}
}

// tick requests the grants that are due.
func (l *List) tick(now time.Duration) []Action {
	var actions []Action
	for _, vm := range slices.Sorted(maps.Keys(l.grants)) {
		g := l.grants[vm]
		if g.peer.Leaving || now < g.nextRequestAt {
			continue
		}
		l.seq++
		g.seq, g.requestedAt, g.nextRequestAt = l.seq, now, now+l.cfg.RetryEvery
		actions = append(actions, AskGrant{To: g.peer.Instance, Seq: g.seq})
	}
	return append(actions, l.advanceDrain(now)...)
}

func (l *List) grantAsked(now time.Duration, ev GrantAsked) []Action {
	if l.phase != phaseServing {
		return []Action{GiveGrant{To: ev.From, Seq: ev.Seq}}
	}
	l.promisedUntil = max(l.promisedUntil, now+l.cfg.GrantTerm)
	return []Action{GiveGrant{To: ev.From, Seq: ev.Seq, Term: l.cfg.GrantTerm}}
}

// grantGiven counts the term from the moment of the request, because the peer made the
// grant later than that.
func (l *List) grantGiven(ev GrantGiven) {
	g, ok := l.grants[ev.From.VM]
	if !ok || g.peer.Instance != ev.From || g.seq != ev.Seq {
		return
	}
	if ev.Term == 0 {
		g.peer.Leaving = true
		return
	}
	g.openUntil = max(g.openUntil, g.requestedAt+ev.Term)
	g.nextRequestAt = g.requestedAt + l.cfg.RefreshEvery
}

func (l *List) drain(now time.Duration) []Action {
	if l.phase != phaseServing {
		return nil
	}
	l.phase = phaseDraining
	return append([]Action{AnnounceLeaving{}}, l.advanceDrain(now)...)
}

// advanceDrain closes a draining entry once every list and grant that contains it has
// expired, and stops it once its last request has ended.
func (l *List) advanceDrain(now time.Duration) []Action {
	var actions []Action
	if l.phase == phaseDraining && now >= l.promisedUntil+l.cfg.Slack {
		l.phase = phaseClosed
		actions = append(actions, CloseListener{})
	}
	if l.phase == phaseClosed && l.openRequests == 0 {
		l.phase = phaseStopped
		actions = append(actions, Stop{})
	}
	return actions
}
