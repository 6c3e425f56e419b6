// Package changefeed distributes changes of the platform's store from a few VMs to the
// others. In each failure domain with many VMs two are watchers: they watch the store and
// keep the latest changes in a Log. The other VMs fetch the changes after the last revision
// they have from a watcher, or read the store themselves if they get no recent answer. The
// number of calls to the store thus grows with the number of failure domains, not with the
// number of VMs.
package changefeed

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Config holds the settings of the change feed.
type Config struct {
	// MinVMs is the smallest number of VMs in a failure domain for which only some of
	// them watch the store; in smaller ones, all do. Default 5.
	MinVMs int
	// Watchers is the number of VMs that watch the store in a failure domain with at
	// least MinVMs. Default 2.
	Watchers int
	// MaxEntries and MaxBytes limit the entries of a Log and the sum of their Bytes.
	// Defaults 1,024 and 4 MiB.
	MaxEntries, MaxBytes int
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MinVMs: 5, Watchers: 2, MaxEntries: 1024, MaxBytes: 4 << 20}
}

// Sources returns the watchers from which self should fetch changes, in order of
// preference, or nil if self has to watch the store. vms are the VMs of the failure
// domain, including self. Different VMs prefer different watchers, to share the load.
func Sources(cfg Config, self string, vms []string) []string {
	if len(vms) < cfg.MinVMs {
		return nil
	}
	vms = append([]string(nil), vms...)
	sort.Strings(vms)
	watchers := vms[:min(cfg.Watchers, len(vms))]
	for _, vm := range watchers {
		if vm == self {
			return nil
		}
	}
	offset := int(xxhash.Sum64String(self) % uint64(len(watchers)))
	return append(append([]string(nil), watchers[offset:]...), watchers[:offset]...)
}

// Entry is a change of one key in the store.
type Entry[T any] struct {
	Key      string
	Revision uint64
	Bytes    int // size for Config.MaxBytes
	Item     T   // the change as returned by Since
}

// Log holds the latest changes in ascending order of their revisions.
type Log[T any] struct {
	cfg     Config
	entries []Entry[T]
	bytes   int
	// The log is complete after revision base up to revision asOf.
	base, asOf uint64
}

// NewLog returns an empty Log. Since returns false until Reset or Append is called.
func NewLog[T any](cfg Config) *Log[T] { return &Log[T]{cfg: cfg} }

// Reset empties the log and starts it at a revision at which the complete state was read
// from the store.
func (l *Log[T]) Reset(revision uint64) {
	l.entries, l.bytes, l.base, l.asOf = nil, 0, revision, revision
}

// Append adds changes that are complete up to revision asOf, and drops the oldest entries
// over the limits.
func (l *Log[T]) Append(entries []Entry[T], asOf uint64) {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.bytes += e.Bytes
	}
	drop := 0
	for drop < len(l.entries) && (len(l.entries)-drop > l.cfg.MaxEntries || l.bytes > l.cfg.MaxBytes) {
		l.base = l.entries[drop].Revision
		l.bytes -= l.entries[drop].Bytes
		drop++
	}
	l.entries = append([]Entry[T](nil), l.entries[drop:]...)
	l.asOf = max(l.asOf, asOf)
}

// Since returns the changes after a revision, for each key only the latest, and the
// revision up to which they are complete. ok is false if the log does not reach back to
// revision.
func (l *Log[T]) Since(revision uint64) (items []T, asOf uint64, ok bool) {
	if revision == 0 || revision < l.base || l.asOf == 0 {
		return nil, 0, false
	}
	latest := make(map[string]uint64, len(l.entries))
	for _, e := range l.entries {
		latest[e.Key] = max(latest[e.Key], e.Revision)
	}
	for _, e := range l.entries {
		if e.Revision > revision && e.Revision == latest[e.Key] {
			items = append(items, e.Item)
		}
	}
	return items, max(l.asOf, revision), true
}
