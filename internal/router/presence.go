package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/featurelevel"
	"github.com/catkinstair/catkinstair/internal/leader"
	"github.com/catkinstair/catkinstair/internal/obs"
	"github.com/catkinstair/catkinstair/platform"
)

// presenceInterval is the interval, plus jitter, at which the election core is asked for a
// call to make.
const presenceInterval = 100 * time.Millisecond

// maintainPresence makes the store calls that the election core requests, one at a time,
// until ctx ends.
func (r *Router) maintainPresence(ctx context.Context) {
	for ctx.Err() == nil {
		var call leader.Call
		var lease, revision uint64
		r.locked(func() {
			if r.storeDown && r.clock.now() < r.presenceTryAt {
				return // whoever watches the store notices its return
			}
			call, lease, revision = r.election.Next(r.clock.now()), r.election.Lease(), r.election.ClaimRevision()
		})
		if call == leader.None {
			pause(ctx, presenceInterval)
			continue
		}
		if err := r.guard("presence", "store", func() { r.makePresenceCall(call, lease, revision) }); err != nil {
			pause(ctx, presenceInterval)
		}
	}
}

func (r *Router) makePresenceCall(call leader.Call, lease, revision uint64) {
	requestedAt := r.clock.now()
	_, eraChanges := r.eraOfCall()
	opt := httpcall.Within(r.cfg.StoreTimeout)
	var err error
	var onSuccess func()
	switch call {
	case leader.NewLease:
		var id uint64
		var ttl time.Duration
		id, ttl, err = r.store.NewLease(r.cfg.Leader.TTL, opt)
		onSuccess = func() { r.election.LeaseGranted(requestedAt, id, ttl) }
	case leader.Renew:
		err = r.store.RenewLease(lease, opt)
		onSuccess = func() { r.election.LeaseRenewed(requestedAt, r.cfg.Leader.TTL) }
	case leader.WriteRecord:
		err = r.writeRecord(lease, opt)
		onSuccess = r.election.RecordWritten
	case leader.Claim:
		var claimRevision uint64
		claimRevision, err = r.store.Commit(platform.Txn{
			Preconditions: []platform.Precondition{{Key: leaderKey, Revision: revision}},
			Puts:          []platform.Put{{Key: leaderKey, Value: []byte(r.settings.VM), Lease: lease}},
		}, opt)
		onSuccess = func() { r.election.Claimed(claimRevision) }
	case leader.Resign:
		_, err = r.store.Commit(platform.Txn{Preconditions: []platform.Precondition{{Key: leaderKey, Revision: revision}}, Remove: []string{leaderKey}}, opt)
		onSuccess = func() {
			r.election.Resigned(r.clock.now())
			r.log.Warn().Msg("this VM gave up leadership: it does not reach the backend servers")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eraChanges != eraChanges {
		return // the call was made in another era, and the election knows the new one
	}
	if err == nil {
		onSuccess()
		if call == leader.Claim {
			r.log.Info().Uint64("fence", r.election.FencingToken()).Msg("this VM became the leader")
		}
		return
	}
	if httpcall.StatusOf(err) == 0 {
		r.markStoreDown(err)
	}
	// The claim or record may have been written nevertheless; the watch will show it.
	r.log.Warn().Err(err).Uint8("call", uint8(call)).Msg("presence: call to the store failed")
	r.presenceTryAt = r.clock.now() + r.cfg.OwnTryInterval
	r.election.CallFailed(r.clock.now(), httpcall.StatusOf(err) == platform.StatusNoSuchLease)
}

// writeRecord writes the VM's record under the lease.
func (r *Router) writeRecord(lease uint64, opt httpcall.Options) error {
	value, err := json.Marshal(member{VM: r.settings.VM, Domain: r.settings.Domain, CallerAddr: r.settings.Listen.Callers, PeerAddr: r.settings.Listen.Datagrams, PassedOnAddr: r.settings.Listen.PassedOn,
		Build: obs.Version(), FeatureLevel: featurelevel.Current})
	if err != nil {
		return err
	}
	_, err = r.store.Commit(platform.Txn{Puts: []platform.Put{{Key: membersPrefix + r.settings.VM, Value: value, Lease: lease}}}, opt)
	return err
}

// revokeLease ends the lease, which removes the VM's record and claim at once.
func (r *Router) revokeLease() {
	r.mu.Lock()
	lease := r.election.Lease()
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := r.store.RevokeLease(lease, httpcall.Within(r.cfg.StoreTimeout)); err != nil {
		r.log.Warn().Err(err).Msg("stop: revoking the lease failed; it will expire")
	}
}
