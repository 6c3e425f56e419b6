package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Membership is the state machine.
type Membership struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	self entry
	// members holds every other VM, order their names sorted.
	members map[ident.VM]*entry
	order   []ident.VM
	version uint64

	queue      queue
	calls      []*call
	lastCall   uint64
	probes     []*probe
	peers      []ident.VM
	peersStale bool
	ring       []ident.VM // peers yet to be probed in this round
	seeds      []string
	notes      []ServerStatus // by server, for peers that lack them
	count      [Gone + 1]int
	checked    map[ident.FailureDomain]time.Duration
	lacking    ident.VM // a peer that knows members which this VM doesn't
	health     int
	gossipTurn int
	superseded bool
	catchingUp bool // while a peer's whole state is read

	started    bool
	lastStep   time.Duration
	nextProbe  time.Duration
	nextHeal   time.Duration
	nextGossip time.Duration
	nextSync   time.Duration
	nextJoin   time.Duration

	actions []Action
}

// New returns a machine that knows nobody but itself.
func New(cfg Config) (*Membership, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	self := cfg.Self
	self.State = Alive
	self.Serial = 1
	m := &Membership{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, uint64(self.Instance.Incarnation))),
		self:       entry{Member: self},
		members:    map[ident.VM]*entry{},
		checked:    map[ident.FailureDomain]time.Duration{},
		peersStale: true,
		version:    1,
	}
	m.spread(&m.self, true)
	return m, nil
}

// Self is this VM's own record.
func (m *Membership) Self() Member { return m.self.Member }

// Version counts the changes of what Members returns.
func (m *Membership) Version() uint64 { return m.version }

// Members lists every VM that is not gone, this one too, by name.
func (m *Membership) Members() []Member {
	list := make([]Member, 0, len(m.order)+1)
	list = append(list, m.self.Member)
	for _, vm := range m.order {
		if e := m.members[vm]; e.State != Gone {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return compareVM(a.Instance.VM, b.Instance.VM)
	})
	return list
}

// Lookup returns the record of a VM, a gone one too while it is kept.
func (m *Membership) Lookup(vm ident.VM) (Member, bool) {
	if vm == m.self.Instance.VM {
		return m.self.Member, true
	}
	if e, ok := m.members[vm]; ok {
		return e.Member, true
	}
	return Member{}, false
}

// LocalHealth is how much this process doubts itself: 0 is healthy.
func (m *Membership) LocalHealth() int { return m.health }

// Step takes one event at time now since the process's start.
func (m *Membership) Step(now time.Duration, ev Event) []Action {
	m.actions = nil
	m.now = max(now, m.now)
	m.noticePause()
	switch ev := ev.(type) {
	case Tick:
		m.tick()
	case Request:
		m.request(ev)
	case Answer:
		m.answer(ev)
	case Seeds:
		m.seeds = slices.Clone(ev.Addrs)
	case Versions:
		m.setVersions(ev)
	case EntryProcess:
		m.setEntry(ev)
	case Leave:
		m.leave()
	case Left:
		m.left()
	case Publish:
		m.publish(ev.Statuses)
	case Keep:
		m.notes = ev.Statuses
	}
	return m.actions
}

func (m *Membership) act(a Action) { m.actions = append(m.actions, a) }

func (m *Membership) tick() {
	if !m.started {
		m.started = true
		m.nextSync = m.now + m.jitter(m.cfg.SyncPeriod)
		m.nextProbe = m.now + m.jitter(m.cfg.ProbePeriod)
	}
	m.expireCalls()
	m.judgeSuspects()
	m.forget()
	m.join()
	m.probeNext()
	m.heal()
	m.syncNext()
	m.gossip()
}

// noticePause gives back the time in which this process did not run: nobody
// answered it because it could not hear.
func (m *Membership) noticePause() {
	gap := m.now - m.lastStep
	m.lastStep = m.now
	if gap <= m.cfg.PauseLimit || !m.started {
		return
	}
	m.calls, m.probes = nil, nil
	for _, e := range m.members {
		if e.State == Suspect {
			e.since += gap
		}
	}
	m.nextProbe = m.now + m.jitter(m.cfg.ProbePeriod)
	m.doubt()
}

// doubt lengthens this process's timeouts, trust shortens them again.
func (m *Membership) doubt() { m.health = min(m.health+1, m.cfg.MaxLocalHealth) }
func (m *Membership) trust() { m.health = max(m.health-1, 0) }

// jitter is a time from 0 to d.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *Membership) setVersions(v Versions) {
	if m.self.ConfigVersion == v.Config && m.self.RosterVersion == v.Roster {
		return
	}
	m.self.ConfigVersion, m.self.RosterVersion = v.Config, v.Roster
	m.changeSelf()
}

func (m *Membership) setEntry(ev EntryProcess) {
	if m.self.EntryIncarnation == ev.Incarnation && m.self.EntryDown == ev.Down {
		return
	}
	m.self.EntryIncarnation, m.self.EntryDown = ev.Incarnation, ev.Down
	m.changeSelf()
}

func (m *Membership) leave() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.changeSelf()
	m.announce()
}

func (m *Membership) left() {
	m.self.Leaving = true
	m.self.State = Gone
	m.changeSelf()
	m.announce()
}

// changeSelf gives this VM's record a new serial and spreads it.
func (m *Membership) changeSelf() {
	m.self.Serial++
	m.version++
	m.spread(&m.self, false)
	m.act(Changed{Member: m.self.Member})
}

// announce tells every peer at once.
func (m *Membership) announce() {
	for _, e := range m.reachablePeers() {
		m.ask(e, Message{Kind: Gossip}, askOptions{})
	}
}

func (m *Membership) publish(notes []ServerStatus) {
	for _, n := range notes {
		m.queue.put(queued{server: n.Server, note: n})
	}
}

// present is the number of VMs that are not gone.
func (m *Membership) present() int {
	return 1 + len(m.members) - m.count[Gone]
}
