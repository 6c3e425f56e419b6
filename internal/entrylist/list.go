package entrylist

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// grant is what is known of one peer's promise to stay open.
type grant struct {
	peer Peer
	// until is when the promise ends, on this process's clock.
	until time.Duration
	// asked holds the number and time of the request in progress.
	seq     uint64
	askedAt time.Duration
	askAt   time.Duration
}

// phase is where this entry stands in its life.
type phase uint8

const (
	phaseServing phase = iota
	phaseDraining
	phaseClosed
	phaseStopped
)

// List answers callers and decides when this entry closes.
type List struct {
	cfg    Config
	grants map[ident.VM]*grant
	seq    uint64
	phase  phase
	open   int
	// promised is the latest moment until which anybody may count on this
	// entry being open.
	promised time.Duration
}

// New returns the list of an entry that knows no peers.
func New(cfg Config) (*List, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &List{cfg: cfg, grants: map[ident.VM]*grant{}}, nil
}

// Draining reports whether a planned stop has begun.
func (l *List) Draining() bool { return l.phase != phaseServing }

// Promised is the latest moment, on this process's clock, until which a caller
// may use an answer that names this entry.
func (l *List) PromisedUntil() time.Duration { return l.promised }

// Open is the number of requests and streams in progress.
func (l *List) OpenRequests() int { return l.open }

// Step takes one event.
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
		l.open++
	case Closed:
		l.open = max(0, l.open-1)
		return l.finish(now)
	}
	return nil
}

// Ask answers a caller of team. Only an answer that is really given away may be
// asked for: it binds this entry to stay open for its lifetime.
func (l *List) IssueAddresses(now time.Duration, team ident.Team) AddressList {
	candidates := l.usable(now, l.cfg.MinLifetime)
	chosen := choose(candidates, team, l.cfg.MaxAddresses)
	answer := AddressList{Lifetime: l.cfg.Lifetime, Addresses: []Address{}}
	for _, c := range chosen {
		answer.Lifetime = min(answer.Lifetime, c.until-now)
		answer.Addresses = append(answer.Addresses, c.address)
	}
	if l.phase != phaseServing {
		return answer
	}
	l.promised = max(l.promised, now+answer.Lifetime)
	answer.KeyPrefix = call.KeyPrefix(l.cfg.Self, l.issueSecond(now))
	return answer
}

func (l *List) issueSecond(now time.Duration) int64 {
	return l.cfg.StartUnix + int64(now/time.Second)
}

type candidate struct {
	address Address
	until   time.Duration
}

// usable lists the entries that stay open for at least the given time.
func (l *List) usable(now, least time.Duration) []candidate {
	var usable []candidate
	if l.phase == phaseServing {
		self := Address{VM: l.cfg.Self.VM, Addr: l.cfg.Addr, FailureDomain: l.cfg.Domain}
		usable = append(usable, candidate{address: self, until: now + l.cfg.Lifetime})
	}
	for _, vm := range slices.Sorted(maps.Keys(l.grants)) {
		g := l.grants[vm]
		if g.peer.Leaving || g.until-now < least {
			continue
		}
		address := Address{VM: vm, Addr: g.peer.Addr, FailureDomain: g.peer.Domain}
		usable = append(usable, candidate{address: address, until: g.until})
	}
	return usable
}

// choose takes up to n candidates in the order in which they rank for team,
// one from each failure domain before a second from any.
func choose(candidates []candidate, team ident.Team, n int) []candidate {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return compareRank(rank(string(team), a.address.VM), rank(string(team), b.address.VM))
	})
	taken := map[ident.FailureDomain]int{}
	turns := make([][]candidate, len(candidates))
	for _, c := range candidates {
		turn := taken[c.address.FailureDomain]
		taken[c.address.FailureDomain]++
		turns[turn] = append(turns[turn], c)
	}
	spread := slices.Concat(turns...)
	return spread[:min(n, len(spread))]
}

func rank(salt string, vm ident.VM) uint64 {
	return xxhash.Sum64String(salt + "/" + string(vm))
}

func compareRank(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// setPeers keeps grants of a bounded set of peers, spread over the failure
// domains by this VM's own ranking.
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
	for _, c := range choose(candidates, ident.Team(l.cfg.Self.VM), l.cfg.MaxPeers) {
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

func (l *List) tick(now time.Duration) []Action {
	var actions []Action
	for _, vm := range slices.Sorted(maps.Keys(l.grants)) {
		g := l.grants[vm]
		if g.peer.Leaving || now < g.askAt {
			continue
		}
		l.seq++
		g.seq, g.askedAt, g.askAt = l.seq, now, now+l.cfg.RetryEvery
		actions = append(actions, AskGrant{To: g.peer.Instance, Seq: g.seq})
	}
	return append(actions, l.finish(now)...)
}

func (l *List) grantAsked(now time.Duration, ev GrantAsked) []Action {
	if l.phase != phaseServing {
		return []Action{GiveGrant{To: ev.From, Seq: ev.Seq}}
	}
	l.promised = max(l.promised, now+l.cfg.GrantTerm)
	return []Action{GiveGrant{To: ev.From, Seq: ev.Seq, Term: l.cfg.GrantTerm}}
}

// grantGiven counts the promise from the moment of asking: the peer gave it
// later than that.
func (l *List) grantGiven(ev GrantGiven) {
	g, ok := l.grants[ev.From.VM]
	if !ok || g.peer.Instance != ev.From || g.seq != ev.Seq {
		return
	}
	if ev.Term == 0 {
		g.peer.Leaving = true
		return
	}
	g.until = max(g.until, g.askedAt+ev.Term)
	g.askAt = g.askedAt + l.cfg.RefreshEvery
}

func (l *List) drain(now time.Duration) []Action {
	if l.phase != phaseServing {
		return nil
	}
	l.phase = phaseDraining
	return append([]Action{AnnounceLeaving{}}, l.finish(now)...)
}

// finish closes and stops a draining entry as soon as it may.
func (l *List) finish(now time.Duration) []Action {
	var actions []Action
	if l.phase == phaseDraining && now >= l.promised+l.cfg.Slack {
		l.phase = phaseClosed
		actions = append(actions, CloseListener{})
	}
	if l.phase == phaseClosed && l.open == 0 {
		l.phase = phaseStopped
		actions = append(actions, Stop{})
	}
	return actions
}
