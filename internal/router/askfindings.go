package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/loads"
)

const (
	// findingsURI is the path under which a VM serves its findings and those that it received, for
	// VMs that missed the messages.
	findingsURI = "/findings"
	// askedVMs is the number of VMs that are asked: one of them may have just started as well.
	askedVMs = 2
	// askTimeout bounds the time for which a VM that starts, or was paused, waits for them.
	askTimeout = 150 * time.Millisecond
	// askWhileStopping is the interval of a VM that stops. Its record is gone, so it receives no
	// messages, but it serves its callers' open connections until it ends.
	askWhileStopping = 500 * time.Millisecond
)

// handleFindings serves this VM's findings.
func (r *Router) handleFindings(ctx *fasthttp.RequestCtx) {
	var m loads.Message
	r.locked(func() { m = r.core.KnownFindings(r.clock.now()) })
	body, err := encodeMessage(m)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
}

// askFindings asks other VMs for their findings and applies them. It takes at most askTimeout.
func (r *Router) askFindings() {
	var asked sync.WaitGroup
	for _, addr := range r.vmsToAsk() {
		asked.Go(func() { r.runGuarded("findings", addr, func() { r.askFindingsOf(addr) }) })
	}
	asked.Wait()
}

// vmsToAsk returns the addresses of the VMs to ask, those of this failure domain first.
func (r *Router) vmsToAsk() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []member
	for name, m := range r.members {
		if name != r.settings.VM && m.PeerAddr != "" {
			others = append(others, m)
		}
	}
	order := func(m member) uint64 {
		rank := xxhash.Sum64String(r.settings.VM+"/"+m.PeerAddr) >> 1
		if m.Domain != r.settings.Domain {
			rank |= 1 << 63
		}
		return rank
	}
	slices.SortFunc(others, func(a, b member) int { return cmp.Compare(order(a), order(b)) })
	var out []string
	for _, m := range others[:min(askedVMs, len(others))] {
		out = append(out, m.PeerAddr)
	}
	return out
}

func (r *Router) askFindingsOf(addr string) {
	m, err := r.requestFindings(addr)
	if err != nil {
		r.log.Info().Err(err).Str("addr", addr).Msg("findings: asking another VM failed")
		return
	}
	r.handleLoads(m)
}

func (r *Router) requestFindings(addr string) (loads.Message, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + findingsURI)
	if err := r.controlClient.Do(addr, req, resp, httpcall.Within(askTimeout)); err != nil {
		return loads.Message{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return loads.Message{}, httpcall.NewStatusError(addr, req, resp, httpcall.MayHaveArrived)
	}
	m, _, err := loads.Decode(resp.Body())
	return m, errors.Wrap(err, "findings of another VM")
}

// askFindingsWhileStopping asks for findings at intervals while this VM stops, until ctx ends.
func (r *Router) askFindingsWhileStopping(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, askWhileStopping)
		if r.stopping.Load() {
			r.askFindings()
		}
	}
}
