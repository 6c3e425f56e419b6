package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// The simulation runs replicas with continuous batching in virtual time. A replica runs
// up to simCapacity requests at once; further ones wait. Its token time grows with the
// batch size.

const (
	simCapacity      = 16
	simTokenTime     = 30 * time.Millisecond // at speed 1, empty batch
	simPrefillTime   = 300 * time.Microsecond
	simBatchSlowdown = 1.0 // a full batch is twice as slow as an empty one
	simMeanTokens    = 48
	simStep          = 10 * time.Millisecond
)

var simSpeeds = map[string]float64{"slow": 0.5, "mid": 1, "fast": 2, "huge": 4}

// simLinks holds the one-way times to the failure domains, which differ by a factor of up
// to 100.
var simLinks = []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond}

type simRequest struct {
	entry        int
	id           uint64
	arrived      time.Duration
	prompt       float64 // prefill tokens left
	tokens       float64 // answer tokens left
	totalTokens  float64
	firstTokenAt time.Duration
	prefix       uint64
}

type simReplica struct {
	id         ident.BackendServer
	speed      float64
	link       time.Duration
	running    []*simRequest
	waiting    []*simRequest
	cached     map[uint64]bool
	cacheOrder []uint64
	seq        uint64
	events     []CacheEvent // not delivered yet
}

type simLoad struct {
	at              time.Duration
	running, queued int
}

// simulation is one run with its settings and results.
type simulation struct {
	policy   Policy
	replicas int
	entries  int
	lag      time.Duration
	load     float64 // offered load as a share of the total throughput
	subset   int
	choices  int
	hints    string // "", "right", "wrong", "gaps"
	peerGain float64
	prompt   float64 // tokens
	duration time.Duration
	seed     uint64

	rng        *rand.Rand
	backends   []*simReplica
	byID       map[ident.BackendServer]*simReplica
	routers    []*Router
	watching   map[ident.BackendServer][]*Router
	skew       float64 // share of the requests that all go to the first entry
	reports    map[ident.BackendServer][]simLoad
	firstToken *hdrhistogram.Histogram // microseconds
	tokenGap   *hdrhistogram.Histogram
	answerTime *hdrhistogram.Histogram
	served     float64 // tokens
	offered    float64
	noServer   int
	hits       int // requests whose prefix was cached
	requests   int
}

// capacity returns the total tokens per second of all replicas at full batches, prefill
// included.
func (sim *simulation) capacity() float64 {
	sum := 0.0
	for _, r := range sim.backends {
		full := float64(simTokenTime)*(1+simBatchSlowdown)/r.speed + 2*float64(r.link)
		serviceTime := full*simMeanTokens + float64(simPrefillTime)*sim.prompt/r.speed
		sum += simCapacity * simMeanTokens / (serviceTime / float64(time.Second))
	}
	return sum
}

func (sim *simulation) run() {
	sim.rng = rand.New(rand.NewPCG(sim.seed, 9))
	sim.firstToken = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	sim.answerTime = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	sim.tokenGap = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	sim.reports = map[ident.BackendServer][]simLoad{}
	sim.watching = map[ident.BackendServer][]*Router{}
	sim.byID = map[ident.BackendServer]*simReplica{}
	sim.build()
	perStep := sim.load * sim.capacity() / simMeanTokens * simStep.Seconds()
	due := 0.0
	for now := time.Duration(0); now < sim.duration; now += simStep {
		sim.deliverLoads(now)
		for due += perStep * sim.rng.ExpFloat64(); due >= 1; due-- {
			sim.arrive(now)
		}
		for _, r := range sim.backends {
			sim.advance(now, r)
		}
	}
}

func (sim *simulation) build() {
	kinds := []string{"slow", "mid", "fast", "huge"}
	var list []Server
	for i := range sim.replicas {
		kind := kinds[i%4]
		domain := i / 4 % len(simLinks)
		id := ident.BackendServer(fmt.Sprintf("r%03d", i))
		r := &simReplica{id: id, speed: simSpeeds[kind], link: simLinks[domain], cached: map[uint64]bool{}}
		sim.backends = append(sim.backends, r)
		sim.byID[id] = r
		list = append(list, Server{
			ID: id, Service: "skrivar", Replica: string(id), Accelerator: kind, LayerTo: 8, LayersTotal: 8,
			Place: ident.Place{FailureDomain: ident.FailureDomain(fmt.Sprint(domain))},
		})
	}
	for e := range sim.entries {
		cfg := DefaultConfig()
		cfg.Self = ident.VM(fmt.Sprintf("entry-%d", e))
		cfg.Place.FailureDomain = "0"
		cfg.Policy = sim.policy
		cfg.Seed = uint64(e) + sim.seed*1000
		cfg.SubsetPerDomain = sim.subset
		cfg.Choices = sim.choices
		cfg.PeerGain = sim.peerGain
		router, err := New(cfg)
		if err != nil {
			panic(err)
		}
		watch := router.Step(0, Servers{List: list})[0].(Watch)
		for _, id := range watch.Servers {
			sim.watching[id] = append(sim.watching[id], router)
		}
		for d, link := range simLinks {
			router.Step(0, Link{To: ident.FailureDomain(fmt.Sprint(d)), OneWay: link})
		}
		sim.routers = append(sim.routers, router)
	}
}

// deliverLoads samples the load every 100 ms and sends the routers the samples that are
// f.lag old.
func (sim *simulation) deliverLoads(now time.Duration) {
	if now%(100*time.Millisecond) != 0 {
		return
	}
	for _, r := range sim.backends {
		sim.reports[r.id] = append(sim.reports[r.id], simLoad{at: now, running: len(r.running), queued: len(r.waiting)})
		if sim.reports[r.id][0].at > now-sim.lag {
			continue
		}
		old := sim.reports[r.id][0]
		sim.reports[r.id] = sim.reports[r.id][1:]
		for _, router := range sim.watching[r.id] {
			router.Step(now, Load{Server: r.id, Running: old.running, Waiting: old.queued, Capacity: simCapacity, MeasuredAt: old.at})
		}
	}
	sim.deliverCacheEvents(now)
}

// deliverCacheEvents sends the cache events once a second: all, with gaps, or wrong ones.
func (sim *simulation) deliverCacheEvents(now time.Duration) {
	if sim.hints == "" || sim.hints == "ignored" || now%time.Second != 0 {
		return
	}
	for _, r := range sim.backends {
		for _, ev := range r.events {
			if sim.hints == "gaps" && sim.rng.IntN(10) < 3 {
				continue
			}
			if sim.hints == "wrong" {
				ev.Prefix = uint64(sim.rng.IntN(200))
			}
			for _, router := range sim.watching[r.id] {
				router.Step(now, ev)
			}
		}
		r.events = nil
	}
}

// arrive sends one request through a random entry; with skew, more often the first.
func (sim *simulation) arrive(now time.Duration) {
	e := sim.rng.IntN(sim.entries)
	if sim.rng.Float64() < sim.skew {
		e = 0
	}
	tokens := 16 + sim.rng.Float64()*2*(simMeanTokens-16)
	prefix := uint64(sim.rng.IntN(200))
	req := Request{Service: "skrivar", PromptTokens: int(sim.prompt)}
	if sim.hints != "" {
		req.Prefixes = []Prefix{{Hash: prefix, Tokens: int(sim.prompt) * 3 / 4}}
	}
	p, ok := sim.routers[e].Pick(now, req)
	sim.offered += tokens
	sim.requests++
	if !ok {
		sim.noServer++
		return
	}
	r := sim.byID[p.Stages[0].Server]
	request := &simRequest{entry: e, id: p.ID, arrived: now, prompt: sim.prompt, tokens: tokens, totalTokens: tokens, prefix: prefix}
	if sim.hints != "" && r.cached[prefix] {
		sim.hits++
		request.prompt /= 4
	}
	r.waiting = append(r.waiting, request)
}

// advance runs one replica for one step.
func (sim *simulation) advance(now time.Duration, r *simReplica) {
	for len(r.running) < simCapacity && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	load := float64(len(r.running)) / simCapacity
	tokenTime := float64(simTokenTime)*(1+simBatchSlowdown*load)/r.speed + 2*float64(r.link)
	prefillTime := float64(simPrefillTime) / r.speed
	kept := r.running[:0]
	for _, request := range r.running {
		left := float64(simStep)
		work := min(left, request.prompt*prefillTime)
		request.prompt -= work / prefillTime
		left -= work
		if request.prompt > 1e-9 {
			kept = append(kept, request)
			continue
		}
		if request.firstTokenAt == 0 {
			request.firstTokenAt = now + simStep + time.Duration(tokenTime)
			sim.cache(r, request.prefix)
		}
		request.tokens -= left / tokenTime
		if request.tokens > 0 {
			kept = append(kept, request)
			continue
		}
		sim.finish(now+simStep, request)
	}
	r.running = kept
}

// cache keeps the last 20 prefixes of a replica.
func (sim *simulation) cache(r *simReplica, prefix uint64) {
	if sim.hints == "" || r.cached[prefix] {
		return
	}
	if len(r.cacheOrder) == 20 {
		r.seq++
		r.events = append(r.events, CacheEvent{Server: r.id, Seq: r.seq, Prefix: r.cacheOrder[0]})
		delete(r.cached, r.cacheOrder[0])
		r.cacheOrder = r.cacheOrder[1:]
	}
	r.seq++
	r.events = append(r.events, CacheEvent{Server: r.id, Seq: r.seq, Prefix: prefix, Added: true})
	r.cached[prefix] = true
	r.cacheOrder = append(r.cacheOrder, prefix)
}

func (sim *simulation) finish(now time.Duration, request *simRequest) {
	first := request.firstTokenAt - request.arrived
	tokenGap := time.Duration(float64(max(0, now-request.firstTokenAt)) / max(1, request.totalTokens-1))
	sim.routers[request.entry].Step(now, Done{ID: request.id, FirstToken: first, TokenTime: tokenGap})
	if now < sim.duration/4 { // warm-up
		return
	}
	sim.served += request.totalTokens
	_ = sim.firstToken.RecordValue(max(1, first.Microseconds()))
	_ = sim.answerTime.RecordValue(max(1, (now - request.arrived).Microseconds()))
	_ = sim.tokenGap.RecordValue(max(1, tokenGap.Microseconds()))
}
