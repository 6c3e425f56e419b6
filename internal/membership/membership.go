package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Membership is the state machine for the entry VMs. It is not safe for concurrent use.
type Membership struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	self memberEntry
	// members holds every other VM; order holds their names, sorted.
	members map[ident.VM]*memberEntry
	order   []ident.VM
	version uint64

	queue            queue
	calls            []*call
	lastCall         uint64
	probes           []*probe
	peers            []ident.VM
	peersStale       bool
	probeRound       []ident.VM // peers not yet probed in this round
	seeds            []string
	statuses         []ServerStatus // by server, sent with the full state
	stateCounts      [Gone + 1]int
	domainProbedAt   map[ident.FailureDomain]time.Duration
	urgentSyncPeer   ident.VM // to sync with at once: it has members unknown here or was unreachable
	localHealth      int
	gossipTurn       int
	superseded       bool
	mergingFullState bool // set while a peer's full state is merged

	started              bool
	lastStep             time.Duration
	nextProbe            time.Duration
	nextUnreachableProbe time.Duration
	nextGossip           time.Duration
	nextSync             time.Duration
	nextJoin             time.Duration

	actions []Action
}

// New returns a Membership whose only member is this VM.
func New(cfg Config) (*Membership, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	self := cfg.Self
	self.State = Alive
	self.Serial = 1
	m := &Membership{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, uint64(self.Instance.Incarnation))),
		self:           memberEntry{Member: self},
		members:        map[ident.VM]*memberEntry{},
		domainProbedAt: map[ident.FailureDomain]time.Duration{},
		peersStale:     true,
		version:        1,
	}
	m.queueUpdate(&m.self, true)
	return m, nil
}

// Self returns this VM's own record.
func (m *Membership) Self() Member { return m.self.Member }

// Version returns a counter that increases whenever the result of Members changes.
func (m *Membership) Version() uint64 { return m.version }

// Members lists every VM that is not gone, including this one, sorted by name.
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

// Lookup returns the record of a VM. Gone VMs are included until GoneRetention ends.
func (m *Membership) Lookup(vm ident.VM) (Member, bool) {
	if vm == m.self.Instance.VM {
		return m.self.Member, true
	}
	if e, ok := m.members[vm]; ok {
		return e.Member, true
	}
	return Member{}, false
}

// LocalHealth returns the health score of this process as in Lifeguard: 0 is healthy,
// larger values lengthen the probe timeout.
func (m *Membership) LocalHealth() int { return m.localHealth }

// Step processes one event. now is the time since the start of the process.
func (m *Membership) Step(now time.Duration, ev Event) []Action {
	m.actions = nil
	m.now = max(now, m.now)
	m.detectPause()
	switch ev := ev.(type) {
	case Tick:
		m.tick()
	case Request:
		m.handleRequest(ev)
	case Answer:
		m.handleAnswer(ev)
	case Seeds:
		m.seeds = slices.Clone(ev.Addrs)
	case Versions:
		m.setVersions(ev)
	case EntryProcess:
		m.setEntryProcess(ev)
	case Leave:
		m.beginLeave()
	case Left:
		m.finishLeave()
	case Publish:
		m.publish(ev.Statuses)
	case Keep:
		m.statuses = ev.Statuses
	}
	return m.actions
}

func (m *Membership) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Membership) tick() {
	if !m.started {
		m.started = true
		m.nextSync = m.now + m.jitter(m.cfg.SyncPeriod)
		m.nextProbe = m.now + m.jitter(m.cfg.ProbePeriod)
	}
	m.expireCalls()
	m.expireSuspicions()
	m.reap()
	m.join()
	m.startDueProbes()
	m.probeUnreachable()
	m.startDueSync()
	m.gossip()
}

// detectPause extends pending suspicions by the time in which this process did not run:
// answers could not be received during that time.
func (m *Membership) detectPause() {
	gap := m.now - m.lastStep
	m.lastStep = m.now
	if gap <= m.cfg.PauseLimit || !m.started {
		return
	}
	m.calls, m.probes = nil, nil
	for _, e := range m.members {
		if e.State == Suspect {
			e.stateSince += gap
		}
	}
	m.nextProbe = m.now + m.jitter(m.cfg.ProbePeriod)
	m.degradeHealth()
}

// degradeHealth lengthens the timeouts of this process, improveHealth shortens them.
func (m *Membership) degradeHealth() { m.localHealth = min(m.localHealth+1, m.cfg.MaxLocalHealth) }
func (m *Membership) improveHealth() { m.localHealth = max(m.localHealth-1, 0) }

// jitter returns a random duration from 0 to d.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *Membership) setVersions(v Versions) {
	if m.self.ConfigVersion == v.Config && m.self.RosterVersion == v.Roster {
		return
	}
	m.self.ConfigVersion, m.self.RosterVersion = v.Config, v.Roster
	m.updateSelf()
}

func (m *Membership) setEntryProcess(ev EntryProcess) {
	if m.self.EntryIncarnation == ev.Incarnation && m.self.EntryDown == ev.Down {
		return
	}
	m.self.EntryIncarnation, m.self.EntryDown = ev.Incarnation, ev.Down
	m.updateSelf()
}

func (m *Membership) beginLeave() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.updateSelf()
	m.broadcast()
}

func (m *Membership) finishLeave() {
	m.self.Leaving = true
	m.self.State = Gone
	m.updateSelf()
	m.broadcast()
}

// updateSelf raises the serial of this VM's record and queues the record for gossip.
func (m *Membership) updateSelf() {
	m.self.Serial++
	m.version++
	m.queueUpdate(&m.self, false)
	m.emit(Changed{Member: m.self.Member})
}

// broadcast sends the queued updates to every reachable peer at once.
func (m *Membership) broadcast() {
	for _, e := range m.reachablePeers() {
		m.ask(e, Message{Kind: Gossip}, askOptions{})
	}
}

func (m *Membership) publish(statuses []ServerStatus) {
	for _, st := range statuses {
		m.queue.put(queueItem{server: st.Server, status: st})
	}
}

// fleetSize returns the number of VMs that are not gone, including this one.
func (m *Membership) fleetSize() int {
	return 1 + len(m.members) - m.stateCounts[Gone]
}
