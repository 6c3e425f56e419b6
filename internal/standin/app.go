package standin

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/engine"
)

var appCalls = metrics.NewCounter("catkin_standin_app_calls_total")

// LedgerEntry counts the executions of calls with one key and body.
type LedgerEntry struct {
	Key      string `json:"key"`
	BodyHash string `json:"body_hash"`
	Count    int    `json:"count"`
}

// EngineLedger counts the prefills by PromptHash (first stages only) and all
// steps that an engine executed.
type EngineLedger struct {
	Prefills map[string]int `json:"prefills"`
	Steps    int64          `json:"steps"`
}

// BodyHash returns the hash by which the ledger identifies a body.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// AppResponse returns the response body of an executed call, which is the same for
// every replica.
func AppResponse(method, path string, body []byte) []byte {
	sum := xxhash.Sum64String(method + " " + path + "\n" + string(body))
	out, _ := json.Marshal(map[string]any{
		"path":      path,
		"body_hash": BodyHash(body),
		"number":    strconv.FormatUint(sum, 16),
	})
	return out
}

// AppConfig describes one application replica.
type AppConfig struct {
	ID string
	// CallTime is the duration of one call.
	CallTime time.Duration
	// Capacity is the maximum number of concurrent calls; others are refused as not
	// run.
	Capacity int
}

// appServer is one application replica. It does not deduplicate calls.
type appServer struct {
	*endpoint
	cfg AppConfig

	mu      sync.Mutex
	running int
	leaving bool
	// dieAfter is the number of calls until the replica dies; 0 means never.
	dieAfter    int
	ledger      map[LedgerEntry]int
	loadHistory history[engine.Load]
}

func newAppServer(cfg AppConfig) *appServer {
	s := &appServer{cfg: cfg, ledger: map[LedgerEntry]int{}}
	s.endpoint = newEndpoint(cfg.ID, s.serve)
	s.onFault = s.handleFault
	s.recordLoadLocked()
	return s
}

func (s *appServer) handleFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case Leave:
		s.leaving = !f.Off
	case DieMidstream:
		s.dieAfter = dieCount(f)
	}
}

func (s *appServer) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ledger":
		writeJSON(ctx, map[string][]LedgerEntry{"entries": s.ledgerEntries()})
		return
	case "/v1/load":
		f, _ := s.faults.lookup(LateLoad)
		load, _ := s.loadHistory.get(time.Now(), f.delay())
		writeJSON(ctx, load)
		return
	}
	appCalls.Inc()
	if !s.tryBegin() {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "not run: leaving or full")
		ctx.Response.Header.Set(app.HeaderNotRun, "1")
		return
	}
	s.sleep(s.cfg.CallTime)
	if s.execute(ctx) {
		// Drop the connection before the reply is written.
		dropConn(ctx, false)
		_ = s.apply(Fault{Kind: Die})
	}
}

func (s *appServer) tryBegin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.running >= s.cfg.Capacity {
		return false
	}
	s.running++
	s.recordLoadLocked()
	return true
}

// execute sets the response of the call and records the call in the ledger unless it
// is a GET. It reports whether the replica must die before it replies.
func (s *appServer) execute(ctx *fasthttp.RequestCtx) (mustDie bool) {
	body := ctx.PostBody()
	ctx.SetContentType("application/json")
	ctx.SetBody(AppResponse(string(ctx.Method()), string(ctx.URI().PathOriginal()), body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordLoadLocked()
	if !ctx.IsGet() {
		key := string(ctx.Request.Header.Peek(app.HeaderIdempotencyKey))
		s.ledger[LedgerEntry{Key: key, BodyHash: BodyHash(body)}]++
	}
	if s.dieAfter == 0 {
		return false
	}
	s.dieAfter--
	return s.dieAfter == 0
}

func (s *appServer) recordLoadLocked() {
	now := time.Now()
	s.loadHistory.record(now, engine.Load{
		Running:          s.running,
		Capacity:         s.cfg.Capacity,
		MeasuredAtMillis: now.UnixMilli(),
	})
}

// ledgerEntries returns the ledger, which is kept across restarts of the replica.
func (s *appServer) ledgerEntries() []LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]LedgerEntry, 0, len(s.ledger))
	for entry, n := range s.ledger {
		entry.Count = n
		out = append(out, entry)
	}
	return out
}
