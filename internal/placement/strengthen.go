package placement

import "github.com/catkinstair/catkinstair/internal/backend"

// maxStrengthened bounds the moves of one plan: the next one sees what they gave.
const maxStrengthened = 4

// strengthen moves servers that their own failure domain can spare to the layers
// with the least room for requests, counted over all domains. A failure domain that
// lost a large server leans on the others' holders of its layers, and these would
// be the place where requests are refused while all other layers have room.
func (p *plan) strengthen() {
	for range maxStrengthened {
		room := p.room()
		weak, least, mean := weakest(room)
		if least >= p.cfg.LowCapacityShare*mean {
			return
		}
		h := p.sparest(room, least)
		if h == nil {
			return
		}
		p.order(h, p.around(weak, p.fitting(h)))
	}
}

// around returns the n layers that hold all of weak, or as much of it as fits, and
// beside it those whose holders are slowest and fewest.
func (p *plan) around(weak backend.Layers, n int) backend.Layers {
	covers := make([]int, p.spec.Layers)
	for l := range covers {
		if l < weak.From || l >= weak.To {
			covers[l] = 1
		}
	}
	return p.window("", covers, 1, n)
}

// room is the number of tokens that fit in each layer, over all servers.
func (p *plan) room() []float64 {
	out := make([]float64, p.spec.Layers)
	for i := range p.holders {
		h := &p.holders[i]
		if h.Suspect {
			continue
		}
		for l := max(0, h.Held.From); l < min(h.Held.To, p.spec.Layers); l++ {
			out[l] += p.roomOf(h)
		}
	}
	return out
}

func (p *plan) roomOf(h *Server) float64 {
	n := h.Held.Len()
	if n == 0 {
		return 0
	}
	return p.spec.KVCapacity(h.Accelerator, n) / float64(n)
}

// weakest returns the run of layers with the least room, that room and the mean.
func weakest(room []float64) (backend.Layers, float64, float64) {
	least, at, sum := room[0], 0, 0.0
	for l, r := range room {
		sum += r
		if r < least {
			least, at = r, l
		}
	}
	run := backend.Layers{From: at, To: at + 1}
	for run.To < len(room) && room[run.To] <= least {
		run.To++
	}
	return run, least, sum / float64(len(room))
}

// sparest returns an idle server, or the one whose layers keep the most room
// without it; nil where that would only move the weakness.
func (p *plan) sparest(room []float64, least float64) *Server {
	var best *Server
	most := least * p.cfg.MinMoveGain
	covers := map[string][]int{}
	for i := range p.holders {
		h := &p.holders[i]
		if p.free(h) {
			return h
		}
		if covers[h.Domain] == nil {
			covers[h.Domain] = p.covers(h.Domain)
		}
		if !p.spare(h, covers[h.Domain]) {
			continue
		}
		left := room[h.Held.From]
		for l := h.Held.From; l < h.Held.To; l++ {
			left = min(left, room[l])
		}
		if left -= p.roomOf(h); left > most {
			best, most = h, left
		}
	}
	return best
}
