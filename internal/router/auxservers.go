package router

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/platform"
)

// routerMetrics holds the metrics of the process.
type routerMetrics struct {
	storeErrors, loadSendErrors, watcherErrors, orders, reports, refused, resumed, repathed, retried, failed *metrics.Counter
	served, logLinesDropped, panics, promptsBlocked, partsBlocked, storeEraChanges, passedOn, cutOff         *metrics.Counter
	peerBytes, findingsDelayed                                                                               *metrics.Counter
	promptHolderKnown, promptHolderChosen, promptTokensHeld                                                  *metrics.Counter
	repathRefused                                                                                            *metrics.Counter
	configCorrections, entriesTooLarge                                                                       *metrics.Counter
	invalidMessages, invalidRecords, sentToLeaving                                                           *metrics.Counter
	plainDuration, firstEventDelay                                                                           *metrics.Histogram
	detectorMetrics
}

func newRouterMetrics() *routerMetrics {
	registerBuildInfo()
	c := metrics.GetOrCreateCounter
	return &routerMetrics{
		detectorMetrics: newDetectorMetrics(),
		storeErrors:     c("catkin_router_store_errors_total"), loadSendErrors: c("catkin_router_loads_not_sent_total"),
		watcherErrors: c("catkin_router_reader_errors_total"), orders: c("catkin_router_orders_total"),
		reports: c("catkin_router_reports_total"), refused: c("catkin_router_refused_total"),
		resumed: c("catkin_router_resumed_total"), repathed: c("catkin_router_repathed_total"), retried: c("catkin_router_repeated_total"),
		failed: c("catkin_router_failed_total"), served: c("catkin_router_served_total"),
		promptsBlocked: c("catkin_router_blocked_requests_total"), partsBlocked: c("catkin_router_blocked_parts_total"),
		storeEraChanges: c("catkin_router_store_era_changes_total"),
		passedOn:        c("catkin_router_passed_on_total"), cutOff: c("catkin_router_cut_off_total"),
		peerBytes: c("catkin_router_peer_bytes_total"), findingsDelayed: c("catkin_router_findings_delayed_total"),
		invalidMessages: c("catkin_router_invalid_messages_total"), invalidRecords: c("catkin_router_invalid_vm_records_total"), sentToLeaving: c("catkin_router_sent_to_leaving_total"),
		logLinesDropped: c("catkin_router_log_lines_lost_total"), panics: c("catkin_router_panics_total"),
		promptHolderKnown:  c("catkin_router_prompt_holder_known_total"),
		promptHolderChosen: c("catkin_router_prompt_holder_chosen_total"), promptTokensHeld: c("catkin_router_prompt_tokens_held_total"),
		repathRefused:     c("catkin_router_repath_refused_total"),
		configCorrections: c("catkin_router_config_corrections_total"),
		entriesTooLarge:   c("catkin_router_store_entries_too_large_total"),
		plainDuration:     metrics.GetOrCreateHistogram("catkin_router_plain_seconds"),
		firstEventDelay:   metrics.GetOrCreateHistogram("catkin_router_first_event_seconds"),
	}
}

// serveAux starts the servers of the readiness check, the directory and the metrics.
func (r *Router) serveAux() error {
	type auxServer struct {
		duty    connbudget.Duty
		addr    string
		handler fasthttp.RequestHandler
	}
	servers := []auxServer{{connbudget.Readiness, r.settings.Listen.Ready, r.handleReady}, {connbudget.Directory, r.settings.Listen.Directory, r.handleResolve}}
	if r.cfg.MetricsPort > 0 {
		host, _, err := net.SplitHostPort(r.settings.Listen.Ready)
		if err != nil {
			return errors.Wrap(err, "address of the readiness check")
		}
		addr := net.JoinHostPort(host, strconv.Itoa(r.cfg.MetricsPort))
		servers = append(servers, auxServer{connbudget.Metrics, addr, r.handleMetrics})
	}
	for _, a := range servers {
		l, err := ingress.Listen("tcp4", a.addr)
		if err != nil {
			return err
		}
		s := r.newAuxServer(a.handler)
		r.auxServers = append(r.auxServers, s)
		r.serve(a.duty, l, s)
	}
	return nil
}

const (
	// auxHeaderBytes and auxBodyBytes bound a request to a server other than those of requests
	// to backend servers.
	auxHeaderBytes = 8 << 10
	auxBodyBytes   = 4 << 10
)

// newAuxServer returns a server for short requests. Idle connections keep no buffers.
func (r *Router) newAuxServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Logger: httpLogger{r.log}, Handler: r.guarded(r.accounted(handler)), ErrorHandler: ingress.RefuseUnread, NoDefaultServerHeader: true,
		ReadBufferSize: auxHeaderBytes, MaxRequestBodySize: auxBodyBytes, DisablePreParseMultipartForm: true, ReduceMemoryUsage: true,
	}
}

// accounted returns a handler that records that its request has been read whole, and refuses a
// response for which there is no memory.
func (r *Router) accounted(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !ingress.Received(ctx) {
			ctx.SetConnectionClose()
		}
		h(ctx)
		if !r.bodies.Hold(ctx, len(ctx.Response.Body())) {
			ctx.Response.Reset()
			ctx.Error("responses that others do not read hold the memory", fasthttp.StatusServiceUnavailable)
			ctx.SetConnectionClose()
		}
	}
}

// handleMetrics serves operators: the metrics, the blocked parts and the VMs.
func (r *Router) handleMetrics(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == blockedPartsURI && ctx.IsDelete():
		r.handleLiftBlock(ctx)
	case path == blockedPartsURI:
		r.handleBlockedParts(ctx)
	case path == vmsURI:
		r.handleVMs(ctx)
	default:
		metrics.WritePrometheus(ctx, true)
	}
}

func (r *Router) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != platform.ReadyURI {
		ctx.Error("no such call", fasthttp.StatusNotFound)
		return
	}
	if ok, reason := r.ready(); !ok {
		ctx.Error("not ready: "+reason, fasthttp.StatusServiceUnavailable)
	}
}

// handleResolve returns the addresses that a caller should use: those in the caller's
// failure domain if there are at least two, otherwise all, and at most MaxAddresses.
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
	lifetime := min(r.cfg.AddressLifetime, r.bounds.Load().DirectoryTTL)
	body, err := json.Marshal(platform.NewAddressList(addrs, lifetime))
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
	var sameDomain, all []string
	for _, m := range r.members {
		if m.CallerAddr == "" || m.VM == r.settings.VM && r.stopping.Load() {
			continue
		}
		all = append(all, m.CallerAddr)
		if m.Domain == domain {
			sameDomain = append(sameDomain, m.CallerAddr)
		}
	}
	const minSameDomain = 2 // a single VM may be the one that fails
	if len(sameDomain) >= minSameDomain {
		all = sameDomain
	}
	return all[:min(len(all), platform.MaxAddresses)]
}
