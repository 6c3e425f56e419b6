package membership

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// call is an Ask without an answer.
type call struct {
	id       uint64
	deadline time.Duration
	// vm is who has to answer; empty for a seed.
	vm ident.VM
	// probe is the probe that the call belongs to, or nil.
	probe *probe
	// helper is set when vm probes somebody else for this VM.
	helper bool
	// replyTo is the request of the peer for whom this VM probes, if helping.
	helping bool
	replyTo uint64
	from    ident.VM
	kind    Kind
}

type askOptions struct {
	fresh   bool
	timeout time.Duration
	call    call
}

// ask sends a message to a member.
func (m *Membership) ask(e *entry, msg Message, opt askOptions) {
	known := e.update(false)
	msg.To = &known
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
	m.finish(&msg)
	m.act(Ask{Call: c.id, Addr: addr, NewConnection: opt.fresh, Timeout: opt.timeout, Message: msg})
}

// finish puts this VM's own record and what rides along onto a message. The
// receiver gets the whole record where it is not known to have it.
func (m *Membership) finish(msg *Message) {
	msg.From = m.self.update(msg.To == nil || msg.Full)
	if !msg.Full {
		m.ride(msg)
	}
}

// probeTimeout is longer while this process doubts itself.
func (m *Membership) probeTimeout() time.Duration {
	return m.cfg.ProbeTimeout * time.Duration(1+m.health)
}

// answer takes the outcome of an Ask. A late answer is read but proves nothing
// of the present.
func (m *Membership) answer(ev Answer) {
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.id == ev.Call })
	if i < 0 {
		if ev.OK {
			m.absorb(ev.Message)
		}
		return
	}
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	if ev.OK && c.vm != "" && c.vm != ev.Message.From.VM {
		ev.OK = false // another VM has the address now
	}
	known := len(m.order)
	if ev.OK {
		m.catchingUp = ev.Message.Full
		m.absorb(ev.Message)
		m.catchingUp = false
		m.contact(ev.Message.From.VM)
	}
	if ev.OK && ev.Message.To == nil {
		m.spread(&m.self, true) // the peer does not know this VM
	}
	if c.kind == Sync && ev.OK {
		m.synced(ev.Message, len(m.order) > known)
	}
	m.conclude(c, ev)
}

// contact notes that a member answered or asked just now.
func (m *Membership) contact(vm ident.VM) {
	if e, ok := m.members[vm]; ok {
		e.contact = m.now
	}
}

// conclude hands the outcome to whoever asked.
func (m *Membership) conclude(c *call, ev Answer) {
	switch {
	case c.helping:
		m.reply(c.replyTo, c.from, Message{Kind: IndirectProbe, Failed: !ev.OK})
	case c.probe != nil:
		m.probeAnswered(c, ev)
	}
}

// expireCalls gives up the calls whose time is over.
func (m *Membership) expireCalls() {
	for i := 0; i < len(m.calls); {
		c := m.calls[i]
		if m.now < c.deadline {
			i++
			continue
		}
		m.calls = slices.Delete(m.calls, i, i+1)
		m.conclude(c, Answer{Call: c.id})
	}
}

// reply answers a request of a peer and tells it what is held of it.
func (m *Membership) reply(id uint64, to ident.VM, msg Message) {
	if e, ok := m.members[to]; ok {
		known := e.update(false)
		msg.To = &known
	}
	m.finish(&msg)
	m.act(Reply{Call: id, Message: msg})
}

// request answers a peer.
func (m *Membership) request(ev Request) {
	msg := ev.Message
	m.absorb(msg)
	m.contact(msg.From.VM)
	switch msg.Kind {
	case IndirectProbe:
		m.help(ev)
	case Sync:
		m.reply(ev.Call, msg.From.VM, m.syncAnswer(msg))
	default:
		m.reply(ev.Call, msg.From.VM, Message{Kind: msg.Kind})
	}
}

// help probes a member for a peer, over a new connection.
func (m *Membership) help(ev Request) {
	opt := askOptions{fresh: true, call: call{helping: true, replyTo: ev.Call, from: ev.Message.From.VM}}
	if e, ok := m.members[ev.Message.TargetVM]; ok && e.ControlAddr == ev.Message.Target {
		m.ask(e, Message{Kind: Probe}, opt)
		return
	}
	opt.call.vm = ev.Message.TargetVM
	m.askAddr(ev.Message.Target, Message{Kind: Probe}, opt)
}
