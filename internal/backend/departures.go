package backend

import "time"

// Evidence is how a VM knows that an incarnation of a server leaves.
type Evidence uint8

// The kinds of evidence.
const (
	// Finding is what another VM said. It is believed for FindingTTL only: a response that is
	// wrong must not take a server from all VMs for good.
	Finding Evidence = iota
	// Response is a response of the server to this VM.
	Response
	// InRecord is the server's record in the store.
	InRecord
)

// departure is what is known of one incarnation that leaves or has left. It does not depend on
// the incarnation's record: that may vanish and come back, or be replaced by an older one.
type departure struct {
	since        time.Duration // first evidence
	lastEvidence time.Duration
	response     bool
	inRecord     bool
	findingUntil time.Duration
	// removedRevision is a revision of the store at which the record was gone; 0 if unknown.
	removedRevision uint64
	// readyRecords counts the records that said ready since the last evidence, up to
	// readyRevision.
	readyRecords  int
	readyRevision uint64
}

func (d *departure) leaves(now time.Duration) bool {
	return d != nil && (d.response || d.inRecord || now < d.findingUntil)
}

// departures remembers the incarnations that leave or have left.
type departures struct {
	cfg        Config
	byInstance map[Instance]*departure
	trimAt     time.Duration
}

func newDepartures(cfg Config) departures {
	return departures{cfg: cfg, byInstance: map[Instance]*departure{}}
}

func (ds *departures) of(now time.Duration, in Instance) *departure {
	d := ds.byInstance[in]
	if d == nil {
		d = &departure{since: now}
		ds.byInstance[in] = d
	}
	return d
}

// leaving records evidence of an age and reports whether the incarnation was not known to leave.
func (ds *departures) leaving(now, age time.Duration, in Instance, e Evidence) (isNew bool) {
	d := ds.of(now, in)
	if isNew = !d.leaves(now); isNew {
		d.since = now
	}
	switch e {
	case Response:
		d.response = true
	case InRecord:
		d.inRecord = true
	default:
		d.findingUntil = max(d.findingUntil, now-age+ds.cfg.FindingTTL)
	}
	d.lastEvidence, d.readyRecords = now, 0
	return isNew
}

// readyRecord records that a record says ready. Leaving is final for an incarnation, so this is an
// older record that was written late. If newer records go on saying so, the draining one was not
// the server's.
func (ds *departures) readyRecord(now time.Duration, r Record) {
	d := ds.byInstance[r.Instance()]
	if d == nil || !d.inRecord || r.Revision <= d.readyRevision {
		return
	}
	d.readyRevision = r.Revision
	d.readyRecords++
	if d.readyRecords >= ds.cfg.WithdrawRecords && now-d.lastEvidence >= ds.cfg.WithdrawAfter {
		d.inRecord = false
	}
}

// removed records that the record of an incarnation was gone at a revision, 0 if that is unknown.
func (ds *departures) removed(now time.Duration, in Instance, revision uint64) {
	if revision > 0 {
		d := ds.of(now, in)
		d.removedRevision, d.lastEvidence = max(d.removedRevision, revision), now
	}
}

// isOutdated reports whether a record was written before the record of its incarnation was gone.
func (ds *departures) isOutdated(r Record) bool {
	d := ds.byInstance[r.Instance()]
	return d != nil && r.Revision > 0 && r.Revision <= d.removedRevision
}

func (ds *departures) forgetRevisions() {
	for _, d := range ds.byInstance {
		d.removedRevision, d.readyRevision = 0, 0
	}
}

// trimInterval is the time between two looks for what can be forgotten.
const trimInterval = time.Second

// trim forgets incarnations without a record whose last evidence is older than DepartureTTL, and
// the oldest of them beyond MaxDepartures.
func (ds *departures) trim(now time.Duration, hasRecord func(Instance) bool) {
	if now < ds.trimAt {
		return
	}
	ds.trimAt = now + trimInterval
	for ttl := ds.cfg.DepartureTTL; ; ttl /= 2 {
		for in, d := range ds.byInstance {
			if now-d.lastEvidence > ttl && !hasRecord(in) {
				delete(ds.byInstance, in)
			}
		}
		if len(ds.byInstance) <= ds.cfg.MaxDepartures || ttl < trimInterval {
			return
		}
	}
}
