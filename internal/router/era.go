package router

import "github.com/catkinstair/catkinstair/platform"

// eraOfCall returns the store's era and the number of its changes. What a call returns belongs
// to this era only if that number is the same afterwards.
func (r *Router) eraOfCall() (era uint64, changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeEra, r.eraChanges
}

// observeEra handles the era that a response of the store states. When it rises, the store has
// come back from an older copy: revisions are given out again, and leases, records and claims
// may be gone. What is known stays in force, and everything is read anew.
func (r *Router) observeEra(value string) {
	era, ok := platform.ParseStoreEra(value)
	if !ok {
		r.log.Warn().Str("header", platform.HeaderStoreEra).Str("value", value).Msg("invalid era in a response of the store, ignored")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.eraKnown:
		r.eraKnown, r.storeEra = true, era
		r.election.SetEra(r.clock.now(), era)
		r.log.Info().Uint64("era", era).Msg("store's era")
		return
	case era <= r.storeEra:
		return // a late response of an earlier era
	}
	now := r.clock.now()
	r.log.Warn().Uint64("era", era).Uint64("before", r.storeEra).Msg("store came back from an older copy: what is known stays in force, everything is read again")
	r.metrics.storeEraChanges.Inc()
	r.storeEra, r.eraToRead, r.olderUpTo = era, true, 0
	r.eraChanges++
	r.election.EraChanged(now, era)
	r.core.Backends.ForgetRevisions()
	r.storedBlocks = storedBlocks{}
	r.recordsReturnUntil = now + r.cfg.Dispatch.Backends.MissingRecordTTL
	r.notifyChangeWaiters()
}

// applyOlderServer applies a server's record of a state that is older than what is known. The
// caller holds mu.
func (r *Router) applyOlderServer(it platform.Item) {
	rec, err := platform.DecodeServer(it.Key, it.Value, it.Revision)
	if err != nil {
		r.log.Warn().Err(err).Msg("invalid backend server record")
		return
	}
	r.core.Backends.KeepOlder(rec)
}

// dropMissingMember drops a VM that has not written its record again since the store came back
// without it. VMs that are known from a record written since have a lease.
func (r *Router) dropMissingMember(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, known := r.members[vm]; known && m.era != r.storeEra {
		r.applyItem(platform.Item{Key: membersPrefix + vm, Removed: true})
	}
}
