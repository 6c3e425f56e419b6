package limits

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/memnet"
)

// localBucket is a token bucket on one VM.
type localBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *localBucket) take(now time.Duration, n int64) bool {
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.burst)
	b.at = now
	if b.level < float64(n) {
		return false
	}
	b.level -= float64(n)
	return true
}

// equalShares is the baseline in which each VM admits an equal share of the limit.
type equalShares struct{ localBucket }

func newEqualShares(rate, burst float64, vms int) *equalShares {
	return &equalShares{localBucket{rate: rate / float64(vms), burst: max(1, burst/float64(vms))}}
}

func (e *equalShares) step(time.Duration, any) bool { return true }

// gossipShares is the baseline in which VMs gossip their demand, and each takes a
// share of the limit in proportion to its part of the total known demand.
type gossipShares struct {
	localBucket
	f                   *fleet
	host                memnet.Host
	peers               []memnet.Host
	fullRate, fullBurst float64
	offered             float64
	demands             map[memnet.Host]gossipDemand
	nextGossip          time.Duration
	lastGossip          time.Duration
	gossipFanout        int
	demandTTL           time.Duration
}

type gossipDemand struct {
	demand     float64
	measuredAt time.Duration // true time, without clock drift: favors this baseline
}

type gossipTable map[memnet.Host]gossipDemand

func newGossipShares(f *fleet, host memnet.Host, peers []memnet.Host, rate, burst float64) *gossipShares {
	return &gossipShares{
		f: f, host: host, peers: peers, fullRate: rate, fullBurst: burst,
		demands: gossipTable{}, gossipFanout: 3, demandTTL: 2 * time.Second,
	}
}

func (g *gossipShares) take(now time.Duration, n int64) bool {
	g.offered += float64(n)
	return g.localBucket.take(now, n)
}

func (g *gossipShares) step(now time.Duration, ev any) bool {
	if table, ok := ev.(gossipTable); ok {
		for host, d := range table {
			if d.measuredAt > g.demands[host].measuredAt {
				g.demands[host] = d
			}
		}
		return false
	}
	if now >= g.nextGossip {
		g.gossip(now)
	}
	return true
}

func (g *gossipShares) gossip(now time.Duration) {
	elapsed := max(now-g.lastGossip, 200*time.Millisecond)
	trueNow := g.f.net.Now()
	g.demands[g.host] = gossipDemand{demand: g.offered / elapsed.Seconds(), measuredAt: trueNow}
	g.offered, g.lastGossip, g.nextGossip = 0, now, now+200*time.Millisecond
	table := gossipTable{}
	sum := 0.0
	for host, d := range g.demands {
		if trueNow-d.measuredAt < g.demandTTL {
			table[host] = d
			sum += d.demand
		}
	}
	share := 1 / float64(len(table))
	if sum > 0 {
		share = g.demands[g.host].demand / sum
	}
	g.rate = g.fullRate * share
	g.burst = max(1, g.fullBurst*share)
	for range g.gossipFanout {
		g.f.net.Send(g.host, g.peers[g.f.net.Rand().IntN(len(g.peers))], table)
	}
}
