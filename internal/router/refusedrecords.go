package router

import "github.com/catkinstair/catkinstair/platform"

// maxRefusedRecords bounds the refused records that are remembered. Those beyond are named at
// each read.
const maxRefusedRecords = 4096

// firstRefusal reports whether an entry of the store is refused for the first time at a
// revision, so that it is named once and not at each read. The caller holds mu.
func (r *Router) firstRefusal(key string, revision uint64) bool {
	if r.refusedRecords[key] == revision {
		return false
	}
	if len(r.refusedRecords) < maxRefusedRecords {
		r.refusedRecords[key] = revision
	}
	return true
}

// nameTooLarge logs an entry whose value was left out.
func (r *Router) nameTooLarge(e platform.TooLarge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstRefusal(e.Key, e.Revision) {
		r.metrics.entriesTooLarge.Inc()
		r.log.Warn().Str("key", e.Key).Uint64("revision", e.Revision).Int("bytes", e.Bytes).Int("allowed", platform.MaxRecordBytes).
			Msg("store: the value is too large for a record and was left out")
	}
}
