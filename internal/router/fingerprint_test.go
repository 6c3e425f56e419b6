package router

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/routes"
)

func TestFingerprintIsThatOfTheRequestNotItsID(t *testing.T) {
	fingerprint := func(method, host, uri, team, body, id string) string {
		var h fasthttp.RequestHeader
		h.SetMethod(method)
		h.SetHost(host)
		h.SetRequestURI(uri)
		h.Set("X-Request-Id", id)
		return fingerprintOf(&h, &routes.Team{Name: team}, []byte(body))
	}
	first := fingerprint("GET", "host", "/a/b", "team", "body", "1")
	require.Equal(t, first, fingerprint("GET", "host", "/a/b", "team", "body", "2"))
	var h fasthttp.RequestHeader
	h.SetMethod("GET")
	h.SetHost("host")
	h.SetRequestURI("/a/b")
	h.Set("X-Prompt-Prefix", "part:10")
	require.NotEqual(t, first, fingerprintOf(&h, &routes.Team{Name: "team"}, []byte("body")), "another prompt")
	seen := map[string]bool{first: true}
	for _, other := range []string{fingerprint("POST", "host", "/a/b", "team", "body", "1"), fingerprint("GET", "other", "/a/b", "team", "body", "1"),
		fingerprint("GET", "host", "/a/c", "team", "body", "1"), fingerprint("GET", "host", "/a/b", "other", "body", "1"),
		fingerprint("GET", "host", "/a/b", "team", "", "1"), fingerprint("GET", "host", "/a/", "bteam", "body", "1")} {
		require.False(t, seen[other])
		seen[other] = true
	}
}
