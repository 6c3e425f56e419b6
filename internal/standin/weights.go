package standin

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// weightStore is the rate-limited weight store.
type weightStore struct {
	*endpoint
	bytes *rate
}

func newWeightStore(bytesPerSecond float64) *weightStore {
	s := &weightStore{bytes: newRate(bytesPerSecond)}
	s.endpoint = newEndpoint("weights", s.serve)
	return s
}

func (s *weightStore) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/v1/weights" {
		fail(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	bytes, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("bytes")), 10, 64)
	if err != nil || bytes < 0 {
		fail(ctx, fasthttp.StatusBadRequest, "want bytes of 0 or more")
		return
	}
	if wait := s.bytes.take(time.Now(), float64(bytes)); wait > 0 {
		overRate(ctx, wait)
		return
	}
	reply(ctx, map[string]int64{"bytes": bytes})
}
