package placement

import "github.com/catkinstair/catkinstair/internal/backend"

// maxBottleneckMoves limits the moves in one plan. The next plan starts from their effect.
const maxBottleneckMoves = 4

// relieveBottlenecks moves servers that their own failure domain can spare to the
// layers with the least KV cache capacity over all domains. A failure domain that lost
// a large server sends its requests to the servers of those layers elsewhere, which
// would then refuse requests while all other layers have free capacity. Moves that do not
// let the servers serve more are dropped; several may be needed before they do.
func (p *plan) relieveBottlenecks() {
	served := 0.0
	trial := p.clone()
	for range maxBottleneckMoves {
		kvCapacity := trial.kvCapacity()
		layers, least, mean := bottleneck(kvCapacity)
		if least >= p.cfg.LowCapacityShare*mean {
			return
		}
		if served == 0 {
			served = p.served()
		}
		s := trial.bestDonor(kvCapacity, least)
		if s == nil {
			return
		}
		trial.addOrder(s, trial.rangeAround(layers, trial.maxLayers(s)))
		if now := trial.served(); now >= served*minServedGain {
			served = now
			*p = *trial.clone()
		}
	}
}

// rangeAround returns n consecutive layers with as many of the given layers as fit. Of
// several such ranges, it returns the one whose current servers are slowest and fewest.
func (p *plan) rangeAround(layers backend.Layers, n int) backend.Layers {
	copies := make([]int, p.spec.Layers)
	for l := range copies {
		if l < layers.From || l >= layers.To {
			copies[l] = 1
		}
	}
	return p.bestRange("", copies, 1, n)
}

// kvCapacity returns the KV cache capacity of each layer in tokens, over all servers.
func (p *plan) kvCapacity() []float64 {
	out := make([]float64, p.spec.Layers)
	for i := range p.servers {
		s := &p.servers[i]
		if s.Suspect {
			continue
		}
		for l := max(0, s.Held.From); l < min(s.Held.To, p.spec.Layers); l++ {
			out[l] += p.serverKVCapacity(s)
		}
	}
	return out
}

// serverKVCapacity returns the KV cache capacity of a server in tokens for each of its
// layers.
func (p *plan) serverKVCapacity(s *Server) float64 {
	n := s.Held.Len()
	if n == 0 {
		return 0
	}
	return p.spec.KVCapacity(s.Accelerator, n) / float64(n)
}

// bottleneck returns the first range of layers with the least capacity, that capacity and
// the mean over all layers, in tokens.
func bottleneck(capacity []float64) (backend.Layers, float64, float64) {
	least, at, sum := capacity[0], 0, 0.0
	for l, tokens := range capacity {
		sum += tokens
		if tokens < least {
			least, at = tokens, l
		}
	}
	layers := backend.Layers{From: at, To: at + 1}
	for layers.To < len(capacity) && capacity[layers.To] <= least {
		layers.To++
	}
	return layers, least, sum / float64(len(capacity))
}

// bestDonor returns an idle server, or else the spare server whose layers keep the most
// capacity without it. It returns nil if every move would only shift the bottleneck.
func (p *plan) bestDonor(capacity []float64, least float64) *Server {
	var best *Server
	bestRemaining := least * p.cfg.MinMoveGain
	copies := map[string][]int{}
	for i := range p.servers {
		s := &p.servers[i]
		if p.isIdle(s) {
			return s
		}
		if copies[s.Domain] == nil {
			copies[s.Domain] = p.servingCopies(s.Domain)
		}
		if !p.isSpare(s, copies[s.Domain]) {
			continue
		}
		remaining := capacity[s.Held.From]
		for l := s.Held.From; l < s.Held.To; l++ {
			remaining = min(remaining, capacity[l])
		}
		if remaining -= p.serverKVCapacity(s); remaining > bestRemaining {
			best, bestRemaining = s, remaining
		}
	}
	return best
}
