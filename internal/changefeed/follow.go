// Package follow lets few VMs read the platform's store and the others learn from
// them. In each failure domain of many VMs two are readers: they watch the store and
// keep what has changed lately in a Log. The others ask a reader for what came
// after the revision they know; whoever gets no fresh answer asks the store itself.
// The store's calls so grow with the failure domains, not with the VMs.
package changefeed

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Config holds the settings.
type Config struct {
	// FewFrom is the number of VMs in a failure domain from which on only Readers of
	// them watch the store. Default 5.
	MinVMs int
	// Readers watch the store in a failure domain. Default 2.
	Watchers int
	// MaxItems and MaxBytes bound a Log. Defaults 1,024 and 4 MiB.
	MaxEntries, MaxBytes int
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{MinVMs: 5, Watchers: 2, MaxEntries: 1024, MaxBytes: 4 << 20}
}

// Sources returns the VMs of a failure domain that self should ask, the first one
// first; none where self is to watch the store. vms are those of the domain, self
// among them.
func Sources(cfg Config, self string, vms []string) []string {
	if len(vms) < cfg.MinVMs {
		return nil
	}
	vms = append([]string(nil), vms...)
	sort.Strings(vms)
	readers := vms[:min(cfg.Watchers, len(vms))]
	for _, vm := range readers {
		if vm == self {
			return nil
		}
	}
	turn := int(xxhash.Sum64String(self) % uint64(len(readers)))
	return append(append([]string(nil), readers[turn:]...), readers[:turn]...)
}

// Entry is a change of one key.
type Entry[T any] struct {
	Key      string
	Revision uint64
	Bytes    int
	Item     T
}

// Log holds the latest changes in the order of their revisions.
type Log[T any] struct {
	cfg     Config
	entries []Entry[T]
	bytes   int
	// base is the revision after which the log is complete, asOf the one up to
	// which it is.
	base, asOf uint64
}

// NewLog returns a Log that knows nothing.
func NewLog[T any](cfg Config) *Log[T] { return &Log[T]{cfg: cfg} }

// Reset starts the log at a revision: what came before was read otherwise.
func (l *Log[T]) Reset(revision uint64) {
	l.entries, l.bytes, l.base, l.asOf = nil, 0, revision, revision
}

// Append adds changes and the revision up to which they are complete.
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

// Since returns what came after a revision, of each key only its latest change, and
// the revision up to which that is complete; ok is false where the log does not reach back so far.
func (l *Log[T]) Since(revision uint64) (items []T, asOf uint64, ok bool) {
	if revision == 0 || revision < l.base || l.asOf == 0 {
		return nil, 0, false
	}
	last := make(map[string]uint64, len(l.entries))
	for _, e := range l.entries {
		last[e.Key] = max(last[e.Key], e.Revision)
	}
	for _, e := range l.entries {
		if e.Revision > revision && e.Revision == last[e.Key] {
			items = append(items, e.Item)
		}
	}
	return items, max(l.asOf, revision), true
}
