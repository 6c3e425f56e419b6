package router

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/platform"
)

// reports keeps the last report of each server for a moment: streams that fall
// silent together ask the same question, and each is priced. A report is some hundred
// milliseconds old when it comes.
type reports struct {
	mu   sync.Mutex
	last map[string]*lastReport
}

type lastReport struct {
	mu  sync.Mutex // held during the call: others wait for its answer
	at  time.Time
	rep platform.Report
	err error
}

// maxReports bounds the servers remembered; far more than any path has.
const maxReports = 4096

func newReports() *reports { return &reports{last: map[string]*lastReport{}} }

func (c *reports) of(addr string) *lastReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.last[addr]
	if l == nil {
		if len(c.last) >= maxReports {
			clear(c.last)
		}
		l = &lastReport{}
		c.last[addr] = l
	}
	return l
}

// report is what a server says of itself, at most ReportAge old.
func (r *Router) report(addr string) (platform.Report, error) {
	l := r.reports.of(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.at) > r.cfg.ReportAge {
		l.rep, l.err = r.askReport(addr)
		l.at = time.Now()
	}
	return l.rep, l.err
}

func (r *Router) askReport(addr string) (platform.Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + platform.ReportURI)
	r.met.reports.Inc()
	if err := r.calls.Do(addr, req, resp, httpcall.Within(r.cfg.DialTimeout)); err != nil {
		return platform.Report{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return platform.Report{}, httpcall.NewStatusError(addr, req, resp, httpcall.MayHaveArrived)
	}
	return platform.DecodeReport(resp.Body())
}
