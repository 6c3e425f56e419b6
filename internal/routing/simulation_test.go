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

// simLinks are the one-way times to the failure domains. They differ by up to 100 times.
var simLinks = []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond}

type simRequest struct {
	entry   int
	id      uint64
	arrived time.Duration
	prompt  float64 // prefill tokens left
	tokens  float64 // answer tokens left
	total   float64
	first   time.Duration
	prefix  uint64
}

type simReplica struct {
	id      ident.BackendServer
	speed   float64
	link    time.Duration
	running []*simRequest
	waiting []*simRequest
	cached  map[uint64]bool
	order   []uint64
	seq     uint64
	events  []CacheEvent // not delivered yet
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
	gain     float64
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
	first      *hdrhistogram.Histogram // microseconds
	tokenGap   *hdrhistogram.Histogram
	answerTime *hdrhistogram.Histogram
	served     float64 // tokens
	offered    float64
	noServer   int
	hits       int
	total      int
}

// capacity returns the total tokens per second of all replicas at full batches, prefill
// included.
func (f *simulation) capacity() float64 {
	sum := 0.0
	for _, r := range f.backends {
		full := float64(simTokenTime)*(1+simBatchSlowdown)/r.speed + 2*float64(r.link)
		serviceTime := full*simMeanTokens + float64(simPrefillTime)*f.prompt/r.speed
		sum += simCapacity * simMeanTokens / (serviceTime / float64(time.Second))
	}
	return sum
}

func (f *simulation) run() {
	f.rng = rand.New(rand.NewPCG(f.seed, 9))
	f.first = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	f.answerTime = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	f.tokenGap = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	f.reports = map[ident.BackendServer][]simLoad{}
	f.watching = map[ident.BackendServer][]*Router{}
	f.byID = map[ident.BackendServer]*simReplica{}
	f.build()
	perStep := f.load * f.capacity() / simMeanTokens * simStep.Seconds()
	due := 0.0
	for now := time.Duration(0); now < f.duration; now += simStep {
		f.deliverLoads(now)
		for due += perStep * f.rng.ExpFloat64(); due >= 1; due-- {
			f.arrive(now)
		}
		for _, r := range f.backends {
			f.advance(now, r)
		}
	}
}

func (f *simulation) build() {
	kinds := []string{"slow", "mid", "fast", "huge"}
	var list []Server
	for i := range f.replicas {
		kind := kinds[i%4]
		domain := i / 4 % len(simLinks)
		id := ident.BackendServer(fmt.Sprintf("r%03d", i))
		r := &simReplica{id: id, speed: simSpeeds[kind], link: simLinks[domain], cached: map[uint64]bool{}}
		f.backends = append(f.backends, r)
		f.byID[id] = r
		list = append(list, Server{
			ID: id, Service: "skrivar", Replica: string(id), Accelerator: kind, LayerTo: 8, LayersTotal: 8,
			Place: ident.Place{FailureDomain: ident.FailureDomain(fmt.Sprint(domain))},
		})
	}
	for e := range f.entries {
		cfg := DefaultConfig()
		cfg.Self = ident.VM(fmt.Sprintf("entry-%d", e))
		cfg.Place.FailureDomain = "0"
		cfg.Policy = f.policy
		cfg.Seed = uint64(e) + f.seed*1000
		cfg.SubsetPerDomain = f.subset
		cfg.Choices = f.choices
		cfg.PeerGain = f.gain
		router, err := New(cfg)
		if err != nil {
			panic(err)
		}
		watch := router.Step(0, Servers{List: list})[0].(Watch)
		for _, id := range watch.Servers {
			f.watching[id] = append(f.watching[id], router)
		}
		for d, link := range simLinks {
			router.Step(0, Link{To: ident.FailureDomain(fmt.Sprint(d)), OneWay: link})
		}
		f.routers = append(f.routers, router)
	}
}

// deliverLoads samples the load every 100 ms and sends the routers the samples that are
// f.lag old.
func (f *simulation) deliverLoads(now time.Duration) {
	if now%(100*time.Millisecond) != 0 {
		return
	}
	for _, r := range f.backends {
		f.reports[r.id] = append(f.reports[r.id], simLoad{at: now, running: len(r.running), queued: len(r.waiting)})
		if f.reports[r.id][0].at > now-f.lag {
			continue
		}
		old := f.reports[r.id][0]
		f.reports[r.id] = f.reports[r.id][1:]
		for _, router := range f.watching[r.id] {
			router.Step(now, Load{Server: r.id, Running: old.running, Waiting: old.queued, Capacity: simCapacity, MeasuredAt: old.at})
		}
	}
	f.deliverCacheEvents(now)
}

// deliverCacheEvents sends the cache events once a second: all, with gaps, or wrong ones.
func (f *simulation) deliverCacheEvents(now time.Duration) {
	if f.hints == "" || f.hints == "ignored" || now%time.Second != 0 {
		return
	}
	for _, r := range f.backends {
		for _, ev := range r.events {
			if f.hints == "gaps" && f.rng.IntN(10) < 3 {
				continue
			}
			if f.hints == "wrong" {
				ev.Prefix = uint64(f.rng.IntN(200))
			}
			for _, router := range f.watching[r.id] {
				router.Step(now, ev)
			}
		}
		r.events = nil
	}
}

// arrive sends one request through a random entry; with skew, more often the first.
func (f *simulation) arrive(now time.Duration) {
	e := f.rng.IntN(f.entries)
	if f.rng.Float64() < f.skew {
		e = 0
	}
	tokens := 16 + f.rng.Float64()*2*(simMeanTokens-16)
	prefix := uint64(f.rng.IntN(200))
	req := Request{Service: "skrivar", PromptTokens: int(f.prompt)}
	if f.hints != "" {
		req.Prefixes = []Prefix{{Hash: prefix, Tokens: int(f.prompt) * 3 / 4}}
	}
	p, ok := f.routers[e].Pick(now, req)
	f.offered += tokens
	f.total++
	if !ok {
		f.noServer++
		return
	}
	r := f.byID[p.Stages[0].Server]
	fr := &simRequest{entry: e, id: p.ID, arrived: now, prompt: f.prompt, tokens: tokens, total: tokens, prefix: prefix}
	if f.hints != "" && r.cached[prefix] {
		f.hits++
		fr.prompt /= 4
	}
	r.waiting = append(r.waiting, fr)
}

// advance runs one replica for one step.
func (f *simulation) advance(now time.Duration, r *simReplica) {
	for len(r.running) < simCapacity && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	load := float64(len(r.running)) / simCapacity
	tokenTime := float64(simTokenTime)*(1+simBatchSlowdown*load)/r.speed + 2*float64(r.link)
	prefillTime := float64(simPrefillTime) / r.speed
	kept := r.running[:0]
	for _, fr := range r.running {
		left := float64(simStep)
		work := min(left, fr.prompt*prefillTime)
		fr.prompt -= work / prefillTime
		left -= work
		if fr.prompt > 1e-9 {
			kept = append(kept, fr)
			continue
		}
		if fr.first == 0 {
			fr.first = now + simStep + time.Duration(tokenTime)
			f.cache(r, fr.prefix)
		}
		fr.tokens -= left / tokenTime
		if fr.tokens > 0 {
			kept = append(kept, fr)
			continue
		}
		f.finish(now+simStep, fr)
	}
	r.running = kept
}

// cache keeps the last 20 prefixes of a replica.
func (f *simulation) cache(r *simReplica, prefix uint64) {
	if f.hints == "" || r.cached[prefix] {
		return
	}
	if len(r.order) == 20 {
		r.seq++
		r.events = append(r.events, CacheEvent{Server: r.id, Seq: r.seq, Prefix: r.order[0]})
		delete(r.cached, r.order[0])
		r.order = r.order[1:]
	}
	r.seq++
	r.events = append(r.events, CacheEvent{Server: r.id, Seq: r.seq, Prefix: prefix, Added: true})
	r.cached[prefix] = true
	r.order = append(r.order, prefix)
}

func (f *simulation) finish(now time.Duration, fr *simRequest) {
	first := fr.first - fr.arrived
	tokenGap := time.Duration(float64(max(0, now-fr.first)) / max(1, fr.total-1))
	f.routers[fr.entry].Step(now, Done{ID: fr.id, FirstToken: first, TokenTime: tokenGap})
	if now < f.duration/4 { // warm-up
		return
	}
	f.served += fr.total
	_ = f.first.RecordValue(max(1, first.Microseconds()))
	_ = f.answerTime.RecordValue(max(1, (now - fr.arrived).Microseconds()))
	_ = f.tokenGap.RecordValue(max(1, tokenGap.Microseconds()))
}
