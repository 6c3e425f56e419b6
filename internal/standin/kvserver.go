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

// leaseScanInterval is the interval between two scans for expired leases.
const leaseScanInterval = 20 * time.Millisecond

// downPollInterval is how often a pending watch checks for a Down fault.
const downPollInterval = 100 * time.Millisecond

var (
	kvReads       = metrics.NewCounter("catkin_standin_kv_reads_total")
	kvWrites      = metrics.NewCounter("catkin_standin_kv_writes_total")
	kvConflicts   = metrics.NewCounter("catkin_standin_kv_conflicts_total")
	kvRateLimited = metrics.NewCounter("catkin_standin_kv_over_rate_total")
)

// kvServer serves the key-value service over HTTP.
type kvServer struct {
	*endpoint
	store      *kvStore
	readLimit  *tokenBucket
	writeLimit *tokenBucket
}

func newKVServer(readsPerSecond, writesPerSecond float64) *kvServer {
	s := &kvServer{
		store:      newKVStore(),
		readLimit:  newTokenBucket(readsPerSecond),
		writeLimit: newTokenBucket(writesPerSecond),
	}
	s.endpoint = newEndpoint("kv", s.serve)
	s.onFault = s.handleFault
	return s
}

func (s *kvServer) start(addr string) error {
	go s.expireLeases()
	return s.endpoint.start(addr)
}

func (s *kvServer) expireLeases() {
	ticker := time.NewTicker(leaseScanInterval)
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

func (s *kvServer) handleFault(f Fault) {
	if f.Kind == LapseLease {
		s.faults.set(Fault{Kind: LapseLease, Off: true})
		s.store.expire(time.Now(), true)
	}
}

func (s *kvServer) serve(ctx *fasthttp.RequestCtx) {
	counter, limit := kvWrites, s.writeLimit
	if ctx.IsGet() {
		counter, limit = kvReads, s.readLimit
	}
	counter.Inc()
	if wait := limit.take(time.Now(), 1); wait > 0 {
		kvRateLimited.Inc()
		writeRateLimited(ctx, wait)
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
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *kvServer) serveRead(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if args.Has("prefix") {
		writeJSON(ctx, s.store.list(string(args.Peek("prefix"))))
		return
	}
	e, _, ok := s.store.get(string(args.Peek("key")))
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, "no such key")
		return
	}
	writeJSON(ctx, e)
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
		writeError(ctx, fasthttp.StatusBadRequest, "the body must have a key and an expect_revision")
		return
	}
	if len(in.Value) > kv.MaxValueBytes {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "the value exceeds 1 MiB")
		return
	}
	if in.Lease != "" && !s.store.hasLease(in.Lease) {
		writeError(ctx, fasthttp.StatusBadRequest, "no such lease")
		return
	}
	e := kv.Entry{Key: in.Key, Value: in.Value, Lease: in.Lease}
	revision, current, ok := s.store.cas(e, *in.ExpectRevision)
	if !ok {
		writeConflict(ctx, current)
		return
	}
	writeJSON(ctx, map[string]int64{"revision": revision})
}

func (s *kvServer) serveDelete(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	expect, err := strconv.ParseInt(string(args.Peek("expect_revision")), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "query parameter expect_revision must be an integer")
		return
	}
	current, ok := s.store.remove(string(args.Peek("key")), expect)
	if !ok {
		writeConflict(ctx, current)
	}
}

func writeConflict(ctx *fasthttp.RequestCtx, current *kv.Entry) {
	kvConflicts.Inc()
	writeJSON(ctx, map[string]*kv.Entry{"entry": current})
	ctx.SetStatusCode(fasthttp.StatusConflict)
}

// serveWatch waits for changes; it fails early when a Down fault is switched on.
func (s *kvServer) serveWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := strconv.ParseInt(string(args.Peek("after")), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "query parameter after must be an integer")
		return
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	timer := time.NewTimer(min(wait, kv.MaxWatchWait))
	defer timer.Stop()
	downTicker := time.NewTicker(downPollInterval)
	defer downTicker.Stop()
	prefix := string(args.Peek("prefix"))
	for {
		listing, changed := s.store.changesAfter(prefix, after)
		if len(listing.Entries) > 0 {
			writeJSON(ctx, listing)
			return
		}
		select {
		case <-changed:
		case <-downTicker.C:
			if _, down := s.faults.lookup(Down); down {
				writeError(ctx, fasthttp.StatusServiceUnavailable, "down")
				return
			}
		case <-timer.C:
			writeJSON(ctx, listing)
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
		writeError(ctx, fasthttp.StatusBadRequest, "ttl_ms must be positive")
		return
	}
	id := s.store.grant(time.Duration(in.TTLMillis)*time.Millisecond, time.Now())
	writeJSON(ctx, leaseBody{Lease: id})
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
		writeError(ctx, fasthttp.StatusNotFound, "no such lease")
	}
}
