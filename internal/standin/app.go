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

// LedgerEntry counts how often a call with one key and body was executed.
type LedgerEntry struct {
	Key      string `json:"key"`
	BodyHash string `json:"body_hash"`
	Count    int    `json:"count"`
}

// EngineLedger counts an engine's prefills by PromptHash (first stages only)
// and all its steps.
type EngineLedger struct {
	Prefills map[string]int `json:"prefills"`
	Steps    int64          `json:"steps"`
}

// BodyHash names a body in the ledger.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// AppAnswer is what every replica answers to a call that it executed.
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
	// CallTime is how long one call takes.
	CallTime time.Duration
	// Capacity is the number of calls at once; more are refused as not run.
	Capacity int
}

// appServer is one application replica. It does not deduplicate.
type appServer struct {
	*endpoint
	cfg AppConfig

	mu       sync.Mutex
	running  int
	leaving  bool
	dieAfter int
	ledger   map[LedgerEntry]int
	load     lagged[engine.Load]
}

func newAppServer(cfg AppConfig) *appServer {
	s := &appServer{cfg: cfg, ledger: map[LedgerEntry]int{}}
	s.endpoint = newEndpoint(cfg.ID, s.serve)
	s.onFault = s.faulted
	s.recordLoadLocked()
	return s
}

func (s *appServer) faulted(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case Leave:
		s.leaving = !f.Off
	case DieMidstream:
		s.dieAfter = dieAfter(f)
	}
}

func (s *appServer) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ledger":
		reply(ctx, map[string][]LedgerEntry{"entries": s.entries()})
		return
	case "/v1/load":
		f, _ := s.faults.on(LateLoad)
		load, _ := s.load.get(time.Now(), f.delay())
		reply(ctx, load)
		return
	}
	appCalls.Inc()
	if !s.begin() {
		fail(ctx, fasthttp.StatusServiceUnavailable, "not run: leaving or full")
		ctx.Response.Header.Set(app.HeaderNotRun, "1")
		return
	}
	s.pause(s.cfg.CallTime)
	if s.execute(ctx) {
		// Before the reply can be written.
		cut(ctx, false)
		_ = s.apply(Fault{Kind: Die})
	}
}

func (s *appServer) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.running >= s.cfg.Capacity {
		return false
	}
	s.running++
	s.recordLoadLocked()
	return true
}

// execute records the call, except for GET, and answers it. It says whether the
// replica has to die now.
func (s *appServer) execute(ctx *fasthttp.RequestCtx) (dies bool) {
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
	s.load.put(now, engine.Load{
		Running:          s.running,
		Capacity:         s.cfg.Capacity,
		MeasuredAtMillis: now.UnixMilli(),
	})
}

// entries returns the ledger. It outlives the death of the replica.
func (s *appServer) entries() []LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]LedgerEntry, 0, len(s.ledger))
	for entry, n := range s.ledger {
		entry.Count = n
		out = append(out, entry)
	}
	return out
}
