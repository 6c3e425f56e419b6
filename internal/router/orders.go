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
	// loadSlack is added to an order's expected load time before the server is asked about
	// it, because the new record has to arrive through the store. It covers a response of
	// the store and the platform's heartbeat interval (1.2 s).
	loadSlack = 1500 * time.Millisecond
	// orderRetryDelay is the pause after an order that was refused or got no response, and
	// between two report requests about a pending one.
	orderRetryDelay = 500 * time.Millisecond
)

var errNotLeader = errors.New("this VM is no longer the leader")

// runPlacement plans and sends orders while this VM is the leader, until ctx ends. The
// orders of a plan are sent concurrently, because the first plan has an order for each
// server and must be done before traffic arrives; all of them end before the next plan.
func (r *Router) runPlacement(ctx context.Context) {
	sem := make(chan struct{}, r.cfg.MaxConcurrentOrders)
	for ctx.Err() == nil {
		pause(ctx, r.cfg.PlanInterval)
		var sends sync.WaitGroup
		var orders []placementOrder
		r.runGuarded("placement", "plan", func() { orders = r.plan() })
		for _, o := range orders {
			sem <- struct{}{}
			sends.Go(func() {
				defer func() { <-sem }()
				r.runGuarded("placement", string(o.Instance.ID), func() { r.sendPlacement(o) })
			})
		}
		sends.Wait()
	}
}

// placementOrder is an order of a plan with the parameters of its call.
type placementOrder struct {
	placement.Order
	addr           string
	acceptedOrders uint64
	fencingToken   uint64
	loadTime       time.Duration
}

// plan returns the orders for every model service and records them as pending.
func (r *Router) plan() []placementOrder {
	now := r.clock.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.core.Table()
	settled := r.layersSeen || now-r.lastServerAdded > r.cfg.SettleTime
	if table == nil || !r.election.IsLeader(now) || !settled {
		return nil
	}
	r.core.Backends.Expire(now)
	for inst := range r.pendingOrders {
		if s := r.core.Backends.Get(inst.ID); s == nil || s.StartedMs != inst.StartedMs {
			delete(r.pendingOrders, inst)
		}
	}
	var out []placementOrder
	for name, svc := range table.Config().Services {
		if svc.Engine == nil {
			continue
		}
		orders := placement.Plan(r.cfg.Placement, svc.Engine, r.placementServers(now, name, svc.Engine))
		concurrent := len(r.pendingOrders) + len(orders)
		for _, o := range orders {
			s := r.core.Backends.Get(o.Instance.ID)
			loadTime := svc.Engine.LoadTime(o.Layers.Len(), concurrent)
			r.pendingOrders[o.Instance] = pendingOrder{layers: o.Layers, checkAt: now + loadTime + loadSlack}
			out = append(out, placementOrder{Order: o, addr: s.Addr, acceptedOrders: s.AcceptedOrders, fencingToken: r.election.FencingToken(), loadTime: loadTime})
		}
	}
	return out
}

// placementServers returns a service's ready servers as input for a plan. A server with a
// pending order counts as holding the ordered layers; if the order is overdue, the server
// is asked about it. The caller holds mu.
func (r *Router) placementServers(now time.Duration, service string, spec *engine.Spec) []placement.Server {
	var out []placement.Server
	for _, s := range r.core.Backends.ByService(service) {
		accelerator, known := spec.Accelerators[s.Accelerator]
		if s.State != backend.Ready || !known {
			continue
		}
		server := placement.Server{Instance: s.Instance(), Domain: s.Domain, Accelerator: accelerator, Held: s.Held, Suspect: s.Failed(now), Limited: r.core.Limited(now, s.Instance())}
		if pending, ok := r.pendingOrders[s.Instance()]; ok {
			server.Held, server.OrderPending = pending.layers, true
			if now >= pending.checkAt {
				pending.checkAt = now + orderRetryDelay
				r.pendingOrders[s.Instance()] = pending
				r.checkPendingOrder(s.Instance(), s.Addr)
			}
		}
		out = append(out, server)
	}
	return out
}

// checkPendingOrder asks a server about an order that should be done by now. The server
// may still wait for streams on the layers it releases, and accepts no other order
// meanwhile. The caller holds mu.
func (r *Router) checkPendingOrder(inst backend.Instance, addr string) {
	err := r.workers.Submit(func() {
		rep, err := r.cachedReport(addr)
		if err != nil {
			r.log.Warn().Err(err).Str("server", string(inst.ID)).Msg("reading a server's report failed")
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil && !rep.Busy && rep.StartedMs == inst.StartedMs {
			r.applyReport(inst, rep)
			delete(r.pendingOrders, inst)
		}
	})
	if err != nil {
		r.log.Warn().Err(err).Str("server", string(inst.ID)).Msg("pending order not checked: all workers are busy")
	}
}

// applyReport updates the layers that a server holds, unless the report is from another
// incarnation or older than the known state. The caller holds mu.
func (r *Router) applyReport(inst backend.Instance, rep platform.Report) {
	s := r.core.Backends.Get(inst.ID)
	if s != nil && s.StartedMs == inst.StartedMs && s.StartedMs == rep.StartedMs && rep.AcceptedOrders >= s.AcceptedOrders {
		s.AcceptedOrders, s.Held = rep.AcceptedOrders, rep.Held
	}
}

// sendPlacement sends one order. An order without a response may have been accepted: the
// next plan uses what the server reports.
func (r *Router) sendPlacement(o placementOrder) {
	body, err := platform.EncodePlaceOrder(o.Layers, o.fencingToken, o.acceptedOrders)
	if err != nil {
		r.log.Error().Err(err).Msg("encoding an order failed")
		return
	}
	status, _, err := r.sendOrderAsLeader(o.Instance.ID, o.addr, body)
	event := r.log.Info()
	switch {
	case err == nil && status == platform.StatusOrderAccepted:
		r.recordAcceptedOrder(o)
	case err == nil && status == fasthttp.StatusOK:
	default:
		event = r.log.Warn().Err(err)
		r.refreshAfterRefusal(o)
	}
	r.metrics.orders.Inc()
	event.Str("server", string(o.Instance.ID)).Int("from", o.Layers.From).Int("to", o.Layers.To).Uint64("fence", o.fencingToken).
		Uint64("expected", o.acceptedOrders).Int("status", status).Dur("load", o.loadTime).Msg("order: hold layers")
}

// recordAcceptedOrder updates the count of orders that the server has accepted.
func (r *Router) recordAcceptedOrder(o placementOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.core.Backends.Get(o.Instance.ID); s != nil && s.StartedMs == o.Instance.StartedMs {
		s.AcceptedOrders = max(s.AcceptedOrders, o.acceptedOrders+1)
	}
}

// sendOrderAsLeader posts an order if this VM is still the leader when the first byte is
// written: the connection may take long to open, and the process may be paused meanwhile.
// What reaches the server later all the same carries the count of accepted orders that it
// expects, which the first order of a successor changes.
func (r *Router) sendOrderAsLeader(to backend.ID, addr string, body []byte) (status int, faultAddr string, err error) {
	return r.postOrder(to, addr, body, r.checkLeader)
}

func (r *Router) checkLeader() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.election.IsLeader(r.clock.now()) {
		return errNotLeader
	}
	return nil
}

// postOrder posts an order on a new connection, unless beforeSend returns an error. Another server
// than to, which uses the address by now, refuses it. faultAddr is the server that a refusal names as
// its cause, if any.
func (r *Router) postOrder(to backend.ID, addr string, body []byte, beforeSend func() error) (status int, faultAddr string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + platform.OrderURI)
	req.Header.SetContentType("application/json")
	req.Header.Set(platform.HeaderServerID, string(to))
	req.SetBodyRaw(body)
	opt := httpcall.Within(r.cfg.OrderTimeout).WithNewConnection()
	opt.BeforeSend = beforeSend
	r.recordControlCall(addr)
	if err := r.controlClient.Do(addr, req, resp, opt); err != nil {
		return 0, "", err
	}
	r.recordControlResponse(addr, &resp.Header)
	return resp.StatusCode(), platform.OrderFaultAddr(resp.Body()), nil
}

// refreshAfterRefusal asks a server that refused an order for its layers and its count of
// accepted orders, since its record shows both with a delay. A server that is busy with an
// order of another leader counts as holding no layers.
func (r *Router) refreshAfterRefusal(o placementOrder) {
	rep, err := r.cachedReport(o.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if pending, ok := r.pendingOrders[o.Instance]; ok {
		pending.checkAt = r.clock.now() + orderRetryDelay
		if err == nil && rep.Busy && rep.StartedMs == o.Instance.StartedMs {
			pending.layers = backend.Layers{}
		}
		r.pendingOrders[o.Instance] = pending
	}
	if err != nil {
		r.log.Warn().Err(err).Str("server", string(o.Instance.ID)).Msg("reading a server's report failed")
		return
	}
	r.applyReport(o.Instance, rep)
}
