package dispatch_test

import (
	"time"
)

// arrive lets the first server take the call, queue it or reject it.
func (w *world) arrive(c *call) {
	first := w.engines[c.choice.Stages[0].Instance.ID]
	switch {
	case first.dead:
		w.failed(c, first)
	case len(first.running) >= first.Slots && len(first.waiting) >= first.Slots/2:
		w.rejected(c, nil)
	case len(first.running) >= first.Slots:
		first.waiting = append(first.waiting, c)
	default:
		w.begin(c)
	}
	c.vm.core.RecordLoadReport(w.now, first.Instance(), len(first.running)+len(first.waiting))
}

// begin admits a call at all parts of its path, or finds one without room.
func (w *world) begin(c *call) {
	for _, p := range c.choice.Stages {
		e := w.engines[p.Instance.ID]
		switch {
		case e.dead:
			w.failed(c, e)
			return
		case e.loading > w.now || !e.held.Contains(p.Layers) ||
			e.used+(c.req.PromptTokens+c.written)*float64(p.Layers.Len()) > w.spec.KVCapacity(e.card, e.held.Len()):
			w.rejected(c, e)
			return
		}
	}
	first := w.engines[c.choice.Stages[0].Instance.ID]
	first.running[c] = true
	ready := w.now
	for _, p := range c.choice.Stages {
		e := w.engines[p.Instance.ID]
		e.through[c] = p.Layers
		e.used += (c.req.PromptTokens + c.written) * float64(p.Layers.Len())
		e.readFree = max(e.readFree, ready) + w.spec.PrefillTime(e.card, p.Layers.Len(), c.req.PromptTokens)
		ready = e.readFree
	}
	c.lastStep = ready
}

// leave takes a call off all servers.
func (w *world) leave(c *call) {
	for _, p := range c.choice.Stages {
		e := w.engines[p.Instance.ID]
		if l, ok := e.through[c]; ok {
			e.used -= (c.req.PromptTokens + c.written) * float64(l.Len())
			delete(e.through, c)
		}
		if e.running[c] {
			delete(e.running, c)
			w.admit(e)
		}
	}
}

// admit lets the next waiting calls begin.
func (w *world) admit(e *engineModel) {
	for len(e.waiting) > 0 && len(e.running) < e.Slots && !e.dead {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.begin(next)
	}
}

// rejected is a 503 that did not run: at names the server at fault, nil for the
// first that is full.
func (w *world) rejected(c *call, at *engineModel) {
	w.tally.shed++
	target := c.choice.Target().Instance
	blamed := target
	if at != nil {
		blamed = at.Instance()
	}
	c.vm.core.Release(c.choice)
	c.req.Avoid[blamed.ID] = true
	if at != nil {
		c.vm.core.Backends.RecordFailure(w.now, blamed, 0)
	}
	c.req.Sends++
	c.req.SentTo[target.ID] = true
	w.send(c)
}

// failed is a send to, or over, a dead server.
func (w *world) failed(c *call, at *engineModel) {
	c.vm.core.RecordLost(w.now, at.Instance())
	c.vm.core.Release(c.choice)
	c.req.Avoid[at.ID] = true
	c.req.Sends++
	c.req.SentTo[c.choice.Target().Instance.ID] = true
	w.send(c)
}

// step moves every running call on.
func (w *world) step() {
	var finished []*call
	for _, e := range w.order {
		for _, c := range sortedCalls(e.running) {
			if w.moveOn(c) {
				finished = append(finished, c)
			}
		}
	}
	for _, c := range finished {
		w.finish(c)
	}
	w.after(stepEvery, w.step)
}

func (w *world) moveOn(c *call) bool {
	if c.stuck || c.lastStep >= w.now {
		return false
	}
	perToken := time.Duration(0)
	for i, p := range c.choice.Stages {
		e := w.engines[p.Instance.ID]
		perToken += w.spec.StepTime(e.card, p.Layers.Len(), float64(len(e.through)), c.req.PromptTokens+c.written)
		if i > 0 && e.Domain != w.engines[c.choice.Stages[i-1].Instance.ID].Domain {
			perToken += 750 * time.Microsecond
		}
	}
	if c.first == 0 {
		c.first = c.lastStep + 4*perToken - c.arrived
	} else {
		c.maxGap = max(c.maxGap, 4*perToken)
	}
	tokens := min(float64(w.now-c.lastStep)/float64(perToken), c.answer-c.written)
	c.written += tokens
	c.req.Begun = true
	c.lastStep = w.now
	for _, p := range c.choice.Stages {
		w.engines[p.Instance.ID].used += tokens * float64(p.Layers.Len())
	}
	return c.written >= c.answer
}

func (w *world) finish(c *call) {
	w.leave(c)
	c.vm.core.RecordSuccess(c.choice)
	c.vm.core.Release(c.choice)
	c.done = true
	if c.first <= 500*time.Millisecond && c.maxGap <= 250*time.Millisecond && !c.came {
		w.tally.inTime++
	} else {
		w.tally.late++
	}
}
