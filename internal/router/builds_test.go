package router

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/featurelevel"
	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/platform"
)

func TestMessagesDoNotEraseTheirSendersBuild(t *testing.T) {
	t.Parallel()
	sender := loads.New(loads.DefaultConfig(), loads.Member{VM: "a2", Domain: "bergen-a"}, 1)
	sender.SetMembers([]loads.Member{{VM: "a1", Domain: "bergen-a", Addr: "a1"}, {VM: "a2", Domain: "bergen-a"}})
	aggregator := loads.New(loads.DefaultConfig(), loads.Member{VM: "a2", Domain: "bergen-a"}, 1)
	aggregator.SetMembers([]loads.Member{{VM: "a2", Domain: "bergen-a"}, {VM: "a3", Domain: "bergen-a", Addr: "a3"}, {VM: "b1", Domain: "bergen-b", Addr: "b1"}})
	one := func(sends []loads.Send, i int) loads.Message { return sends[i].Message }
	paths := map[string]func() loads.Message{
		"own work":        func() loads.Message { return one(sender.Tick(0, nil), 0) },
		"findings":        func() loads.Message { return one(sender.TickFindings(0), 0) },
		"lost servers":    func() loads.Message { return sender.LostMessage([]loads.Key{1}) },
		"asked findings":  func() loads.Message { return sender.AllFindings(0) },
		"total":           func() loads.Message { return one(aggregator.Tick(0, nil), 0) },
		"sum of a domain": func() loads.Message { return one(aggregator.Tick(0, nil), 1) },
	}
	cfg := DefaultConfig()
	r := &Router{cfg: cfg, clock: newClock(), metrics: newRouterMetrics(), core: dispatch.New(cfg.Dispatch), sendLoadsNow: make(chan struct{}, 1)}
	setKnown := func() {
		r.members = map[string]member{"a2": {VM: "a2", Build: obs.Version(), FeatureLevel: featurelevel.Current}}
	}
	receive := func(m loads.Message) member {
		r.locked(func() { r.noteBuild(m) })
		return r.members["a2"]
	}
	for name, message := range paths {
		setKnown()
		body, err := encodeMessage(message())
		require.NoError(t, err)
		m, invalid, err := loads.Decode(body)
		require.NoError(t, err)
		require.Empty(t, invalid)
		require.Equal(t, featurelevel.Current, m.FeatureLevel, name)
		got := receive(m)
		require.Equal(t, obs.Version(), got.Build, name)
		require.Equal(t, featurelevel.Current, got.FeatureLevel, name)
	}
	// What builds before send, and what no build does.
	for name, test := range map[string]struct {
		m     loads.Message
		build string
		level int
	}{
		"own work of level 0":           {loads.Message{Scope: loads.ScopeVM}, "", 0},
		"own work of another build":     {loads.Message{Scope: loads.ScopeVM, Build: "other", FeatureLevel: featurelevel.Current + 1}, "other", featurelevel.Current + 1},
		"total of another level":        {loads.Message{Scope: loads.ScopeAll, FeatureLevel: featurelevel.Current + 1}, "", featurelevel.Current + 1},
		"lost servers without a level":  {loads.Message{Scope: loads.ScopeFindings, Lost: map[loads.Key]time.Duration{1: 0}}, obs.Version(), featurelevel.Current},
		"build over its bound":          {loads.Message{Scope: loads.ScopeVM, Build: strings.Repeat("x", maxBuildBytes+1), FeatureLevel: 1}, obs.Version(), featurelevel.Current},
		"build with control characters": {loads.Message{Scope: loads.ScopeVM, Build: "a\nb", FeatureLevel: 1}, obs.Version(), featurelevel.Current},
		"negative level":                {loads.Message{Scope: loads.ScopeVM, FeatureLevel: -1}, obs.Version(), featurelevel.Current},
		"huge level":                    {loads.Message{Scope: loads.ScopeVM, FeatureLevel: maxFeatureLevel + 1}, obs.Version(), featurelevel.Current},
	} {
		setKnown()
		test.m.From = "a2"
		got := receive(test.m)
		require.Equal(t, test.build, got.Build, name)
		require.Equal(t, test.level, got.FeatureLevel, name)
	}
}

// A VM's record could name a build of any length and content, which GET /vms and the log passed on.
func TestBuildsOutOfBoundsInRecordsAreDropped(t *testing.T) {
	t.Parallel()
	v := newSite(t).vm("a1")
	for name, test := range map[string]struct {
		record string
		build  string
		level  int
	}{
		"sound":              {`"build":"c0ffee","feature_level":2`, "c0ffee", 2},
		"none":               {`"domain":"bergen-a"`, "", 0},
		"build too long":     {`"build":"` + strings.Repeat("x", maxBuildBytes+1) + `","feature_level":2`, "", 0},
		"control characters": {`"build":"a\nb","feature_level":2`, "", 0},
		"negative level":     {`"build":"c0ffee","feature_level":-1`, "", 0},
		"huge level":         {`"build":"c0ffee","feature_level":65537`, "", 0},
	} {
		before := v.metrics.invalidRecords.Get()
		var m member
		v.locked(func() {
			v.applyMember(platform.Item{Key: membersPrefix + "a2", Value: []byte(`{"vm":"a2","peers":"127.0.0.1:1",` + test.record + `}`)})
			m = v.members["a2"]
		})
		require.Equal(t, "127.0.0.1:1", m.PeerAddr, name)
		require.Equal(t, test.build, m.Build, name)
		require.Equal(t, test.level, m.FeatureLevel, name)
		require.Equal(t, name != "sound" && name != "none", v.metrics.invalidRecords.Get() > before, name)
	}
}
