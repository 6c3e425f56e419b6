package dispatch_test

import (
	"time"
)

// arrive admits, queues or rejects the call at its first server.
func (s *simulation) arrive(c *call) {
	first := s.engines[c.choice.Stages[0].Instance.ID]
	switch {
	case first.dead:
		s.handleLostServer(c, first)
	case len(first.running) >= first.Slots && len(first.waiting) >= first.Slots/2:
		s.handleRejection(c, nil)
	case len(first.running) >= first.Slots:
		first.waiting = append(first.waiting, c)
	default:
		s.admitToPath(c)
	}
	c.vm.core.RecordLoadReport(s.now, first.Instance(), len(first.running)+len(first.waiting))
}

// admitToPath admits a call at all servers of its path, or rejects it if one of them
// lacks capacity.
func (s *simulation) admitToPath(c *call) {
	for _, stage := range c.choice.Stages {
		e := s.engines[stage.Instance.ID]
		switch {
		case e.dead:
			s.handleLostServer(c, e)
			return
		case e.loadingUntil > s.now || !e.held.Contains(stage.Layers) ||
			e.usedKV+(c.req.PromptTokens+c.generated)*float64(stage.Layers.Len()) > s.spec.KVCapacity(e.accelerator, e.held.Len()):
			s.handleRejection(c, e)
			return
		}
	}
	first := s.engines[c.choice.Stages[0].Instance.ID]
	first.running[c] = true
	ready := s.now
	for _, stage := range c.choice.Stages {
		e := s.engines[stage.Instance.ID]
		e.active[c] = stage.Layers
		e.usedKV += (c.req.PromptTokens + c.generated) * float64(stage.Layers.Len())
		if s.readInTurn {
			continue
		}
		e.prefillFreeAt = max(e.prefillFreeAt, ready) + s.spec.PrefillTime(e.accelerator, stage.Layers.Len(), s.tokensToRead(e, c, stage.Layers))
		ready = e.prefillFreeAt
	}
	c.lastStep = ready
	if s.readInTurn {
		s.read(c, c.choice.Stages, func() {
			if c.onRead != nil {
				c.onRead()
				c.onRead = nil
			}
		})
	}
}

// detach removes a call from all servers of its path.
func (s *simulation) detach(c *call) {
	for _, stage := range c.choice.Stages {
		e := s.engines[stage.Instance.ID]
		if layers, ok := e.active[c]; ok {
			e.usedKV -= (c.req.PromptTokens + c.generated) * float64(layers.Len())
			delete(e.active, c)
		}
		if e.running[c] {
			delete(e.running, c)
			s.admitWaiting(e)
		}
	}
}

// admitWaiting admits waiting calls while slots are free.
func (s *simulation) admitWaiting(e *engineModel) {
	for len(e.waiting) > 0 && len(e.running) < e.Slots && !e.dead {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.admitToPath(next)
	}
}

// handleRejection handles a 503 of a server that did not run the call. full is the server
// that lacked KV cache or layers; nil if the first server's queue was full.
func (s *simulation) handleRejection(c *call, full *engineModel) {
	s.tally.rejected++
	target := c.choice.Target().Instance
	blamed := target
	if full != nil {
		blamed = full.Instance()
	}
	c.vm.core.Release(c.choice)
	c.req.Avoid[blamed.ID] = true
	if full != nil {
		c.vm.core.Backends.RecordFailure(s.now, blamed, 0)
	}
	c.req.Sends++
	c.req.SentTo[target.ID] = true
	s.send(c)
}

// handleLostServer sends a call again whose path contains a dead server.
func (s *simulation) handleLostServer(c *call, lost *engineModel) {
	c.vm.core.RecordLost(s.now, lost.Instance())
	c.vm.core.Release(c.choice)
	c.req.Avoid[lost.ID] = true
	c.req.Sends++
	c.req.SentTo[c.choice.Target().Instance.ID] = true
	s.send(c)
}

// step advances every running call, once per stepInterval.
func (s *simulation) step() {
	var finished []*call
	for _, e := range s.engineOrder {
		for _, c := range sortedCalls(e.running) {
			if s.advance(c) {
				finished = append(finished, c)
			}
		}
	}
	for _, c := range finished {
		s.finish(c)
	}
	s.after(stepInterval, s.step)
}

// advance generates the tokens since the last step and reports whether the call is
// complete.
func (s *simulation) advance(c *call) bool {
	if c.stalled || c.lastStep >= s.now {
		return false
	}
	perToken := time.Duration(0)
	for i, stage := range c.choice.Stages {
		e := s.engines[stage.Instance.ID]
		perToken += s.spec.StepTime(e.accelerator, stage.Layers.Len(), float64(len(e.active)), c.req.PromptTokens+c.generated)
		if i > 0 && e.Domain != s.engines[c.choice.Stages[i-1].Instance.ID].Domain {
			perToken += 750 * time.Microsecond
		}
	}
	if c.firstToken == 0 {
		c.firstToken = c.lastStep + 4*perToken - c.arrived
		c.vm.core.RecordPromptRead(s.now, c.req, c.choice)
	} else {
		c.maxGap = max(c.maxGap, 4*perToken)
	}
	tokens := min(float64(s.now-c.lastStep)/float64(perToken), c.answerTokens-c.generated)
	c.generated += tokens
	c.req.Begun = true
	c.lastStep = s.now
	for _, stage := range c.choice.Stages {
		s.engines[stage.Instance.ID].usedKV += tokens * float64(stage.Layers.Len())
	}
	return c.generated >= c.answerTokens
}

func (s *simulation) finish(c *call) {
	s.detach(c)
	c.vm.core.RecordSuccess(c.choice)
	c.vm.core.Release(c.choice)
	c.done = true
	if s.prompts != nil {
		s.prompts.firstTokens += c.firstToken
		s.prompts.served++
	}
	if s.onFinish != nil {
		s.onFinish(c)
	}
	if s.contention != nil {
		s.contention.finish(c)
		return
	}
	if c.firstToken <= 500*time.Millisecond && c.maxGap <= 250*time.Millisecond && !c.retried {
		s.tally.inTime++
	} else {
		s.tally.late++
	}
}
