package orders

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Holder tells whether this process holds a slot and how long it still will at
// least; *lease.Core is one.
type Holder interface {
	Holds(now time.Duration, slot int) (epoch uint64, ok bool)
	HeldUntil() time.Duration
}

// Core gives orders while it holds the slot. It is used from one goroutine.
type Core struct {
	cfg     Config
	holder  Holder
	engines map[ident.BackendServer]*engine
	demands []ModelDemand
	// epoch is the lease's epoch that the state below belongs to; 0 is none.
	epoch uint64
	// since is when the slot began to be held in this epoch.
	since time.Duration
	// fencedOff says that an engine saw a higher number than epoch.
	fencedOff bool
	serial    uint64
	// counts are the replicas wanted since countsSince; plan is acted upon.
	counts, plan map[Model]int
	countsSince  time.Duration
	weights      weightBucket
}

// engine is what the holder knows of one engine.
type engine struct {
	Engine
	// known says that the model was read in this epoch.
	known  bool
	loaded Model
	role   string
	readAt time.Duration
	// order is under way since sentAt; it is nil when nothing is.
	order  *Order
	sentAt time.Duration
	// begun says that the shell began to send the order, at sentAt.
	begun bool
	// unsure says that the order's answer was lost.
	unsure bool
}

// weightBucket holds the weight store's rate. A load may overdraw it once it is
// not empty, so that large weights are not held up for ever.
type weightBucket struct {
	level float64
	at    time.Duration
}

// New returns a core that knows no engines.
func New(cfg Config, holder Holder) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, holder: holder, engines: map[ident.BackendServer]*engine{}}, nil
}

// BeginSend reports whether an order that SendOrder gave out may be sent, and
// notes that it is. The shell calls it with a fresh time immediately before the
// send, once for each SendOrder.
func (c *Core) BeginSend(now time.Duration, server ident.BackendServer, order Order) bool {
	e := c.engines[server]
	if e == nil || e.order == nil || e.order.ID != order.ID || e.begun {
		return false
	}
	if !c.maySend(now, e.Engine, order) {
		e.order = nil
		return false
	}
	e.begun = true
	e.sentAt = now
	return true
}

// maySend holds the rule: only under the lease, and to an engine that ignores
// fencing numbers only while neither the predecessor's orders nor, later, one's
// own can cross those of another holder.
func (c *Core) maySend(now time.Duration, e Engine, order Order) bool {
	epoch, ok := c.holder.Holds(now, c.cfg.Slot)
	if !ok || epoch != order.Fence || c.fencedOff {
		return false
	}
	if e.ChecksOrders {
		return true
	}
	lasts := now+c.cfg.StopEarly <= c.holder.HeldUntil()
	return lasts && now >= c.since+c.cfg.SuccessorWait()
}

// Step takes one event in at time now and returns what is to be done.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Engines:
		c.learnEngines(ev.Engines)
	case Demands:
		c.demands = slices.Clone(ev.Demands)
	case OrderAnswered:
		c.answered(now, ev)
	case EngineRead:
		c.read(now, ev)
	case Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Core) learnEngines(list []Engine) {
	present := map[ident.BackendServer]bool{}
	for _, e := range list {
		present[e.Server] = true
		if c.engines[e.Server] == nil {
			c.engines[e.Server] = &engine{}
		}
		c.engines[e.Server].Engine = e
	}
	maps.DeleteFunc(c.engines, func(s ident.BackendServer, _ *engine) bool { return !present[s] })
}

func (c *Core) tick(now time.Duration) []Action {
	epoch, ok := c.holder.Holds(now, c.cfg.Slot)
	if !ok {
		return nil
	}
	if epoch != c.epoch {
		c.begin(now, epoch)
	}
	c.replan(now)
	c.weights.fill(now, c.cfg.WeightRate)
	targets := c.targets()
	var out []Action
	for _, s := range c.servers() {
		out = append(out, c.drive(now, c.engines[s], targets[s])...)
	}
	return out
}

// begin starts a term of holding: nothing that was known before counts.
func (c *Core) begin(now time.Duration, epoch uint64) {
	c.epoch = epoch
	c.since = now
	c.fencedOff = false
	c.serial = 0
	c.weights = weightBucket{at: now}
	for s, e := range c.engines {
		c.engines[s] = &engine{Engine: e.Engine, readAt: -c.cfg.ReadEvery}
	}
}

// replan acts upon a change of the wanted replicas once it was wanted for long.
func (c *Core) replan(now time.Duration) {
	counts := replicaCounts(c.demands, len(c.engines))
	if !maps.Equal(counts, c.counts) {
		c.counts = counts
		c.countsSince = now
	}
	if c.plan == nil || now-c.countsSince >= c.cfg.StableFor {
		c.plan = c.counts
	}
}

func (c *Core) servers() []ident.BackendServer {
	return slices.Sorted(maps.Keys(c.engines))
}

// targets says which model each engine should have. It is empty until all
// engines that answer were read once.
func (c *Core) targets() map[ident.BackendServer]Model {
	loaded := map[ident.BackendServer]Model{}
	var known []ident.BackendServer
	for _, s := range c.servers() {
		if e := c.engines[s]; e.known {
			known = append(known, s)
			loaded[s] = e.loaded
		}
	}
	return assign(known, loaded, c.plan)
}

// drive takes one engine a step towards its target.
func (c *Core) drive(now time.Duration, e *engine, target Model) []Action {
	if e.order != nil {
		return c.follow(now, e)
	}
	if !e.known || now-e.readAt >= c.cfg.ReadEvery {
		return c.readBack(now, e, c.cfg.ReadEvery)
	}
	order, wanted := c.nextOrder(e, target)
	if !wanted || !c.maySend(now, e.Engine, order) {
		return nil
	}
	if order.Kind == Load && !c.weights.take(c.bytesOf(order.Model)) {
		return nil
	}
	c.serial++
	order.ID = fmt.Sprintf("o%d.%d", c.epoch, c.serial)
	e.order = &order
	e.sentAt = now
	e.begun = false
	e.unsure = false
	return []Action{SendOrder{Engine: e.Engine, Order: order}}
}

// follow reads back an order whose answer is late or lost, and gives it up when
// it can't take effect any more.
func (c *Core) follow(now time.Duration, e *engine) []Action {
	if now-e.sentAt >= c.cfg.lengthen(c.cfg.LongestOrder) {
		e.order = nil
		e.known = false
		return nil
	}
	if e.begun && (e.unsure || now-e.sentAt >= c.cfg.AnswerWithin) {
		return c.readBack(now, e, c.cfg.AnswerWithin)
	}
	return nil
}

func (c *Core) readBack(now time.Duration, e *engine, every time.Duration) []Action {
	if now-e.readAt < min(every, c.cfg.AnswerWithin) {
		return nil
	}
	e.readAt = now
	return []Action{ReadEngine{Engine: e.Engine}}
}

// nextOrder is the next order for an engine, without an id. Another model is
// unloaded before the target is loaded.
func (c *Core) nextOrder(e *engine, target Model) (Order, bool) {
	order := Order{Fence: c.epoch, Model: target}
	switch {
	case target == Model{}:
		return order, false
	case e.loaded == target && e.Engine.Role != "" && e.role != e.Engine.Role:
		order.Kind = Role
		order.Role = e.Engine.Role
	case e.loaded == target:
		return order, false
	case e.loaded != Model{}:
		order.Kind = Unload
		order.Model = e.loaded
	default:
		order.Kind = Load
	}
	return order, true
}

func (c *Core) bytesOf(m Model) int64 {
	for _, d := range c.demands {
		if d.Model == m {
			return d.Bytes
		}
	}
	return 0
}

// answered takes an engine's answer in.
func (c *Core) answered(now time.Duration, ev OrderAnswered) {
	e := c.engines[ev.Server]
	if ev.Outcome == Fenced && ev.Fence > c.epoch {
		c.fencedOff = true
	}
	if e == nil || e.order == nil || e.order.ID != ev.OrderID {
		return
	}
	switch ev.Outcome {
	case Applied:
		e.apply(now)
	case Fenced:
		e.order = nil
		e.known = false
	case Unknown:
		e.unsure = true
	}
}

// read takes a read-back in.
func (c *Core) read(now time.Duration, ev EngineRead) {
	e := c.engines[ev.Server]
	if e == nil {
		return
	}
	if e.order != nil {
		if slices.Contains(ev.Applied, e.order.ID) {
			e.apply(now)
		}
		return
	}
	e.known = true
	e.loaded = ev.Loaded
	e.role = ev.Role
}

// apply notes that the order under way took effect.
func (e *engine) apply(now time.Duration) {
	switch e.order.Kind {
	case Load:
		e.loaded = e.order.Model
	case Unload:
		e.loaded = Model{}
	case Role:
		e.role = e.order.Role
	}
	e.known = true
	e.readAt = now
	e.order = nil
}

func (w *weightBucket) fill(now time.Duration, rate float64) {
	w.level = min(w.level+rate*(now-w.at).Seconds(), rate)
	w.at = now
}

func (w *weightBucket) take(bytes int64) bool {
	if w.level <= 0 {
		return false
	}
	w.level -= float64(bytes)
	return true
}
