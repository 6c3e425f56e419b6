package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/ident"
)

func compareVM(a, b ident.VM) int { return cmp.Compare(a, b) }

// absorb takes over everything that a message says.
func (m *Membership) absorb(msg Message) {
	m.merge(msg.From, msg.From.VM)
	if msg.To != nil {
		m.merge(*msg.To, msg.From.VM)
	}
	for _, u := range msg.Updates {
		m.merge(u, msg.From.VM)
	}
	if len(msg.Statuses) > 0 {
		m.act(Heard{Statuses: msg.Statuses})
	}
}

// merge takes over one update if it is newer than what is held.
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
		m.lacking = from
		return
	}
	if !known {
		m.add(u)
		return
	}
	switch c := e.compare(u); {
	case c > 0:
		m.replace(e, u, from)
	case c == 0 && u.State == Suspect:
		m.confirm(e, u.Accusers)
	}
}

// mergeSelf refutes what is wrong about this VM.
func (m *Membership) mergeSelf(u Update) {
	switch {
	case u.Incarnation > m.self.Instance.Incarnation:
		if !m.superseded {
			m.superseded = true
			m.act(Superseded{By: u.Incarnation})
		}
	case u.Incarnation < m.self.Instance.Incarnation:
		m.spread(&m.self, true)
	case u.State != m.self.State && u.State != Alive && u.Serial >= m.self.Serial:
		m.self.Serial = u.Serial
		m.doubt()
		m.changeSelf()
	}
}

func (m *Membership) add(u Update) {
	e := &entry{contact: -1, since: m.now, accusers: u.Accusers}
	e.apply(u)
	m.members[u.VM] = e
	i, _ := slices.BinarySearch(m.order, u.VM)
	m.order = slices.Insert(m.order, i, u.VM)
	m.changed(e, true, false)
}

func (m *Membership) replace(e *entry, u Update, from ident.VM) {
	restarted := u.Incarnation > e.Instance.Incarnation
	was := e.State
	e.apply(u)
	if restarted {
		e.contact = -1
	}
	if restarted || e.State != was || e.State == Suspect {
		e.since = m.now
	}
	if was == Unreachable && from == u.VM {
		m.lacking = from // the cut has healed: compare the whole state
	}
	e.accusing = false
	e.accusers = u.Accusers
	m.changed(e, restarted || was == Gone, restarted)
	if e.State == Suspect && m.isPeer(u.VM) {
		m.startProbe(e, true)
	}
}

// changed spreads a record and tells the rest of the VM.
func (m *Membership) changed(e *entry, static, restarted bool) {
	m.version++
	m.peersStale = true
	m.recount()
	m.spread(e, static)
	m.act(Changed{Member: e.Member, Restarted: restarted})
}

// confirm adds accusers to a suspicion.
func (m *Membership) confirm(e *entry, accusers []ident.VM) {
	before := len(e.accusers)
	for _, a := range accusers {
		if len(e.accusers) <= m.cfg.Confirmations && !slices.Contains(e.accusers, a) {
			e.accusers = append(slices.Clip(e.accusers), a)
		}
	}
	if len(e.accusers) > before {
		m.spread(e, false)
	}
}

// forget drops the records of VMs that are gone for long, and gives up on those
// that were unreachable for too long.
func (m *Membership) forget() {
	if m.count[Unreachable]+m.count[Gone] == 0 {
		return
	}
	m.order = slices.DeleteFunc(m.order, func(vm ident.VM) bool {
		e := m.members[vm]
		if e.State == Unreachable && m.now-e.since >= m.cfg.UnreachableTimeout {
			m.setState(e, Gone)
		}
		if e.State != Gone || m.now-e.since < m.cfg.GoneRetention {
			return false
		}
		delete(m.members, vm)
		m.recount()
		return true
	})
}

// recount counts the members by state.
func (m *Membership) recount() {
	m.count = [Gone + 1]int{}
	for _, e := range m.members {
		m.count[e.State]++
	}
}

// setState changes a member's state by this VM's own judgement.
func (m *Membership) setState(e *entry, s State) {
	e.State = s
	e.since = m.now
	e.accusing = s == Suspect
	m.changed(e, false, false)
}

// digest is a hash over the members that are not gone.
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
	for _, n := range m.notes {
		_, _ = h.WriteString(string(n.Server))
		fields = binary.LittleEndian.AppendUint64(fields[:0], n.Epoch)
		_, _ = h.Write(append(fields, byte(rank(n))))
	}
	return h.Sum64()
}
