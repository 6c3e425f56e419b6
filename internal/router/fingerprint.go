package router

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/routes"
	"github.com/catkinstair/catkinstair/platform"
)

// fingerprintOf returns a hash of the method, host, path, team, prompt and body of a request.
func fingerprintOf(h *fasthttp.RequestHeader, team *routes.Team, body []byte) string {
	d := xxhash.New()
	fields := [][]byte{h.Method(), h.Host(), h.RequestURI(), nil, h.Peek(platform.HeaderPromptParts), body}
	if team != nil {
		fields[3] = []byte(team.Name)
	}
	var length [8]byte
	for _, f := range fields {
		// The length separates the fields. A Digest's Write never fails.
		_, _ = d.Write(binary.BigEndian.AppendUint64(length[:0], uint64(len(f))))
		_, _ = d.Write(f)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}
