// Package prefixcache estimates how much of a prompt backend servers still hold in their KV
// caches. It records which parts of prompts each incarnation of a server has read for this
// VM's requests, and forgets them as an engine would: after a retention time, with the
// incarnation, with released layers, and the least recently used first when memory is short.
//
// It is a pure state machine; times are passed in as durations since the process started.
package prefixcache

import (
	"container/list"
	"time"

	"github.com/catkinstair/catkinstair/internal/backend"
)

// Config holds the settings of a Core.
type Config struct {
	// Retention is how long a server is expected to hold a part after its last use. Default
	// 0, which disables the package.
	Retention time.Duration
	// MaxPartsPerServer bounds the parts recorded for one server. Default 256: a server that
	// reads 20 prompts a second for one VM fills it in 13 s with parts of single requests,
	// and parts that are used more often stay.
	MaxPartsPerServer int
	// MaxParts bounds the parts recorded for all servers. Default 16,384, about 4 MB.
	MaxParts int
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config { return Config{MaxPartsPerServer: 256, MaxParts: 16384} }

// Server describes a server as known at the time of a look-up.
type Server struct {
	Instance backend.Instance
	Layers   backend.Layers // those that it holds now
	// FreeKV is the KV cache that no request in progress uses, in tokens x layers.
	FreeKV float64
}

// Held is a number of consecutive tokens of a prompt that a server holds in some layers. Of
// several, each begins where the one before ends.
type Held struct {
	Layers backend.Layers
	Tokens float64
}

// Core holds what one VM knows of all servers. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	servers map[backend.ID]*server
	byUse   *list.List // of *server, the one recorded last in front
	parts   int
}

// server is what one incarnation of a server has read.
type server struct {
	instance backend.Instance
	layers   backend.Layers // held at the last look-up
	entries  map[uint64]*list.Element
	// byUse lists the entries, the one used last in front. A part is used with all parts
	// before it and stays in front of those behind it, so that runs lose parts at their end.
	byUse    *list.List
	lastUse  time.Duration
	position *list.Element // in Core.byUse
	kv       float64       // KV cache of the entries, in tokens x layers
}

// entry is a part that a server has read.
type entry struct {
	link
	layers backend.Layers
	usedAt time.Duration
}

// New returns a Core that knows nothing.
func New(cfg Config) *Core {
	return &Core{cfg: cfg, servers: map[backend.ID]*server{}, byUse: list.New()}
}

// Enabled reports whether anything is recorded and looked up.
func (c *Core) Enabled() bool { return c.cfg.Retention > 0 }

// Len returns the number of parts recorded for all servers.
func (c *Core) Len() int { return c.parts }

// Record records that a server has read a prompt in the given layers.
func (c *Core) Record(now time.Duration, in backend.Instance, layers backend.Layers, p Prompt) {
	if !c.Enabled() || len(p) == 0 || layers.Len() == 0 {
		return
	}
	c.expire(now)
	s := c.servers[in.ID]
	if s != nil && s.instance.StartedMs > in.StartedMs {
		return
	}
	if s != nil && s.instance != in {
		c.drop(s)
		s = nil
	}
	if s == nil {
		s = &server{instance: in, entries: map[uint64]*list.Element{}, byUse: list.New()}
		s.position = c.byUse.PushFront(s)
		c.servers[in.ID] = s
	}
	s.lastUse = now
	c.byUse.MoveToFront(s.position)
	for i := len(p) - 1; i >= 0; i-- {
		c.put(now, s, layers, p[i])
	}
	for len(s.entries) > c.cfg.MaxPartsPerServer {
		c.evictOldest(s)
	}
	for c.parts > c.cfg.MaxParts {
		c.evictOldest(c.byUse.Back().Value.(*server))
	}
}

// put adds a part, or marks it as used.
func (c *Core) put(now time.Duration, s *server, layers backend.Layers, l link) {
	if element := s.entries[l.key]; element != nil {
		e := element.Value.(*entry)
		s.kv -= e.kv()
		if e.tokens == l.tokens {
			layers = join(e.layers, layers)
		}
		*e = entry{link: l, layers: layers, usedAt: now}
		s.kv += e.kv()
		s.byUse.MoveToFront(element)
		return
	}
	e := &entry{link: l, layers: layers, usedAt: now}
	s.entries[l.key] = s.byUse.PushFront(e)
	s.kv += e.kv()
	c.parts++
}

// join returns the layers of both ranges if these touch, else the newer range.
func join(old, newer backend.Layers) backend.Layers {
	if old.From > newer.To || newer.From > old.To {
		return newer
	}
	return backend.Layers{From: min(old.From, newer.From), To: max(old.To, newer.To)}
}

func intersect(a, b backend.Layers) backend.Layers {
	return backend.Layers{From: max(a.From, b.From), To: min(a.To, b.To)}
}

// kv returns the KV cache that the part takes, in tokens x layers.
func (e *entry) kv() float64 { return e.tokens * float64(e.layers.Len()) }

// Lookup returns which tokens from the start of p a server still holds, and forgets what it
// cannot hold anymore. What other VMs' requests have left there is not known and not counted;
// a part that was dropped because of them costs a preference that saves nothing.
func (c *Core) Lookup(now time.Duration, info Server, p Prompt) []Held {
	s := c.servers[info.Instance.ID]
	if s == nil || len(p) == 0 {
		return nil
	}
	if s.instance != info.Instance {
		if s.instance.StartedMs < info.Instance.StartedMs {
			c.drop(s)
		}
		return nil
	}
	c.releaseLayers(s, info.Layers)
	for len(s.entries) > 0 && (now-s.oldest().usedAt >= c.cfg.Retention || s.kv > info.FreeKV) {
		c.evictOldest(s)
	}
	return s.run(p)
}

// run returns the unbroken run of tokens from the start of p that s holds.
func (s *server) run(p Prompt) []Held {
	var out []Held
	layers := s.layers
	for _, l := range p {
		element := s.entries[l.key]
		if element == nil {
			break
		}
		e := element.Value.(*entry)
		layers = intersect(layers, e.layers)
		if layers.Len() == 0 {
			break
		}
		if tokens := min(e.tokens, l.tokens); len(out) > 0 && out[len(out)-1].Layers == layers {
			out[len(out)-1].Tokens += tokens
		} else {
			out = append(out, Held{Layers: layers, Tokens: tokens})
		}
		if e.tokens != l.tokens {
			break // what follows stands elsewhere in the prompt
		}
	}
	return out
}

// releaseLayers forgets what was read in layers that s does not hold anymore.
func (c *Core) releaseLayers(s *server, layers backend.Layers) {
	if s.layers == layers {
		return
	}
	s.layers = layers
	var next *list.Element
	for element := s.byUse.Front(); element != nil; element = next {
		next = element.Next()
		e := element.Value.(*entry)
		s.kv -= e.kv()
		e.layers = intersect(e.layers, layers)
		s.kv += e.kv()
		if e.layers.Len() == 0 {
			c.remove(s, element)
		}
	}
}

// expire forgets the servers whose parts have all passed the retention time.
func (c *Core) expire(now time.Duration) {
	for oldest := c.byUse.Back(); oldest != nil; oldest = c.byUse.Back() {
		s := oldest.Value.(*server)
		if now-s.lastUse < c.cfg.Retention {
			return
		}
		c.drop(s)
	}
}

func (s *server) oldest() *entry { return s.byUse.Back().Value.(*entry) }

func (c *Core) evictOldest(s *server) { c.remove(s, s.byUse.Back()) }

// remove forgets an entry, and its server with the last one.
func (c *Core) remove(s *server, element *list.Element) {
	e := element.Value.(*entry)
	s.kv -= e.kv()
	s.byUse.Remove(element)
	delete(s.entries, e.key)
	c.parts--
	if len(s.entries) == 0 {
		c.drop(s)
	}
}

func (c *Core) drop(s *server) {
	c.parts -= len(s.entries)
	c.byUse.Remove(s.position)
	delete(c.servers, s.instance.ID)
}
