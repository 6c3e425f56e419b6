package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/fleet"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// pipeKey stands for the pipe between failure domains in messages of loads.
const pipeKey loads.Key = 0

// pipeUse is the part of the pipe's plannable share that is in use, by all VMs.
func (c *Core) pipeUse(now time.Duration, r *Request) float64 {
	most := r.Service.Engine.PipeTokens() * pipeFull
	if most <= 0 {
		return 0
	}
	own := loads.Load{TokenLayers: c.pipe.rate(now)}
	if !c.Loads.Known(now) {
		return own.TokenLayers * float64(c.vms) / most // all VMs may have started just now
	}
	return (own.TokenLayers + c.Loads.Others(now, pipeKey, own).TokenLayers) / most
}

func (c *Core) hold(now time.Duration, ch *Choice) {
	crossings := 0
	for i := 1; i < len(ch.Parts); i++ {
		if c.domainOf(ch.Parts[i]) != c.domainOf(ch.Parts[i-1]) {
			crossings++
		}
	}
	if crossings > 0 {
		c.pipe.add(now, ch.tokens*float64(crossings))
	}
	for i := range ch.Parts {
		c.Fleet.Begin(ch.Parts[i].Instance, ch.work(i))
	}
}

// work is what a choice means for the server of one of its parts.
func (ch *Choice) work(part int) fleet.Work {
	w := fleet.Work{Streams: 1, TokenLayers: ch.tokens * float64(ch.Parts[part].Layers.Len())}
	if part == 0 {
		w.Firsts = 1
	}
	return w
}

func loadOf(w fleet.Work) loads.Load {
	return loads.Load{Streams: w.Streams, Firsts: w.Firsts, TokenLayers: w.TokenLayers}
}

// Release takes the load of a choice off again.
func (c *Core) Release(ch *Choice) {
	for i := range ch.Parts {
		c.Fleet.End(ch.Parts[i].Instance, ch.work(i))
	}
}

// Worked records that the servers of a choice did their work.
func (c *Core) Worked(ch *Choice) {
	for _, p := range ch.Parts {
		c.Fleet.Worked(p.Instance)
	}
}

// OwnLoads is this VM's work in progress on each server.
func (c *Core) OwnLoads(now time.Duration) map[loads.Key]loads.Load {
	out := map[loads.Key]loads.Load{}
	if rate := c.pipe.rate(now); rate > 0 {
		out[pipeKey] = loads.Load{TokenLayers: rate}
	}
	for _, id := range c.Fleet.IDs() {
		if s := c.Fleet.Get(id); s.Own.Streams > 0 {
			out[LoadKey(s.Instance())] = loadOf(s.Own)
		}
	}
	return out
}
