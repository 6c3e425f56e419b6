package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// pipeKey stands for the pipe between failure domains in messages of loads.
const pipeKey loads.Key = 0

// pipeUse is the part of the pipe's plannable share that is in use, by all VMs.
func (c *Core) pipeUse(now time.Duration, r *Request) float64 {
	most := r.Service.Engine.CrossDomainTokensPerSecond() * pipeFull
	if most <= 0 {
		return 0
	}
	own := loads.Load{TokenLayers: c.pipe.rate(now)}
	if !c.Loads.HasFreshTotal(now) {
		return own.TokenLayers * float64(c.vms) / most // all VMs may have started just now
	}
	return (own.TokenLayers + c.Loads.EstimateOthers(now, pipeKey, own).TokenLayers) / most
}

func (c *Core) hold(now time.Duration, ch *Choice) {
	crossings := 0
	for i := 1; i < len(ch.Stages); i++ {
		if c.domainOf(ch.Stages[i]) != c.domainOf(ch.Stages[i-1]) {
			crossings++
		}
	}
	if crossings > 0 {
		c.pipe.add(now, ch.tokens*float64(crossings))
	}
	for i := range ch.Stages {
		c.Backends.AddWork(ch.Stages[i].Instance, ch.work(i))
	}
}

// work is what a choice means for the server of one of its parts.
func (ch *Choice) work(part int) backend.Work {
	w := backend.Work{Streams: 1, TokenLayers: ch.tokens * float64(ch.Stages[part].Layers.Len())}
	if part == 0 {
		w.FirstStage = 1
	}
	return w
}

func loadOf(w backend.Work) loads.Load {
	return loads.Load{Streams: w.Streams, FirstStage: w.FirstStage, TokenLayers: w.TokenLayers}
}

// Release takes the load of a choice off again.
func (c *Core) Release(ch *Choice) {
	for i := range ch.Stages {
		c.Backends.RemoveWork(ch.Stages[i].Instance, ch.work(i))
	}
}

// Worked records that the servers of a choice did their work.
func (c *Core) RecordSuccess(ch *Choice) {
	for _, p := range ch.Stages {
		c.Backends.RecordSuccess(p.Instance)
	}
}

// OwnLoads is this VM's work in progress on each server.
func (c *Core) OwnLoads(now time.Duration) map[loads.Key]loads.Load {
	out := map[loads.Key]loads.Load{}
	if rate := c.pipe.rate(now); rate > 0 {
		out[pipeKey] = loads.Load{TokenLayers: rate}
	}
	for _, id := range c.Backends.IDs() {
		if s := c.Backends.Get(id); s.OwnWork.Streams > 0 {
			out[LoadKey(s.Instance())] = loadOf(s.OwnWork)
		}
	}
	return out
}
