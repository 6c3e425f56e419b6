package standin

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

var engineSteps = metrics.NewCounter("catkin_standin_engine_steps_total")

// engineServer is one engine stage with its transport.
type engineServer struct {
	*endpoint
	stage  *stage
	orders atomic.Pointer[orderBook]
}

func newEngineServer(cfg StageConfig) *engineServer {
	s := &engineServer{stage: newStage(cfg)}
	s.endpoint = newEndpoint(cfg.ID, s.serve)
	s.orders.Store(newOrderBook())
	s.onFault = s.faulted
	s.stage.cut = func() { s.conns.each((*trackedConn).reset) }
	s.stage.died = func() { _ = s.apply(Fault{Kind: Die}) }
	return s
}

func (s *engineServer) faulted(f Fault) {
	switch f.Kind {
	case Die:
		s.stage.reset()
		s.orders.Store(newOrderBook())
	case Leave:
		s.stage.setLeaving(!f.Off)
	case DieMidstream:
		s.stage.setDieAfter(dieAfter(f))
	}
}

func dieAfter(f Fault) int {
	if f.Off {
		return 0
	}
	return max(1, f.Count)
}

func (s *engineServer) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if ctx.IsGet() {
		s.serveGet(ctx, path)
		return
	}
	switch path {
	case "/v1/steps":
		s.serveSteps(ctx)
	case "/v1/cancel", "/v1/export", "/v1/import":
		s.serveStream(ctx, path)
	case "/v1/orders":
		s.serveOrder(ctx)
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *engineServer) serveGet(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/v1/load":
		reply(ctx, s.reportedLoad())
	case "/v1/events":
		s.serveEvents(ctx)
	case "/v1/orders":
		reply(ctx, engine.OrdersBody{Applied: s.orders.Load().list()})
	case "/ledger":
		prefills, ran := s.stage.ledger()
		reply(ctx, EngineLedger{Prefills: prefills, Steps: ran})
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *engineServer) serveSteps(ctx *fasthttp.RequestCtx) {
	var in engine.StepsBody
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	engineSteps.Add(len(in.Steps))
	reply(ctx, engine.StepsReply{Results: s.stage.steps(in.Steps), Load: s.reportedLoad()})
}

func (s *engineServer) reportedLoad() engine.Load {
	f, _ := s.faults.on(LateLoad)
	load, _ := s.stage.load.get(time.Now(), f.delay())
	return load
}

func (s *engineServer) serveEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "want after")
		return
	}
	f, gaps := s.faults.on(EventGaps)
	keep := func() bool { return !gaps || rand.Float64() >= f.Probability }
	reply(ctx, s.stage.cacheEvents(after, f.delay(), keep))
}

func (s *stage) cacheEvents(after int64, lag time.Duration, keep func() bool) engine.Events {
	s.mu.Lock()
	cache := s.prefixes
	s.mu.Unlock()
	return cache.after(after, lag, keep)
}

func (s *engineServer) serveStream(ctx *fasthttp.RequestCtx, path string) {
	var in engine.StreamBody
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	switch path {
	case "/v1/cancel":
		s.stage.cancel(in.Stream, in.Attempt)
	case "/v1/export":
		cache, ok := s.stage.export(in.Stream)
		if !ok {
			fail(ctx, fasthttp.StatusNotFound, "no such stream")
			return
		}
		reply(ctx, cache)
	case "/v1/import":
		if code := s.stage.take(in.Stream, in.Attempt, in.Blob); code != "" {
			fail(ctx, fasthttp.StatusConflict, code)
		}
	}
}

func (s *engineServer) serveOrder(ctx *fasthttp.RequestCtx) {
	var o engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.OrderID == "" {
		fail(ctx, fasthttp.StatusBadRequest, "want an order with order_id")
		return
	}
	_, ignores := s.faults.on(IgnoreFence)
	out, fenced := s.orders.Load().apply(o, s.stage.cfg.ChecksOrders && !ignores)
	if fenced {
		reply(ctx, engine.FencedBody{Error: "fenced", FencingToken: out.FencingToken})
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	reply(ctx, out)
}
