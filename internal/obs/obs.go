// Package obs is what every program shows of itself: JSON-line logs on standard
// error, metrics, health and readiness.
package obs

import (
	"io"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Levels are the log levels a setting may name.
var Levels = []string{"debug", "info", "warn", "error"}

// NewLogger returns a logger of JSON lines on w.
func NewLogger(w io.Writer, level, program string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrapf(err, "log level %q", level)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("program", program).Logger(), nil
}

// Stderr is where programs log.
func Stderr() io.Writer { return os.Stderr }

// Health answers the two questions an operator's probe asks: is the process
// alive, and may it take traffic. The zero value is alive and not ready.
type Health struct {
	ready  atomic.Bool
	reason atomic.Value
}

// SetReady says whether the process may take traffic, and why not.
func (h *Health) SetReady(ready bool, reason string) {
	h.reason.Store(reason)
	h.ready.Store(ready)
}

// Ready reports whether the process may take traffic.
func (h *Health) Ready() bool { return h.ready.Load() }

// Serve answers /metrics, /healthz and /readyz, and reports whether the path
// was one of them.
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

// Version is the program's version as the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
