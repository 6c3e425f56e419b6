package standin

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
)

// leaseScan is how often lapsed leases are looked for.
const leaseScan = 20 * time.Millisecond

// downLook is how often a waiting watch looks whether the service went down.
const downLook = 100 * time.Millisecond

var (
	kvReads     = metrics.NewCounter("catkin_standin_kv_reads_total")
	kvWrites    = metrics.NewCounter("catkin_standin_kv_writes_total")
	kvConflicts = metrics.NewCounter("catkin_standin_kv_conflicts_total")
	kvOverRate  = metrics.NewCounter("catkin_standin_kv_over_rate_total")
)

// kvServer is the key-value service.
type kvServer struct {
	*endpoint
	store  *kvStore
	reads  *rate
	writes *rate
}

func newKVServer(readsPerSecond, writesPerSecond float64) *kvServer {
	s := &kvServer{
		store:  newKVStore(),
		reads:  newRate(readsPerSecond),
		writes: newRate(writesPerSecond),
	}
	s.endpoint = newEndpoint("kv", s.serve)
	s.onFault = s.faulted
	return s
}

func (s *kvServer) start(addr string) error {
	go s.expireLeases()
	return s.endpoint.start(addr)
}

func (s *kvServer) expireLeases() {
	ticker := time.NewTicker(leaseScan)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.store.expire(now, false)
		case <-s.stopped:
			return
		}
	}
}

func (s *kvServer) faulted(f Fault) {
	if f.Kind == LapseLease {
		s.faults.set(Fault{Kind: LapseLease, Off: true})
		s.store.expire(time.Now(), true)
	}
}

func (s *kvServer) serve(ctx *fasthttp.RequestCtx) {
	counter, limit := kvWrites, s.writes
	if ctx.IsGet() {
		counter, limit = kvReads, s.reads
	}
	counter.Inc()
	if wait := limit.take(time.Now(), 1); wait > 0 {
		kvOverRate.Inc()
		overRate(ctx, wait)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/kv" && ctx.IsGet():
		s.serveRead(ctx)
	case path == "/v1/kv" && ctx.IsPut():
		s.serveCAS(ctx)
	case path == "/v1/kv" && ctx.IsDelete():
		s.serveDelete(ctx)
	case path == "/v1/watch" && ctx.IsGet():
		s.serveWatch(ctx)
	case path == "/v1/leases" && ctx.IsPost():
		s.serveGrant(ctx)
	case strings.HasPrefix(path, "/v1/leases/"):
		s.serveLease(ctx, strings.TrimPrefix(path, "/v1/leases/"))
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *kvServer) serveRead(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if args.Has("prefix") {
		reply(ctx, s.store.list(string(args.Peek("prefix"))))
		return
	}
	e, _, ok := s.store.get(string(args.Peek("key")))
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "no such key")
		return
	}
	reply(ctx, e)
}

type casBody struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	ExpectRevision *int64 `json:"expect_revision"`
	Lease          string `json:"lease"`
}

func (s *kvServer) serveCAS(ctx *fasthttp.RequestCtx) {
	var in casBody
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || in.Key == "" || in.ExpectRevision == nil {
		fail(ctx, fasthttp.StatusBadRequest, "want key, value and expect_revision")
		return
	}
	if len(in.Value) > kv.MaxValueBytes {
		fail(ctx, fasthttp.StatusRequestEntityTooLarge, "value over a megabyte")
		return
	}
	if in.Lease != "" && !s.store.hasLease(in.Lease) {
		fail(ctx, fasthttp.StatusBadRequest, "no such lease")
		return
	}
	e := kv.Entry{Key: in.Key, Value: in.Value, Lease: in.Lease}
	revision, current, ok := s.store.cas(e, *in.ExpectRevision)
	if !ok {
		conflict(ctx, current)
		return
	}
	reply(ctx, map[string]int64{"revision": revision})
}

func (s *kvServer) serveDelete(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	expect, err := strconv.ParseInt(string(args.Peek("expect_revision")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "want expect_revision")
		return
	}
	current, ok := s.store.remove(string(args.Peek("key")), expect)
	if !ok {
		conflict(ctx, current)
	}
}

func conflict(ctx *fasthttp.RequestCtx, current *kv.Entry) {
	kvConflicts.Inc()
	reply(ctx, map[string]*kv.Entry{"entry": current})
	ctx.SetStatusCode(fasthttp.StatusConflict)
}

// serveWatch waits for changes; it ends early when the service goes down.
func (s *kvServer) serveWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := strconv.ParseInt(string(args.Peek("after")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "want after")
		return
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	timer := time.NewTimer(min(wait, kv.MaxWatchWait))
	defer timer.Stop()
	look := time.NewTicker(downLook)
	defer look.Stop()
	prefix := string(args.Peek("prefix"))
	for {
		listing, changed := s.store.changesAfter(prefix, after)
		if len(listing.Entries) > 0 {
			reply(ctx, listing)
			return
		}
		select {
		case <-changed:
		case <-look.C:
			if _, down := s.faults.on(Down); down {
				fail(ctx, fasthttp.StatusServiceUnavailable, "down")
				return
			}
		case <-timer.C:
			reply(ctx, listing)
			return
		case <-s.stopped:
			return
		}
	}
}

type leaseBody struct {
	TTLMillis int64  `json:"ttl_ms,omitempty"`
	Lease     string `json:"lease,omitempty"`
}

func (s *kvServer) serveGrant(ctx *fasthttp.RequestCtx) {
	var in leaseBody
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || in.TTLMillis <= 0 {
		fail(ctx, fasthttp.StatusBadRequest, "want ttl_ms over 0")
		return
	}
	id := s.store.grant(time.Duration(in.TTLMillis)*time.Millisecond, time.Now())
	reply(ctx, leaseBody{Lease: id})
}

func (s *kvServer) serveLease(ctx *fasthttp.RequestCtx, rest string) {
	id, renew := strings.CutSuffix(rest, "/keepalive")
	ok := false
	switch {
	case renew && ctx.IsPost():
		ok = s.store.keepAlive(id, time.Now())
	case ctx.IsDelete():
		ok = s.store.revoke(id)
	}
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "no such lease")
	}
}
