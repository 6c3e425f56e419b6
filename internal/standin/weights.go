package standin

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// weightStore is the weight store. It limits the reserved bytes per second.
type weightStore struct {
	*endpoint
	byteLimit *tokenBucket
}

func newWeightStore(bytesPerSecond float64) *weightStore {
	s := &weightStore{byteLimit: newTokenBucket(bytesPerSecond)}
	s.endpoint = newEndpoint("weights", s.serve)
	return s
}

func (s *weightStore) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/v1/weights" {
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	bytes, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("bytes")), 10, 64)
	if err != nil || bytes < 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "query parameter bytes must be an integer of at least 0")
		return
	}
	if wait := s.byteLimit.take(time.Now(), float64(bytes)); wait > 0 {
		writeRateLimited(ctx, wait)
		return
	}
	writeJSON(ctx, map[string]int64{"bytes": bytes})
}
