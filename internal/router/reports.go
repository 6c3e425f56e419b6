package router

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/platform"
)

// resultCache keeps the last result of a call to each address for MaxReportAge, an error as well: streams
// that fall silent together need the same one, and each call has a cost.
type resultCache[T any] struct {
	mu      sync.Mutex
	entries map[string]*cachedResult[T]
}

type cachedResult[T any] struct {
	mu     sync.Mutex // held during the call, so that others wait for its result
	at     time.Time
	result T
	err    error
}

// maxResults bounds the cached addresses, far above the number of servers on any path.
const maxResults = 4096

func newResultCache[T any]() *resultCache[T] {
	return &resultCache[T]{entries: map[string]*cachedResult[T]{}}
}

func (c *resultCache[T]) entry(addr string) *cachedResult[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[addr]
	if e == nil {
		if len(c.entries) >= maxResults {
			clear(c.entries)
		}
		e = &cachedResult[T]{}
		c.entries[addr] = e
	}
	return e
}

// get returns the result of call for an address, or the last one if it is at most maxAge old.
func (c *resultCache[T]) get(addr string, maxAge time.Duration, call func(addr string) (T, error)) (T, error) {
	e := c.entry(addr)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.at) > maxAge {
		e.result, e.err = call(addr)
		e.at = time.Now()
	}
	return e.result, e.err
}

// cachedReport returns a server's report, fetched at most MaxReportAge ago. A report is already some
// hundred milliseconds old when it arrives.
func (r *Router) cachedReport(addr string) (platform.Report, error) {
	return r.reportCache.get(addr, r.cfg.MaxReportAge, r.requestReport)
}

func (r *Router) requestReport(addr string) (platform.Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + platform.ReportURI)
	if r.paused(addr) {
		return platform.Report{}, errors.Wrap(errServerPaused, addr)
	}
	r.metrics.reports.Inc()
	r.recordControlCall(addr)
	if err := r.controlClient.Do(addr, req, resp, httpcall.Within(r.cfg.DialTimeout)); err != nil {
		return platform.Report{}, err
	}
	r.recordControlResponse(addr, &resp.Header)
	if resp.StatusCode() != fasthttp.StatusOK {
		return platform.Report{}, httpcall.NewStatusError(addr, req, resp, httpcall.MayHaveArrived)
	}
	return platform.DecodeReport(resp.Body())
}
