package changefeed

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/catkinstair/catkinstair/internal/proptest" // fixes the seed
)

func vmNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%02d", i)
	}
	return out
}

func TestSmallDomainsHaveNoSources(t *testing.T) {
	require.Nil(t, Sources(DefaultConfig(), "vm-02", vmNames(4)))
}

func TestOnlyWatchersAreSources(t *testing.T) {
	cfg, vms := DefaultConfig(), vmNames(26)
	for i, vm := range vms {
		got := Sources(cfg, vm, vms)
		if i < cfg.Watchers {
			require.Nil(t, got, vm)
			continue
		}
		require.ElementsMatch(t, vms[:cfg.Watchers], got, vm)
	}
}

func newLog(maxEntries int) *Log[string] {
	cfg := DefaultConfig()
	cfg.MaxEntries = maxEntries
	return NewLog[string](cfg)
}

func newEntry(key string, revision uint64) Entry[string] {
	return Entry[string]{Key: key, Revision: revision, Bytes: 10, Item: fmt.Sprintf("%s@%d", key, revision)}
}

func TestSinceReturnsOnlyLatestChangeOfKey(t *testing.T) {
	l := newLog(10)
	l.Reset(5)
	l.Append([]Entry[string]{newEntry("config", 6), newEntry("a", 7), newEntry("config", 8)}, 9)
	items, asOf, ok := l.Since(5)
	require.True(t, ok)
	require.Equal(t, []string{"a@7", "config@8"}, items)
	require.EqualValues(t, 9, asOf)
}

func TestSinceFailsForDroppedOrUnknownRevisions(t *testing.T) {
	l := newLog(2)
	_, _, ok := l.Since(3)
	require.False(t, ok, "the log is empty")
	l.Reset(5)
	_, _, ok = l.Since(4)
	require.False(t, ok)
	l.Append([]Entry[string]{newEntry("a", 6), newEntry("b", 7), newEntry("c", 8)}, 8)
	_, _, ok = l.Since(5)
	require.False(t, ok, "the change at 6 was dropped")
	_, _, ok = l.Since(6)
	require.True(t, ok)
}

// A VM that fetches changes at arbitrary times always reaches the state of the watcher.
func TestFetchedChangesConvergeToWatcherState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(rapid.IntRange(1, 8).Draw(t, "max"))
		l.Reset(1)
		want, got := map[string]string{}, map[string]string{}
		revision, known := uint64(1), uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "write") {
				revision++
				e := newEntry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), revision)
				want[e.Key] = e.Item
				l.Append([]Entry[string]{e}, revision)
				continue
			}
			items, asOf, ok := l.Since(known)
			if !ok { // read the complete state from the store
				got, known = map[string]string{}, revision
				for k, v := range want {
					got[k] = v
				}
				continue
			}
			for _, item := range items {
				got[item[:1]] = item
			}
			known = asOf
			require.Equal(t, want, got)
		}
	})
}
