package membership

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// call is an Ask in flight.
type call struct {
	id       uint64
	deadline time.Duration
	// vm is the VM that must answer; empty for a seed.
	vm ident.VM
	// probe is the probe that the call belongs to, or nil.
	probe *probe
	// indirect is set if vm is a helper that probes another VM for this one.
	indirect bool
	// onBehalf is set if this VM probes as a helper for requester; replyTo is the
	// request to answer.
	onBehalf  bool
	replyTo   uint64
	requester ident.VM
	kind      Kind
}

type askOptions struct {
	newConnection bool
	timeout       time.Duration // zero means probeTimeout
	call          call          // the fields that assign the call to a probe or request
}

// ask sends a message to a member.
func (m *Membership) ask(e *memberEntry, msg Message, opt askOptions) {
	record := e.toUpdate(false)
	msg.To = &record
	opt.call.vm = e.Instance.VM
	m.askAddr(e.ControlAddr, msg, opt)
}

func (m *Membership) askAddr(addr string, msg Message, opt askOptions) {
	if opt.timeout == 0 {
		opt.timeout = m.probeTimeout()
	}
	m.lastCall++
	c := opt.call
	c.id = m.lastCall
	c.kind = msg.Kind
	c.deadline = m.now + opt.timeout
	m.calls = append(m.calls, &c)
	m.completeMessage(&msg)
	m.emit(Ask{Call: c.id, Addr: addr, NewConnection: opt.newConnection, Timeout: opt.timeout, Message: msg})
}

// completeMessage adds this VM's own record and queued updates to a message. The record
// includes the static fields if the receiver may lack them.
func (m *Membership) completeMessage(msg *Message) {
	msg.From = m.self.toUpdate(msg.To == nil || msg.Full)
	if !msg.Full {
		m.piggyback(msg)
	}
}

// probeTimeout returns ProbeTimeout, lengthened by this process's LocalHealth.
func (m *Membership) probeTimeout() time.Duration {
	return m.cfg.ProbeTimeout * time.Duration(1+m.localHealth)
}

// handleAnswer processes the outcome of an Ask. The records of a late answer are merged,
// but it does not count as contact.
func (m *Membership) handleAnswer(ev Answer) {
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.id == ev.Call })
	if i < 0 {
		if ev.OK {
			m.mergeMessage(ev.Message)
		}
		return
	}
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	if ev.OK && c.vm != "" && c.vm != ev.Message.From.VM {
		ev.OK = false // another VM uses the address now
	}
	membersBefore := len(m.order)
	if ev.OK {
		m.mergingFullState = ev.Message.Full
		m.mergeMessage(ev.Message)
		m.mergingFullState = false
		m.recordContact(ev.Message.From.VM)
	}
	if ev.OK && ev.Message.To == nil {
		m.queueUpdate(&m.self, true) // the peer has no record of this VM
	}
	if c.kind == Sync && ev.OK {
		m.handleSyncAnswer(ev.Message, len(m.order) > membersBefore)
	}
	m.completeCall(c, ev)
}

// recordContact records that a member answered or sent a request just now.
func (m *Membership) recordContact(vm ident.VM) {
	if e, ok := m.members[vm]; ok {
		e.lastContact = m.now
	}
}

// completeCall passes the outcome of a call to its probe or to the requesting peer.
func (m *Membership) completeCall(c *call, ev Answer) {
	switch {
	case c.onBehalf:
		m.reply(c.replyTo, c.requester, Message{Kind: IndirectProbe, Failed: !ev.OK})
	case c.probe != nil:
		m.probeAnswered(c, ev)
	}
}

// expireCalls fails the calls whose deadline has passed.
func (m *Membership) expireCalls() {
	for i := 0; i < len(m.calls); {
		c := m.calls[i]
		if m.now < c.deadline {
			i++
			continue
		}
		m.calls = slices.Delete(m.calls, i, i+1)
		m.completeCall(c, Answer{Call: c.id})
	}
}

// reply answers a peer's request and includes this VM's record of the peer, so that the
// peer can refute a false state.
func (m *Membership) reply(id uint64, to ident.VM, msg Message) {
	if e, ok := m.members[to]; ok {
		record := e.toUpdate(false)
		msg.To = &record
	}
	m.completeMessage(&msg)
	m.emit(Reply{Call: id, Message: msg})
}

// handleRequest merges and answers a peer's request.
func (m *Membership) handleRequest(ev Request) {
	msg := ev.Message
	m.mergeMessage(msg)
	m.recordContact(msg.From.VM)
	switch msg.Kind {
	case IndirectProbe:
		m.probeForPeer(ev)
	case Sync:
		m.reply(ev.Call, msg.From.VM, m.answerSync(msg))
	default:
		m.reply(ev.Call, msg.From.VM, Message{Kind: msg.Kind})
	}
}

// probeForPeer probes a VM on behalf of a peer, over a new connection.
func (m *Membership) probeForPeer(ev Request) {
	opt := askOptions{newConnection: true, call: call{onBehalf: true, replyTo: ev.Call, requester: ev.Message.From.VM}}
	if e, ok := m.members[ev.Message.TargetVM]; ok && e.ControlAddr == ev.Message.TargetAddr {
		m.ask(e, Message{Kind: Probe}, opt)
		return
	}
	opt.call.vm = ev.Message.TargetVM
	m.askAddr(ev.Message.TargetAddr, Message{Kind: Probe}, opt)
}
