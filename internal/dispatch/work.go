package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/loads"
)

// linkKey is the key of the cross-domain link in load messages.
const linkKey loads.Key = 0

// linkUtilization returns the fraction of the cross-domain link's usable share that all
// VMs together use; 0 if the link has no limit.
func (c *Core) linkUtilization(now time.Duration, r *Request) float64 {
	capacity := r.Service.Engine.CrossDomainTokensPerSecond() * maxLinkShare
	if capacity <= 0 {
		return 0
	}
	own := loads.Load{TokenLayers: c.crossDomainLink.rate(now)}
	if !c.Loads.HasFreshTotal(now) {
		return own.TokenLayers * float64(c.vmCount) / capacity // all VMs may have just started: assume equal rates
	}
	return (own.TokenLayers + c.Loads.EstimateOthers(now, linkKey, own).TokenLayers) / capacity
}

// addWork adds the load of a choice to its servers, and its tokens to the cross-domain link
// for each crossing.
func (c *Core) addWork(now time.Duration, ch *Choice) {
	crossings := 0
	for i := 1; i < len(ch.Stages); i++ {
		if c.domainOf(ch.Stages[i]) != c.domainOf(ch.Stages[i-1]) {
			crossings++
		}
	}
	if crossings > 0 {
		c.crossDomainLink.add(now, ch.tokens*float64(crossings))
	}
	c.addLoad(ch)
}

// addLoad adds the load of a choice to its servers.
func (c *Core) addLoad(ch *Choice) {
	for i := range ch.Stages {
		c.Backends.AddWork(ch.Stages[i].Instance, ch.work(i))
	}
}

// work returns the work of a choice at the server of one of its stages.
func (ch *Choice) work(stage int) backend.Work {
	w := backend.Work{Streams: 1, TokenLayers: ch.tokens * float64(ch.Stages[stage].Layers.Len())}
	if stage == 0 {
		w.FirstStage = 1
	}
	return w
}

func loadOf(w backend.Work) loads.Load {
	return loads.Load{Streams: w.Streams, FirstStage: w.FirstStage, TokenLayers: w.TokenLayers}
}

// Release removes the load of a choice from its servers.
func (c *Core) Release(ch *Choice) {
	for i := range ch.Stages {
		c.Backends.RemoveWork(ch.Stages[i].Instance, ch.work(i))
	}
}

// RecordSuccess records that all servers of a choice completed their work.
func (c *Core) RecordSuccess(ch *Choice) {
	for _, stage := range ch.Stages {
		c.Backends.RecordSuccess(stage.Instance)
	}
}

// OwnLoads returns this VM's work in progress on each server, and its token rate over
// the cross-domain link under linkKey.
func (c *Core) OwnLoads(now time.Duration) map[loads.Key]loads.Load {
	out := map[loads.Key]loads.Load{}
	if rate := c.crossDomainLink.rate(now); rate > 0 {
		out[linkKey] = loads.Load{TokenLayers: rate}
	}
	for _, id := range c.Backends.IDs() {
		if s := c.Backends.Get(id); s.OwnWork.Streams > 0 {
			out[LoadKey(s.Instance())] = loadOf(s.OwnWork)
		}
	}
	return out
}
