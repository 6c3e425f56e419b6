package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
)

func TestKVCompareAndSwap(t *testing.T) {
	c := startTestCluster(t)
	rev, err := c.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", callTimeout)
	require.NoError(t, err)
	_, err = c.kv.CAS("a", []byte("2"), kv.ExpectAbsent, "", callTimeout)
	var conflict *kv.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, rev, conflict.Current.Revision)
	require.Equal(t, []byte("1"), conflict.Current.Value)
	rev, err = c.kv.CAS("a", []byte("2"), rev, "", callTimeout)
	require.NoError(t, err)
	got, err := c.kv.Get("a", callTimeout)
	require.NoError(t, err)
	require.Equal(t, kv.Entry{Key: "a", Value: []byte("2"), Revision: rev}, got)
	require.ErrorAs(t, c.kv.Delete("a", rev-1, callTimeout), &conflict)
	require.NoError(t, c.kv.Delete("a", rev, callTimeout))
	_, err = c.kv.Get("a", callTimeout)
	require.ErrorIs(t, err, kv.ErrNotFound)
	_, err = c.kv.CAS("a", make([]byte, kv.MaxValueBytes+1), kv.ExpectAny, "", callTimeout)
	require.ErrorContains(t, err, "at most")
}

func TestKVLostReplyReturnsUnknownOutcome(t *testing.T) {
	c := startTestCluster(t)
	c.postFault(t, Fault{Target: "kv", Kind: LoseReply, Count: 1})
	_, err := c.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", callTimeout)
	require.ErrorIs(t, err, kv.ErrUnknownOutcome)
	require.NotErrorIs(t, err, kv.ErrUnavailable)
	got, err := c.kv.Get("a", callTimeout)
	require.NoError(t, err)
	require.Equal(t, []byte("1"), got.Value)
}

func TestKVDownReturnsUnavailable(t *testing.T) {
	c := startTestCluster(t)
	c.postFault(t, Fault{Target: "kv", Kind: Down})
	_, err := c.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", callTimeout)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	c.postFault(t, Fault{Target: "kv", Kind: Down, Hard: true})
	_, err = c.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", callTimeout)
	require.ErrorIs(t, err, kv.ErrUnknownOutcome, "a reset connection leaves the outcome unknown")
	_, err = c.kv.Get("a", callTimeout)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	c.postFault(t, Fault{Target: "kv", Kind: Die})
	require.Eventually(t, func() bool { return !c.Cluster.kv.alive() }, callTimeout, time.Millisecond)
	_, err = c.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", callTimeout)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	c.postFault(t, Fault{Target: "kv", Kind: Die, Off: true})
	c.postFault(t, Fault{Target: "kv", Kind: Down, Off: true})
	_, err = c.kv.Get("a", callTimeout)
	require.ErrorIs(t, err, kv.ErrNotFound)
}

func TestKVLeasesExpireUnlessKeptAlive(t *testing.T) {
	c := startTestCluster(t)
	lease, err := c.kv.Grant(time.Minute, callTimeout)
	require.NoError(t, err)
	_, err = c.kv.CAS("held", []byte("me"), kv.ExpectAbsent, lease, callTimeout)
	require.NoError(t, err)
	require.NoError(t, c.kv.KeepAlive(lease, callTimeout))
	c.postFault(t, Fault{Target: "kv", Kind: LapseLease})
	require.ErrorIs(t, c.kv.KeepAlive(lease, callTimeout), kv.ErrNotFound)
	_, err = c.kv.Get("held", callTimeout)
	require.ErrorIs(t, err, kv.ErrNotFound)
	short, err := c.kv.Grant(time.Millisecond, callTimeout)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return c.kv.Revoke(short, callTimeout) != nil }, callTimeout, 5*time.Millisecond)
}

func TestKVWatchBlocksAndReportsDeletions(t *testing.T) {
	c := startTestCluster(t)
	rev, err := c.kv.CAS("p/a", []byte("1"), kv.ExpectAbsent, "", callTimeout)
	require.NoError(t, err)
	none, err := c.kv.Watch("p/", rev, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, none.Entries)
	listings := make(chan kv.Listing, 1)
	go func() {
		listing, _ := c.kv.Watch("p/", rev, callTimeout)
		listings <- listing
	}()
	_, err = c.kv.CAS("q/other", nil, kv.ExpectAny, "", callTimeout)
	require.NoError(t, err)
	require.NoError(t, c.kv.Delete("p/a", rev, callTimeout))
	listing := <-listings
	require.Len(t, listing.Entries, 1)
	require.True(t, listing.Entries[0].Deleted)
	require.Equal(t, listing.Revision, listing.Entries[0].Revision)
}

func TestTokenBucketLimitsRate(t *testing.T) {
	bucket := newTokenBucket(10)
	now := bucket.last
	for range 10 {
		require.Zero(t, bucket.take(now, 1))
	}
	require.Equal(t, 100*time.Millisecond, bucket.take(now, 1))
	require.Zero(t, bucket.take(now.Add(101*time.Millisecond), 1))
}

// FuzzKVBodies sends arbitrary methods, URIs and bodies. The server must answer
// with a status and must not panic.
func FuzzKVBodies(f *testing.F) {
	f.Add("PUT", "/v1/kv", `{"key":"a","value":"AA==","expect_revision":0}`)
	f.Add("POST", "/v1/leases", `{"ttl_ms":1}`)
	f.Add("GET", "/v1/watch?prefix=a&after=x", "")
	f.Fuzz(func(t *testing.T, method, uri, body string) {
		s := newKVServer(0, 0)
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(method)
		ctx.Request.SetRequestURI(uri)
		ctx.Request.SetBodyString(body)
		ctx.Request.URI().QueryArgs().Set("wait_ms", "1")
		s.serve(&ctx)
		require.GreaterOrEqual(t, ctx.Response.StatusCode(), 200)
	})
}
