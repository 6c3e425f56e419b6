package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
)

func compareVM(a, b ident.VM) int { return cmp.Compare(a, b) }

// mergeMessage merges all records of a message and passes on its statuses.
func (m *Membership) mergeMessage(msg Message) {
	m.merge(msg.From, msg.From.VM)
	if msg.To != nil {
		m.merge(*msg.To, msg.From.VM)
	}
	for _, u := range msg.Updates {
		m.merge(u, msg.From.VM)
	}
	if len(msg.Statuses) > 0 {
		m.emit(Heard{Statuses: msg.Statuses})
	}
}

// merge applies an update received from another VM if it is newer than the stored record.
// An update of an unknown VM or incarnation that lacks the static fields triggers a sync
// with that VM.
func (m *Membership) merge(u Update, from ident.VM) {
	if u.VM == "" || u.State > Gone {
		return
	}
	if u.VM == m.self.Instance.VM {
		m.mergeSelf(u)
		return
	}
	e, known := m.members[u.VM]
	incomplete := u.Static == nil && u.State != Gone
	if !known && incomplete || known && u.Incarnation > e.Instance.Incarnation && incomplete {
		m.urgentSyncPeer = from
		return
	}
	if !known {
		m.addMember(u)
		return
	}
	switch c := e.compare(u); {
	case c > 0:
		m.replaceRecord(e, u, from)
	case c == 0 && u.State == Suspect:
		m.confirm(e, u.Confirmers)
	}
}

// mergeSelf refutes a false state of this VM and detects a newer incarnation of it.
func (m *Membership) mergeSelf(u Update) {
	switch {
	case u.Incarnation > m.self.Instance.Incarnation:
		if !m.superseded {
			m.superseded = true
			m.emit(Superseded{By: u.Incarnation})
		}
	case u.Incarnation < m.self.Instance.Incarnation:
		m.queueUpdate(&m.self, true)
	case u.State != m.self.State && u.State != Alive && u.Serial >= m.self.Serial:
		m.self.Serial = u.Serial
		m.degradeHealth()
		m.updateSelf()
	}
}

func (m *Membership) addMember(u Update) {
	e := &memberEntry{lastContact: -1, stateSince: m.now, confirmers: u.Confirmers}
	e.apply(u)
	m.members[u.VM] = e
	i, _ := slices.BinarySearch(m.order, u.VM)
	m.order = slices.Insert(m.order, i, u.VM)
	m.recordChanged(e, true, false)
}

func (m *Membership) replaceRecord(e *memberEntry, u Update, from ident.VM) {
	restarted := u.Incarnation > e.Instance.Incarnation
	previous := e.State
	e.apply(u)
	if restarted {
		e.lastContact = -1
	}
	if restarted || e.State != previous || e.State == Suspect {
		e.stateSince = m.now
	}
	if previous == Unreachable && from == u.VM {
		m.urgentSyncPeer = from // the partition has healed: compare the full state
	}
	e.suspectedHere = false
	e.confirmers = u.Confirmers
	m.recordChanged(e, restarted || previous == Gone, restarted)
	if e.State == Suspect && m.isPeer(u.VM) {
		m.startProbe(e, true)
	}
}

// recordChanged queues a changed record for gossip and emits Changed.
func (m *Membership) recordChanged(e *memberEntry, withStatic, restarted bool) {
	m.version++
	m.peersStale = true
	m.recountStates()
	m.queueUpdate(e, withStatic)
	m.emit(Changed{Member: e.Member, Restarted: restarted})
}

// confirm adds confirmers to a suspicion, up to the first one and Confirmations others.
func (m *Membership) confirm(e *memberEntry, confirmers []ident.VM) {
	before := len(e.confirmers)
	for _, vm := range confirmers {
		if len(e.confirmers) <= m.cfg.Confirmations && !slices.Contains(e.confirmers, vm) {
			e.confirmers = append(slices.Clip(e.confirmers), vm)
		}
	}
	if len(e.confirmers) > before {
		m.queueUpdate(e, false)
	}
}

// reap deletes the records of VMs that have been gone for GoneRetention, and marks VMs
// as gone that have been unreachable for UnreachableTimeout.
func (m *Membership) reap() {
	if m.stateCounts[Unreachable]+m.stateCounts[Gone] == 0 {
		return
	}
	m.order = slices.DeleteFunc(m.order, func(vm ident.VM) bool {
		e := m.members[vm]
		if e.State == Unreachable && m.now-e.stateSince >= m.cfg.UnreachableTimeout {
			m.setState(e, Gone)
		}
		if e.State != Gone || m.now-e.stateSince < m.cfg.GoneRetention {
			return false
		}
		delete(m.members, vm)
		m.recountStates()
		return true
	})
}

// recountStates counts the members by state.
func (m *Membership) recountStates() {
	m.stateCounts = [Gone + 1]int{}
	for _, e := range m.members {
		m.stateCounts[e.State]++
	}
}

// setState changes the state of a member as a result of this VM's own probes or timers.
func (m *Membership) setState(e *memberEntry, s State) {
	e.State = s
	e.stateSince = m.now
	e.suspectedHere = s == Suspect
	m.recordChanged(e, false, false)
}

// digest hashes the members that are not gone and the backend server statuses.
func (m *Membership) digest() uint64 {
	var h xxhash.Digest
	h.Reset()
	var fields []byte
	for _, mem := range m.Members() {
		_, _ = h.WriteString(string(mem.Instance.VM))
		fields = binary.LittleEndian.AppendUint64(fields[:0], uint64(mem.Instance.Incarnation))
		fields = binary.LittleEndian.AppendUint64(fields, mem.Serial)
		_, _ = h.Write(append(fields, byte(mem.State)))
	}
	for _, st := range m.statuses {
		_, _ = h.WriteString(string(st.Server))
		fields = binary.LittleEndian.AppendUint64(fields[:0], st.Epoch)
		_, _ = h.Write(append(fields, byte(leavingRank(st))))
	}
	return h.Sum64()
}
