package dispatch

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/moves"
	"github.com/catkinstair/catkinstair/internal/paths"
)

const (
	// drawCost is the cost of a path whose servers have the mean key of the first draws, 1. It
	// exceeds what paths through different servers differ by, so that a stream follows its
	// draw unless that server has no room.
	drawCost = 10 * time.Second
	// moveIntervals is how many message intervals the loads take to show moved streams.
	moveIntervals = 2
)

// move is the division of a lost server's streams, of all VMs, among other servers. It is
// computed once, from the loads before the first stream moves: this VM's own moves would
// otherwise change its estimate of what the others do, and with it the shares.
type move struct {
	until   time.Duration // when the loads show the moved streams
	layers  int           // of the lost server
	ids     []string
	shares  []float64
	targets map[backend.ID]moveTarget
}

// moveTarget is a server that takes over layers.
type moveTarget struct {
	before, own loads.Load // of all VMs and of this one, before the move
	moved       loads.Load // expected of the moved streams
}

// beginMove divides the streams of the lost server s, unless that was done a moment ago or no
// route of its service asks for it.
func (c *Core) beginMove(now time.Duration, s *backend.Server) {
	spec := c.Spec(s.Service)
	if spec == nil || s.Held.Len() == 0 || c.activeMove(now, s.Instance()) != nil {
		return
	}
	maxGap := c.pauseObjective(s.Service)
	if maxGap <= 0 || c.cfg.MoveTimeShare <= 0 {
		return
	}
	for in, m := range c.moves {
		if now >= m.until {
			delete(c.moves, in)
		}
	}
	c.moves[s.Instance()] = c.divide(now, spec, s, maxGap)
}

// dividesMoves reports whether the streams of a request's route are divided when they move.
func (c *Core) dividesMoves(r *Request) bool {
	return c.cfg.MoveTimeShare > 0 && r.Route.Resumable && r.Route.MaxGap > 0
}

// activeMove returns the move off a server that the loads do not show yet, or nil.
func (c *Core) activeMove(now time.Duration, in backend.Instance) *move {
	if m := c.moves[in]; m != nil && now < m.until {
		return m
	}
	return nil
}

// pauseObjective returns the smallest MaxGap of the routes whose streams of a service may be
// moved, 0 if there is none.
func (c *Core) pauseObjective(service string) time.Duration {
	smallest := time.Duration(0)
	routes := c.table.Config().Routes
	for i := range routes {
		route := &routes[i]
		if !route.Resumable || route.MaxGap <= 0 || (smallest > 0 && route.MaxGap >= smallest) {
			continue
		}
		for _, share := range route.Split {
			if share.Service == service {
				smallest = route.MaxGap
			}
		}
	}
	return smallest
}

// divide computes the shares of the servers that can take over the layers of s.
func (c *Core) divide(now time.Duration, spec *engine.Spec, s *backend.Server, maxGap time.Duration) *move {
	m := &move{until: now + moveIntervals*c.Loads.Interval(), layers: s.Held.Len(), targets: map[backend.ID]moveTarget{}}
	lost := c.loadBefore(now, s)
	tokens := spec.PromptTokens + spec.AnswerTokens
	if lost.Streams >= 1 {
		tokens = lost.TokenLayers / lost.Streams / float64(s.Held.Len())
	}
	known := c.Loads.HasFreshTotal(now)
	var servers []moves.Server
	for _, candidate := range c.candidates(now, &Request{Service: c.table.Config().Services[s.Service]}) {
		target := c.Backends.Get(candidate.Instance.ID)
		layers := overlap(candidate.Held, s.Held)
		if layers.Len() == 0 || target == s {
			continue
		}
		before := c.loadBefore(now, target)
		kvPerStream := tokens * float64(layers.Len())
		room := moves.Room(spec.KVCapacity(candidate.Accelerator, candidate.Held.Len()), kvPerStream, 0, 0) // without loads: by the records alone
		if known {
			candidate.Streams, candidate.TokenLayers = before.Streams, before.TokenLayers
			room = moveRoom(spec, &candidate, layers.Len(), tokens, kvPerStream, c.maxKVShare(), time.Duration(c.cfg.MoveTimeShare*float64(maxGap)*float64(layers.Len())/float64(m.layers)))
		}
		servers = append(servers, moves.Server{Layers: layers, Room: room, Remote: candidate.Domain != s.Domain})
		m.ids = append(m.ids, string(target.ID))
		m.targets[target.ID] = moveTarget{before: before, own: loadOf(target.OwnWork)}
	}
	m.shares = moves.Shares(s.Held, lost.Streams, servers)
	for i, id := range m.ids {
		target := m.targets[backend.ID(id)]
		target.moved.Streams = m.shares[i] * lost.Streams
		target.moved.TokenLayers = target.moved.Streams * tokens * float64(servers[i].Layers.Len())
		m.targets[backend.ID(id)] = target
	}
	return m
}

// loadBefore returns the load of a server by the last total, which all VMs know, with the
// moves that it does not show yet. Without a total it is an estimate.
func (c *Core) loadBefore(now time.Duration, s *backend.Server) loads.Load {
	load, known := c.Loads.LastTotal(now, LoadKey(s.Instance()))
	if !known {
		own := loadOf(s.OwnWork)
		others := c.Loads.EstimateOthers(now, LoadKey(s.Instance()), own)
		load = loads.Load{Streams: own.Streams + others.Streams, TokenLayers: own.TokenLayers + others.TokenLayers}
	}
	for _, m := range c.moves {
		if now < m.until {
			moved := m.targets[s.ID].moved
			load.Streams, load.TokenLayers = load.Streams+moved.Streams, load.TokenLayers+moved.TokenLayers
		}
	}
	return load
}

// moveRoom returns how many streams of the given size a server can take over in n of its
// layers within the time left.
func moveRoom(spec *engine.Spec, s *paths.Candidate, n int, tokens, kvPerStream, maxKVShare float64, timeLeft time.Duration) float64 {
	stride := time.Duration(max(1, spec.Stride))
	step := spec.StepTime(s.Accelerator, n, s.Streams, tokens)
	longerStep := spec.StepTime(s.Accelerator, n, s.Streams+1, tokens) - step
	timePerStream := spec.PrefillTime(s.Accelerator, n, tokens) + stride*longerStep
	freeKV := spec.KVCapacity(s.Accelerator, s.Held.Len())*maxKVShare - s.TokenLayers
	return moves.Room(freeKV, kvPerStream, timeLeft-time.Duration(s.Slowdown*float64(stride*step)), time.Duration(s.Slowdown*float64(timePerStream)))
}

// drawMove prepares the candidates for the path of a stream that leaves the servers of some
// stages: they have the loads of the start of the move with this VM's changes since, and each
// a cost by its key in the stream's draw. Candidates that take over nothing of what these
// servers ran stay as they are.
func (c *Core) drawMove(now time.Duration, r *Request, lost []paths.Stage, candidates []paths.Candidate) []paths.Candidate {
	if !c.dividesMoves(r) {
		return candidates
	}
	out := append(candidates[:0:0], candidates...)
	cost := map[backend.ID]time.Duration{} // per layer
	for _, stage := range lost {
		m := c.activeMove(now, stage.Instance)
		if m == nil {
			continue
		}
		for i, key := range moves.Keys(r.ID, m.ids, m.shares) {
			id, perLayer := backend.ID(m.ids[i]), time.Duration(key*float64(drawCost)/float64(m.layers))
			if drawn, ok := cost[id]; !ok || perLayer < drawn {
				cost[id] = perLayer
			}
		}
		for i := range out {
			if target, ok := m.targets[out[i].Instance.ID]; ok {
				own := loadOf(c.Backends.Get(out[i].Instance.ID).OwnWork)
				out[i].Streams = max(0, target.before.Streams+own.Streams-target.own.Streams)
				out[i].TokenLayers = max(0, target.before.TokenLayers+own.TokenLayers-target.own.TokenLayers)
			}
		}
	}
	for i := range out {
		out[i].LayerPenalty += cost[out[i].Instance.ID]
	}
	return out
}

// addMoved raises the load of a candidate for new requests to what is expected after the
// moves that the loads do not show yet.
func (c *Core) addMoved(now time.Duration, candidate *paths.Candidate) {
	for _, m := range c.moves {
		if now >= m.until {
			continue
		}
		if target, ok := m.targets[candidate.Instance.ID]; ok {
			candidate.Streams = max(candidate.Streams, target.before.Streams+target.moved.Streams)
			candidate.TokenLayers = max(candidate.TokenLayers, target.before.TokenLayers+target.moved.TokenLayers)
		}
	}
}

func overlap(a, b backend.Layers) backend.Layers {
	return backend.Layers{From: max(a.From, b.From), To: min(a.To, b.To)}
}
