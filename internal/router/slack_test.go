package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/paths"
	"github.com/catkinstair/catkinstair/internal/routes"
)

// Guards against streams that are moved in random order: the first events of some and the
// next events of others are due much sooner than those of the rest.
func TestStreamsWithLeastSlackMoveFirst(t *testing.T) {
	now := time.Now()
	table := newStreamTable()
	route := routes.Route{TargetLatency: 500 * time.Millisecond, MaxGap: 250 * time.Millisecond}
	add := func(id string, route routes.Route, change func(*stream), addrs ...string) {
		st := &stream{x: &exchange{receivedAt: now.Add(-time.Second)}, waiting: true, lastRead: now}
		st.x.req = dispatch.Request{ID: id, Route: &route}
		ch := &dispatch.Choice{}
		for _, addr := range addrs {
			ch.Stages = append(ch.Stages, paths.Stage{Addr: addr})
		}
		st.result.choice = ch
		change(st)
		table.add(st)
	}
	lastEvent := func(age time.Duration) func(*stream) {
		return func(st *stream) {
			st.hasEvent.Store(true)
			st.lastRead = now.Add(-age)
		}
	}
	add("no objective", routes.Route{}, lastEvent(time.Hour), "first", "lost")
	add("caller slow", route, func(st *stream) {
		lastEvent(time.Hour)(st)
		st.waiting = false
	}, "first", "lost")
	add("pause 60 ms", route, lastEvent(60*time.Millisecond), "first", "lost2")
	add("pause 200 ms", route, lastEvent(200*time.Millisecond), "first", "lost")
	add("first event due in 100 ms", route, func(st *stream) { st.x.receivedAt = now.Add(-400 * time.Millisecond) }, "first", "lost2")
	add("elsewhere", route, lastEvent(time.Second), "first", "other")
	var order []string
	for _, m := range table.leastSlackFirst(now, []string{"lost", "lost2"}) {
		order = append(order, m.stream.x.req.ID)
		require.True(t, usesServer(m.stream.choice(), m.addr))
	}
	require.Equal(t, []string{"pause 200 ms", "first event due in 100 ms", "pause 60 ms", "caller slow", "no objective"}, order)
}
