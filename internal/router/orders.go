package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/engine"
	"github.com/catkinstair/catkinstair/internal/placement"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// loadSlack is added to a load's predicted time before the order is taken for
	// lost: the record has to come back through the store. Source: the store's
	// answer and a heartbeat of the users' sites (1.2 s).
	loadSlack = 1500 * time.Millisecond
	// orderRetry is the pause after an order that was refused or got no answer.
	orderRetry = 500 * time.Millisecond
)

var errDutyLost = errors.New("this VM holds the duty no more")

// giveOrders plans while this VM holds the duty. The orders of a plan are sent some at
// a time, and all before the next plan: the first plan of a fleet has one for each
// server, and has to be done before traffic comes.
func (r *Router) giveOrders(ctx context.Context) {
	atOnce := make(chan struct{}, r.cfg.OrdersAtOnce)
	for ctx.Err() == nil {
		pause(ctx, r.cfg.PlanEvery)
		var sent sync.WaitGroup
		for _, o := range r.plan() {
			atOnce <- struct{}{}
			sent.Go(func() {
				defer func() { <-atOnce }()
				r.place(o)
			})
		}
		sent.Wait()
	}
}

// order is a placement with what its call needs.
type order struct {
	placement.Order
	addr     string
	accepted uint64
	fence    uint64
	load     time.Duration
}

// plan asks the core for the orders of every model service, and notes them as
// under way.
func (r *Router) plan() []order {
	now := r.clock.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.core.Table()
	settled := r.everHeld || now-r.lastNew > r.cfg.Settle
	if table == nil || !r.duty.IsLeader(now) || !settled {
		return nil
	}
	r.core.Backends.Expire(now)
	for in := range r.moving {
		if s := r.core.Backends.Get(in.ID); s == nil || s.StartedMs != in.StartedMs {
			delete(r.moving, in)
		}
	}
	var out []order
	for name, svc := range table.Config().Services {
		if svc.Engine == nil {
			continue
		}
		for _, o := range placement.Plan(r.cfg.Placement, svc.Engine, r.placeHolders(now, name, svc.Engine)) {
			s := r.core.Backends.Get(o.Instance.ID)
			load := svc.Engine.LoadTime(o.Layers.Len())
			r.moving[o.Instance] = movement{layers: o.Layers, until: now + load + loadSlack}
			out = append(out, order{Order: o, addr: s.Addr, accepted: s.AcceptedOrders, fence: r.duty.FencingToken(), load: load})
		}
	}
	return out
}

func (r *Router) placeHolders(now time.Duration, service string, spec *engine.Spec) []placement.Server {
	var out []placement.Server
	for _, s := range r.core.Backends.ByService(service) {
		card, known := spec.Accelerators[s.Accelerator]
		if s.State != backend.Ready || !known {
			continue
		}
		h := placement.Server{Instance: s.Instance(), Domain: s.Domain, Accelerator: card, Held: s.Held, Suspect: s.Suspect(now)}
		if m, ok := r.moving[s.Instance()]; ok {
			h.Held, h.OrderPending = m.layers, true
			if now >= m.until {
				m.until = now + orderRetry
				r.moving[s.Instance()] = m
				r.askMoving(s.Instance(), s.Addr)
			}
		}
		out = append(out, h)
	}
	return out
}

// askMoving asks a server whose order should be done by now. It may still wait for
// streams that pass the layers it gives up, and takes no other order meanwhile. The
// caller holds mu.
func (r *Router) askMoving(in backend.Instance, addr string) {
	err := r.pool.Submit(func() {
		rep, err := r.report(addr)
		if err != nil {
			r.log.Warn().Err(err).Str("server", string(in.ID)).Msg("report not read")
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil && !rep.Busy {
			r.believeReport(in, rep)
			delete(r.moving, in)
		}
	})
	if err != nil {
		r.log.Warn().Err(err).Str("server", string(in.ID)).Msg("server not asked for its order: all workers are busy")
	}
}

// believeReport takes in what a server holds, unless it is of another life or older
// than what is known. The caller holds mu.
func (r *Router) believeReport(in backend.Instance, rep platform.Report) {
	s := r.core.Backends.Get(in.ID)
	if s != nil && s.StartedMs == in.StartedMs && s.StartedMs == rep.StartedMs && rep.AcceptedOrders >= s.AcceptedOrders {
		s.AcceptedOrders, s.Held = rep.AcceptedOrders, rep.Held
	}
}

// place sends one order. One without an answer may have been accepted: the next
// plan goes by what the server reports.
func (r *Router) place(o order) {
	body, err := platform.EncodePlaceOrder(o.Layers, o.fence, o.accepted)
	if err != nil {
		r.log.Error().Err(err).Msg("order not encoded")
		return
	}
	status, _, err := r.sendOrder(o.addr, body)
	ev := r.log.Info()
	switch {
	case err == nil && status == platform.StatusOrderAccepted:
		r.orderBegun(o)
	case err == nil && status == fasthttp.StatusOK:
	default:
		ev = r.log.Warn().Err(err)
		r.refreshOrders(o)
	}
	r.met.orders.Inc()
	ev.Str("server", string(o.Instance.ID)).Int("from", o.Layers.From).Int("to", o.Layers.To).Uint64("fence", o.fence).
		Uint64("expected", o.accepted).Int("status", status).Dur("load", o.load).Msg("order: hold layers")
}

// orderBegun counts an accepted order.
func (r *Router) orderBegun(o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.core.Backends.Get(o.Instance.ID); s != nil && s.StartedMs == o.Instance.StartedMs {
		s.AcceptedOrders = max(s.AcceptedOrders, o.accepted+1)
	}
}

// sendOrder makes the call, if this VM still holds the duty at this moment.
func (r *Router) sendOrder(addr string, body []byte) (status int, fault string, err error) {
	r.mu.Lock()
	may := r.duty.IsLeader(r.clock.now())
	r.mu.Unlock()
	if !may {
		return 0, "", errDutyLost
	}
	return r.order(addr, body)
}

// order makes the call of an order, on a connection of its own. A refusal may name
// the server at fault.
func (r *Router) order(addr string, body []byte) (status int, fault string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + platform.OrderURI)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := r.calls.Do(addr, req, resp, httpcall.Within(r.cfg.OrderTimeout).WithNewConnection()); err != nil {
		return 0, "", err
	}
	return resp.StatusCode(), platform.OrderFaultAddr(resp.Body()), nil
}

// refreshOrders asks a server that refused an order what it holds and how many
// orders it has accepted: its record tells neither at once. One that is busy with an
// order of another giver holds nothing that could be planned with.
func (r *Router) refreshOrders(o order) {
	rep, err := r.report(o.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.moving[o.Instance]; ok {
		m.until = r.clock.now() + orderRetry
		if err == nil && rep.Busy {
			m.layers = backend.Layers{}
		}
		r.moving[o.Instance] = m
	}
	if err != nil {
		r.log.Warn().Err(err).Str("server", string(o.Instance.ID)).Msg("report not read")
		return
	}
	r.believeReport(o.Instance, rep)
}
