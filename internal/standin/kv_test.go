package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/kv"
)

func TestKVCompareAndSwap(t *testing.T) {
	w := start(t)
	rev, err := w.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", wait)
	require.NoError(t, err)
	_, err = w.kv.CAS("a", []byte("2"), kv.ExpectAbsent, "", wait)
	var conflict *kv.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, rev, conflict.Current.Revision)
	require.Equal(t, []byte("1"), conflict.Current.Value)
	rev, err = w.kv.CAS("a", []byte("2"), rev, "", wait)
	require.NoError(t, err)
	got, err := w.kv.Get("a", wait)
	require.NoError(t, err)
	require.Equal(t, kv.Entry{Key: "a", Value: []byte("2"), Revision: rev}, got)
	require.ErrorAs(t, w.kv.Delete("a", rev-1, wait), &conflict)
	require.NoError(t, w.kv.Delete("a", rev, wait))
	_, err = w.kv.Get("a", wait)
	require.ErrorIs(t, err, kv.ErrNotFound)
	_, err = w.kv.CAS("a", make([]byte, kv.MaxValueBytes+1), kv.ExpectAny, "", wait)
	require.ErrorContains(t, err, "at most")
}

func TestKVLostReplyIsUnknownAndReadBack(t *testing.T) {
	w := start(t)
	w.postFault(t, Fault{Target: "kv", Kind: LoseReply, Count: 1})
	_, err := w.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", wait)
	require.ErrorIs(t, err, kv.ErrUnknownOutcome)
	require.NotErrorIs(t, err, kv.ErrUnavailable)
	got, err := w.kv.Get("a", wait)
	require.NoError(t, err)
	require.Equal(t, []byte("1"), got.Value)
}

func TestKVDownHasNoEffect(t *testing.T) {
	w := start(t)
	w.postFault(t, Fault{Target: "kv", Kind: Down})
	_, err := w.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", wait)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	w.postFault(t, Fault{Target: "kv", Kind: Down, Hard: true})
	_, err = w.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", wait)
	require.ErrorIs(t, err, kv.ErrUnknownOutcome, "a cut connection says nothing")
	_, err = w.kv.Get("a", wait)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	w.postFault(t, Fault{Target: "kv", Kind: Die})
	require.Eventually(t, func() bool { return !w.Cluster.kv.alive() }, wait, time.Millisecond)
	_, err = w.kv.CAS("a", []byte("1"), kv.ExpectAbsent, "", wait)
	require.ErrorIs(t, err, kv.ErrUnavailable)
	w.postFault(t, Fault{Target: "kv", Kind: Die, Off: true})
	w.postFault(t, Fault{Target: "kv", Kind: Down, Off: true})
	_, err = w.kv.Get("a", wait)
	require.ErrorIs(t, err, kv.ErrNotFound)
}

func TestKVLeasesLapseAndAreKept(t *testing.T) {
	w := start(t)
	lease, err := w.kv.Grant(time.Minute, wait)
	require.NoError(t, err)
	_, err = w.kv.CAS("held", []byte("me"), kv.ExpectAbsent, lease, wait)
	require.NoError(t, err)
	require.NoError(t, w.kv.KeepAlive(lease, wait))
	w.postFault(t, Fault{Target: "kv", Kind: LapseLease})
	require.ErrorIs(t, w.kv.KeepAlive(lease, wait), kv.ErrNotFound)
	_, err = w.kv.Get("held", wait)
	require.ErrorIs(t, err, kv.ErrNotFound)
	short, err := w.kv.Grant(time.Millisecond, wait)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return w.kv.Revoke(short, wait) != nil }, wait, 5*time.Millisecond)
}

func TestKVWatchWaitsAndTellsDeletions(t *testing.T) {
	w := start(t)
	rev, err := w.kv.CAS("p/a", []byte("1"), kv.ExpectAbsent, "", wait)
	require.NoError(t, err)
	none, err := w.kv.Watch("p/", rev, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, none.Entries)
	news := make(chan kv.Listing, 1)
	go func() {
		l, _ := w.kv.Watch("p/", rev, wait)
		news <- l
	}()
	_, err = w.kv.CAS("q/other", nil, kv.ExpectAny, "", wait)
	require.NoError(t, err)
	require.NoError(t, w.kv.Delete("p/a", rev, wait))
	l := <-news
	require.Len(t, l.Entries, 1)
	require.True(t, l.Entries[0].Deleted)
	require.Equal(t, l.Revision, l.Entries[0].Revision)
}

func TestKVKeepsToItsRate(t *testing.T) {
	bucket := newRate(10)
	now := bucket.last
	for range 10 {
		require.Zero(t, bucket.take(now, 1))
	}
	require.Equal(t, 100*time.Millisecond, bucket.take(now, 1))
	require.Zero(t, bucket.take(now.Add(101*time.Millisecond), 1))
}

// FuzzKVBodies sends any body to every call that takes one: the answer is a
// status, never a panic.
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
