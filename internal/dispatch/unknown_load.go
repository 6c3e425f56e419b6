package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/paths"
)

// spread reduces the candidates while the load of the other VMs is unknown: right after a
// start of all VMs, each one sees idle servers and would choose the fastest of the whole
// fleet, at the moment at which the requests of the outage come back. It leaves the servers
// of other failure domains to their own VMs and, for each request, a random part of the
// others out. Candidates that would no longer cover the model are kept.
func (c *Core) spread(now time.Duration, spec *engine.Spec, r *Request, candidates []paths.Candidate) []paths.Candidate {
	if c.cfg.UnknownLoadShare <= 0 || c.vmCount <= 1 || c.knowsLoads(now) {
		return candidates
	}
	local := candidates[:0:0]
	for _, candidate := range candidates {
		if candidate.Domain == c.cfg.Domain {
			local = append(local, candidate)
		}
	}
	if !paths.Covered(spec, local) {
		return candidates
	}
	drawn := local[:0:0]
	for _, candidate := range local {
		if pairFraction(r.ID, string(candidate.Instance.ID)) >= c.cfg.UnknownLoadShare {
			drawn = append(drawn, candidate)
		}
	}
	if !paths.Covered(spec, drawn) {
		return local
	}
	return drawn
}

// knowsLoads reports whether the sum of all VMs' loads has been known for LoadsSettleTime. The
// first sums lack the VMs that have not sent theirs yet.
func (c *Core) knowsLoads(now time.Duration) bool {
	if !c.Loads.HasFreshTotal(now) {
		c.loadsUnknownAt = now
		return false
	}
	return now-c.loadsUnknownAt >= c.cfg.LoadsSettleTime
}

// pairFraction returns a pseudo-random number in [0, 1), fixed for a request and a server.
func pairFraction(requestID, serverID string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(requestID) // a Digest's Write never fails
	_, _ = d.WriteString("/" + serverID)
	return float64(d.Sum64()>>11) / (1 << 53)
}
