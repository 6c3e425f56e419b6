package router

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/platform"
)

// recordLimit records the limit that a response of a server names in its header, "" for none,
// and passes a change on to the other VMs.
func (r *Router) recordLimit(in backend.Instance, header string) {
	perSecond, ok := 0.0, false
	if header != "" {
		if perSecond, ok = platform.ParseServerLimit(header); !ok {
			r.log.Warn().Str("server", string(in.ID)).Str("header", platform.HeaderServerLimit).Str("value", header).Msg("invalid limit in a response, ignored")
			return
		}
	}
	changed := false
	r.locked(func() {
		if ok {
			changed = r.core.RecordLimit(r.clock.now(), in, perSecond)
		} else {
			changed = r.core.RecordNoLimit(r.clock.now(), in)
		}
	})
	if !changed {
		return
	}
	event := r.log.Info().Str("server", string(in.ID))
	if ok {
		event.Float64("perSecond", perSecond).Msg("backend server limits its requests")
	} else {
		event.Msg("backend server no longer limits its requests")
	}
	r.sendFindingsNow()
}

var errServerPaused = errors.New("the server has asked for a pause")

// recordPause records the pause that a server asks for in the header of a refusal, "" for none.
func (r *Router) recordPause(in backend.Instance, header string) {
	if header == "" {
		return
	}
	pause, ok := platform.ParseRetryAfter(header)
	if !ok {
		r.log.Warn().Str("server", string(in.ID)).Str("header", platform.HeaderRetryAfter).Str("value", header).Msg("invalid pause in a refusal, ignored")
		return
	}
	r.locked(func() { r.core.RecordPause(r.clock.now(), in, pause) })
	r.log.Info().Str("server", string(in.ID)).Dur("pause", pause).Msg("backend server asks for a pause")
}

// paused reports whether the server at addr has asked for a pause that has not ended.
func (r *Router) paused(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.core.Backends.ByAddr(addr)
	return s != nil && r.core.Paused(r.clock.now(), s.Instance())
}

// recordControlCall counts a report or an order sent to the server at addr.
func (r *Router) recordControlCall(addr string) {
	r.locked(func() {
		if s := r.core.Backends.ByAddr(addr); s != nil {
			r.core.RecordControlCall(s.Instance())
		}
	})
}

// recordControlResponse records what the response to a report or an order says of the server
// at addr. Without a limit in its header it ends none.
func (r *Router) recordControlResponse(addr string, h *fasthttp.ResponseHeader) {
	var in backend.Instance
	r.locked(func() {
		if s := r.core.Backends.ByAddr(addr); s != nil {
			in = s.Instance()
		}
	})
	if in.ID == "" {
		return
	}
	if limit := h.Peek(platform.HeaderServerLimit); len(limit) > 0 {
		r.recordLimit(in, string(limit))
	}
	r.recordLeaving(in, string(h.Peek(platform.HeaderServerLeaving)))
}
