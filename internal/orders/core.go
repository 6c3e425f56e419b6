package orders

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// SlotLease reports whether this process holds a slot, and when its lease expires unless
// it is renewed.
// *lease.Core implements it.
type SlotLease interface {
	Holds(now time.Duration, slot int) (epoch uint64, ok bool)
	HeldUntil() time.Duration
}

// Core issues orders while this process holds the slot. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	lease   SlotLease
	engines map[ident.BackendServer]*engine
	demands []ModelDemand
	// epoch is the lease epoch that the fields below belong to; 0 means none.
	epoch uint64
	// heldSince is when the slot was first held in this epoch.
	heldSince time.Duration
	// fencedOff is set once an engine has reported a fencing token above epoch.
	fencedOff bool
	// serial is the number of the last order in this epoch, which is part of its id.
	serial uint64
	// wantedReplicas is the number of engines per model that the demand requires,
	// unchanged since wantedSince; plannedReplicas is the target in effect.
	wantedReplicas, plannedReplicas map[Model]int
	wantedSince                     time.Duration
	loadBudget                      weightBucket
}

// engine is the leader's view of one engine.
type engine struct {
	Engine
	// known is set once the loaded model was read in this epoch.
	known  bool
	loaded Model
	role   string
	readAt time.Duration
	// order has been pending since sentAt; nil if there is none.
	order  *Order
	sentAt time.Duration
	// sendBegun is set when the shell begins to send the order, at sentAt.
	sendBegun bool
	// answerLost is set when the order's answer was lost.
	answerLost bool
}

// weightBucket is a token bucket for the weight store's rate, in bytes. A load may
// overdraw it while it is not empty, since a load larger than the bucket could otherwise
// never start.
type weightBucket struct {
	tokens   float64
	filledAt time.Duration
}

// New returns a Core without engines.
func New(cfg Config, lease SlotLease) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, lease: lease, engines: map[ident.BackendServer]*engine{}}, nil
}

// BeginSend reports whether the order of a SendOrder action may be sent now, and records
// that the send has begun. The shell calls it with a fresh time immediately before the
// send, once for each SendOrder.
func (c *Core) BeginSend(now time.Duration, server ident.BackendServer, order Order) bool {
	e := c.engines[server]
	if e == nil || e.order == nil || e.order.ID != order.ID || e.sendBegun {
		return false
	}
	if !c.maySend(now, e.Engine, order) {
		e.order = nil
		return false
	}
	e.sendBegun = true
	e.sentAt = now
	return true
}

// maySend reports whether an order may be sent: only under the lease, and to an engine
// that ignores fencing tokens only when neither an order of the previous leader can still
// take effect after it, nor it after an order of the next leader.
func (c *Core) maySend(now time.Duration, e Engine, order Order) bool {
	epoch, ok := c.lease.Holds(now, c.cfg.Slot)
	if !ok || epoch != order.FencingToken || c.fencedOff {
		return false
	}
	if e.ChecksOrders {
		return true
	}
	leaseLasts := now+c.cfg.MinRemainingLease <= c.lease.HeldUntil()
	return leaseLasts && now >= c.heldSince+c.cfg.TakeoverDelay()
}

// Step handles one event at time now and returns the actions to execute.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Engines:
		c.updateEngines(ev.Engines)
	case Demands:
		c.demands = slices.Clone(ev.Demands)
	case OrderAnswered:
		c.orderAnswered(now, ev)
	case EngineRead:
		c.engineRead(now, ev)
	case Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Core) updateEngines(list []Engine) {
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
	epoch, ok := c.lease.Holds(now, c.cfg.Slot)
	if !ok {
		return nil
	}
	if epoch != c.epoch {
		c.beginTerm(now, epoch)
	}
	c.replan(now)
	c.loadBudget.refill(now, c.cfg.WeightRate)
	targetModels := c.targetModels()
	var out []Action
	for _, s := range c.servers() {
		out = append(out, c.reconcile(now, c.engines[s], targetModels[s])...)
	}
	return out
}

// beginTerm resets all state at the start of a new lease epoch: nothing learned in an
// earlier epoch is valid.
func (c *Core) beginTerm(now time.Duration, epoch uint64) {
	c.epoch = epoch
	c.heldSince = now
	c.fencedOff = false
	c.serial = 0
	c.loadBudget = weightBucket{filledAt: now}
	for s, e := range c.engines {
		c.engines[s] = &engine{Engine: e.Engine, readAt: -c.cfg.ReadInterval}
	}
}

// replan puts a change of the wanted replicas into effect once it has been stable for
// StabilizationWindow.
func (c *Core) replan(now time.Duration) {
	wantedReplicas := replicaCounts(c.demands, len(c.engines))
	if !maps.Equal(wantedReplicas, c.wantedReplicas) {
		c.wantedReplicas = wantedReplicas
		c.wantedSince = now
	}
	if c.plannedReplicas == nil || now-c.wantedSince >= c.cfg.StabilizationWindow {
		c.plannedReplicas = c.wantedReplicas
	}
}

func (c *Core) servers() []ident.BackendServer {
	return slices.Sorted(maps.Keys(c.engines))
}

// targetModels returns the model that each engine should have. Engines that have not been
// read in this epoch are left out.
func (c *Core) targetModels() map[ident.BackendServer]Model {
	loaded := map[ident.BackendServer]Model{}
	var known []ident.BackendServer
	for _, s := range c.servers() {
		if e := c.engines[s]; e.known {
			known = append(known, s)
			loaded[s] = e.loaded
		}
	}
	return assign(known, loaded, c.plannedReplicas)
}

// reconcile returns the next action, if any, that brings an engine closer to its target.
func (c *Core) reconcile(now time.Duration, e *engine, target Model) []Action {
	if e.order != nil {
		return c.checkPendingOrder(now, e)
	}
	if !e.known || now-e.readAt >= c.cfg.ReadInterval {
		return c.readBack(now, e, c.cfg.ReadInterval)
	}
	order, wanted := c.nextOrder(e, target)
	if !wanted || !c.maySend(now, e.Engine, order) {
		return nil
	}
	if order.Kind == Load && !c.loadBudget.take(c.weightBytes(order.Model)) {
		return nil
	}
	c.serial++
	order.ID = fmt.Sprintf("o%d.%d", c.epoch, c.serial)
	e.order = &order
	e.sentAt = now
	e.sendBegun = false
	e.answerLost = false
	return []Action{SendOrder{Engine: e.Engine, Order: order}}
}

// checkPendingOrder reads the engine back if the order's answer is late or lost, and
// drops the order once it can no longer take effect.
func (c *Core) checkPendingOrder(now time.Duration, e *engine) []Action {
	if now-e.sentAt >= c.cfg.withClockMargin(c.cfg.MaxOrderLatency) {
		e.order = nil
		e.known = false
		return nil
	}
	if e.sendBegun && (e.answerLost || now-e.sentAt >= c.cfg.AnswerTimeout) {
		return c.readBack(now, e, c.cfg.AnswerTimeout)
	}
	return nil
}

// readBack reads an engine's state, unless it was read within the interval or within
// AnswerTimeout, whichever is shorter.
func (c *Core) readBack(now time.Duration, e *engine, interval time.Duration) []Action {
	if now-e.readAt < min(interval, c.cfg.AnswerTimeout) {
		return nil
	}
	e.readAt = now
	return []Action{ReadEngine{Engine: e.Engine}}
}

// nextOrder returns the next order for an engine, without an id, and whether there is
// one. Another model is unloaded before the target is loaded.
func (c *Core) nextOrder(e *engine, target Model) (Order, bool) {
	order := Order{FencingToken: c.epoch, Model: target}
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

func (c *Core) weightBytes(m Model) int64 {
	for _, d := range c.demands {
		if d.Model == m {
			return d.Bytes
		}
	}
	return 0
}

// orderAnswered handles an engine's answer to an order. A higher fencing token stops all
// orders of this epoch, whichever order it answers.
func (c *Core) orderAnswered(now time.Duration, ev OrderAnswered) {
	e := c.engines[ev.Server]
	if ev.Outcome == Fenced && ev.FencingToken > c.epoch {
		c.fencedOff = true
	}
	if e == nil || e.order == nil || e.order.ID != ev.OrderID {
		return
	}
	switch ev.Outcome {
	case Applied:
		e.orderApplied(now)
	case Fenced:
		e.order = nil
		e.known = false
	case Unknown:
		e.answerLost = true
	}
}

// engineRead handles the state read back from an engine.
func (c *Core) engineRead(now time.Duration, ev EngineRead) {
	e := c.engines[ev.Server]
	if e == nil {
		return
	}
	if e.order != nil {
		if slices.Contains(ev.Applied, e.order.ID) {
			e.orderApplied(now)
		}
		return
	}
	e.known = true
	e.loaded = ev.Loaded
	e.role = ev.Role
}

// orderApplied records that the pending order took effect.
func (e *engine) orderApplied(now time.Duration) {
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

func (w *weightBucket) refill(now time.Duration, rate float64) {
	w.tokens = min(w.tokens+rate*(now-w.filledAt).Seconds(), rate)
	w.filledAt = now
}

// take deducts the bytes of one load and reports whether it may start.
func (w *weightBucket) take(bytes int64) bool {
	if w.tokens <= 0 {
		return false
	}
	w.tokens -= float64(bytes)
	return true
}
