package router

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/platform"
)

// counters are the metrics of the process.
type counters struct {
	storeErrors, gossipErrors, readerErrors, orders, reports, refused, resumed, repathed, repeated, failed *metrics.Counter
	served, linesLost                                                                                      *metrics.Counter
	plainTime, firstEvent                                                                                  *metrics.Histogram
}

func newCounters() *counters {
	c := metrics.GetOrCreateCounter
	return &counters{
		storeErrors: c("catkin_router_store_errors_total"), gossipErrors: c("catkin_router_loads_not_sent_total"),
		readerErrors: c("catkin_router_reader_errors_total"), orders: c("catkin_router_orders_total"),
		reports: c("catkin_router_reports_total"), refused: c("catkin_router_refused_total"),
		resumed: c("catkin_router_resumed_total"), repathed: c("catkin_router_repathed_total"), repeated: c("catkin_router_repeated_total"),
		failed: c("catkin_router_failed_total"), served: c("catkin_router_served_total"),
		linesLost:  c("catkin_router_log_lines_lost_total"),
		plainTime:  metrics.GetOrCreateHistogram("catkin_router_plain_seconds"),
		firstEvent: metrics.GetOrCreateHistogram("catkin_router_first_event_seconds"),
	}
}

// serveSmall serves the readiness check, the directory and the metrics.
func (r *Router) serveSmall() error {
	small := map[string]fasthttp.RequestHandler{
		r.set.Listen.Ready:     r.handleReady,
		r.set.Listen.Directory: r.handleResolve,
	}
	if r.cfg.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(r.set.Listen.Ready)
		if err != nil {
			return errors.Wrap(err, "address of the readiness check")
		}
		small[net.JoinHostPort(host, strconv.Itoa(r.cfg.MetricsPort))] = func(ctx *fasthttp.RequestCtx) {
			metrics.WritePrometheus(ctx, true)
		}
	}
	for addr, handler := range small {
		l, err := listen(addr)
		if err != nil {
			return err
		}
		s := &fasthttp.Server{Logger: serverLog{r.log}, Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: 8 << 10}
		r.small = append(r.small, s)
		go func() {
			if err := s.Serve(l); err != nil {
				r.log.Error().Err(err).Str("addr", l.Addr().String()).Msg("server ended")
			}
		}()
	}
	return nil
}

func (r *Router) handleReady(ctx *fasthttp.RequestCtx) {
	if ok, why := r.ready(); !ok || string(ctx.Path()) != platform.ReadyURI {
		ctx.Error("not ready: "+why, fasthttp.StatusServiceUnavailable)
	}
}

// handleResolve tells a caller which addresses to use: those in its own failure
// domain, where there are two of them, otherwise all.
func (r *Router) handleResolve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != platform.ResolveURI {
		ctx.Error("no such call", fasthttp.StatusNotFound)
		return
	}
	domain := string(ctx.QueryArgs().Peek(platform.ResolveDomainParam))
	addrs := r.addresses(domain)
	if len(addrs) == 0 {
		ctx.Error("no VM is known yet", fasthttp.StatusServiceUnavailable)
		return
	}
	life := min(r.cfg.AddressLifetime, r.bounds.Load().DirectoryTTL)
	body, err := json.Marshal(platform.NewAddressList(addrs, life))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (r *Router) addresses(domain string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, all []string
	for _, m := range r.members {
		if m.VM == r.set.VM && r.stopping.Load() {
			continue
		}
		all = append(all, m.Callers)
		if m.Domain == domain {
			near = append(near, m.Callers)
		}
	}
	const enoughNear = 2 // one VM alone may be the one that fails
	if len(near) >= enoughNear {
		all = near
	}
	return all[:min(len(all), platform.MaxAddresses)]
}
