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

// engineServer serves one engine stage over HTTP.
type engineServer struct {
	*endpoint
	stage  *stage
	orders atomic.Pointer[orderLog]
}

func newEngineServer(cfg StageConfig) *engineServer {
	s := &engineServer{stage: newStage(cfg)}
	s.endpoint = newEndpoint(cfg.ID, s.serve)
	s.orders.Store(newOrderLog())
	s.onFault = s.handleFault
	s.stage.resetConns = func() { s.conns.forEach((*trackedConn).reset) }
	s.stage.onDeath = func() { _ = s.apply(Fault{Kind: Die}) }
	return s
}

func (s *engineServer) handleFault(f Fault) {
	switch f.Kind {
	case Die:
		s.stage.reset()
		s.orders.Store(newOrderLog())
	case Leave:
		s.stage.setLeaving(!f.Off)
	case DieMidstream:
		s.stage.setDieAfter(dieCount(f))
	}
}

// dieCount returns the number of steps or calls after which a DieMidstream fault takes
// effect; 0 means never.
func dieCount(f Fault) int {
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
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *engineServer) serveGet(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/v1/load":
		writeJSON(ctx, s.reportedLoad())
	case "/v1/events":
		s.serveEvents(ctx)
	case "/v1/orders":
		writeJSON(ctx, engine.OrdersBody{Applied: s.orders.Load().list()})
	case "/ledger":
		prefills, steps := s.stage.ledger()
		writeJSON(ctx, EngineLedger{Prefills: prefills, Steps: steps})
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *engineServer) serveSteps(ctx *fasthttp.RequestCtx) {
	var in engine.StepsBody
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	engineSteps.Add(len(in.Steps))
	writeJSON(ctx, engine.StepsReply{Results: s.stage.runSteps(in.Steps), Load: s.reportedLoad()})
}

func (s *engineServer) reportedLoad() engine.Load {
	f, _ := s.faults.lookup(LateLoad)
	load, _ := s.stage.loadHistory.get(time.Now(), f.delay())
	return load
}

func (s *engineServer) serveEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "query parameter after must be an integer")
		return
	}
	f, gaps := s.faults.lookup(EventGaps)
	keep := func() bool { return !gaps || rand.Float64() >= f.Probability }
	writeJSON(ctx, s.stage.cacheEvents(after, f.delay(), keep))
}

func (s *stage) cacheEvents(afterSeq int64, lag time.Duration, keep func() bool) engine.Events {
	s.mu.Lock()
	cache := s.prefixes
	s.mu.Unlock()
	return cache.eventsAfter(afterSeq, lag, keep)
}

func (s *engineServer) serveStream(ctx *fasthttp.RequestCtx, path string) {
	var in engine.StreamBody
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	switch path {
	case "/v1/cancel":
		s.stage.cancel(in.Stream, in.Attempt)
	case "/v1/export":
		cache, ok := s.stage.exportState(in.Stream)
		if !ok {
			writeError(ctx, fasthttp.StatusNotFound, "no such stream")
			return
		}
		writeJSON(ctx, cache)
	case "/v1/import":
		if code := s.stage.importState(in.Stream, in.Attempt, in.Blob); code != "" {
			writeError(ctx, fasthttp.StatusConflict, code)
		}
	}
}

func (s *engineServer) serveOrder(ctx *fasthttp.RequestCtx) {
	var o engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.OrderID == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "the body must be an order with an order_id")
		return
	}
	_, ignoreFence := s.faults.lookup(IgnoreFence)
	out, fenced := s.orders.Load().apply(o, s.stage.cfg.ChecksOrders && !ignoreFence)
	if fenced {
		writeJSON(ctx, engine.FencedBody{Error: "fenced", FencingToken: out.FencingToken})
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	writeJSON(ctx, out)
}
