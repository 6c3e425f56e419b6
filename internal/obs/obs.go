package obs

import (
	"io"
	"os"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Levels are the log levels that a setting accepts.
var Levels = []string{"debug", "info", "warn", "error"}

// setTimeFormat sets zerolog's time format, which is global, before the first logger is used.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs })

// NewLogger returns a logger that writes JSON lines to w, with times in ms since the epoch.
// It sets that time format for the whole process. The error names an unknown level.
func NewLogger(w io.Writer, level, program string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrapf(err, "log level %q", level)
	}
	setTimeFormat()
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("program", program).Logger(), nil
}

// Stderr returns the standard error stream.
func Stderr() io.Writer { return os.Stderr }

// Health serves the liveness and readiness probes of a process. The zero value is alive and
// not ready.
type Health struct {
	ready  atomic.Bool
	reason atomic.Value
}

// SetReady sets whether the process may receive traffic, and the reason if not.
func (h *Health) SetReady(ready bool, reason string) {
	h.reason.Store(reason)
	h.ready.Store(ready)
}

// Ready reports whether the process may receive traffic.
func (h *Health) Ready() bool { return h.ready.Load() }

// Serve handles /metrics, /healthz and /readyz, and reports whether the path was one of
// them.
func (h *Health) Serve(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		metrics.WritePrometheus(ctx, true)
	case "/healthz":
		ctx.SetBodyString("alive\n")
	case "/readyz":
		h.serveReady(ctx)
	default:
		return false
	}
	return true
}

func (h *Health) serveReady(ctx *fasthttp.RequestCtx) {
	if h.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	reason, _ := h.reason.Load().(string)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready: " + reason + "\n")
}
