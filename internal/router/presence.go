package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/leader"
	"github.com/catkinstair/catkinstair/platform"
)

// presenceTick is how often the lease's state is looked at.
const presenceTick = 100 * time.Millisecond

// keepPresence makes the calls that the duty's core asks for, one at a time.
func (r *Router) keepPresence(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		call, lease, revision := r.duty.Next(r.clock.now()), r.duty.Lease(), r.duty.ClaimRevision()
		r.mu.Unlock()
		if call == leader.None {
			pause(ctx, presenceTick)
			continue
		}
		r.presenceCall(call, lease, revision)
	}
}

func (r *Router) presenceCall(call leader.Call, lease, revision uint64) {
	asked := r.clock.now()
	opt := httpcall.Within(r.cfg.StoreTimeout)
	var err error
	var done func()
	switch call {
	case leader.NewLease:
		var id uint64
		var ttl time.Duration
		id, ttl, err = r.store.NewLease(r.cfg.Duty.TTL, opt)
		done = func() { r.duty.LeaseGranted(asked, id, ttl) }
	case leader.Renew:
		err = r.store.RenewLease(lease, opt)
		done = func() { r.duty.LeaseRenewed(asked, r.cfg.Duty.TTL) }
	case leader.WriteRecord:
		err = r.announce(lease, opt)
		done = r.duty.RecordWritten
	case leader.Claim:
		var at uint64
		at, err = r.store.Commit(platform.Txn{
			Preconditions: []platform.Precondition{{Key: dutyKey, Revision: revision}},
			Puts:          []platform.Put{{Key: dutyKey, Value: []byte(r.set.VM), Lease: lease}},
		}, opt)
		done = func() { r.duty.Claimed(at) }
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		done()
		if call == leader.Claim {
			r.log.Info().Uint64("fence", r.duty.FencingToken()).Msg("this VM gives the orders")
		}
		return
	}
	if httpcall.StatusOf(err) == 0 {
		r.lostStore(err)
	}
	// A claim or a record may have been written all the same: the watch shows it.
	r.log.Warn().Err(err).Uint8("call", uint8(call)).Msg("presence: call to the store failed")
	r.duty.CallFailed(r.clock.now(), httpcall.StatusOf(err) == platform.StatusNoSuchLease)
}

func (r *Router) announce(lease uint64, opt httpcall.Options) error {
	value, err := json.Marshal(member{VM: r.set.VM, Domain: r.set.Domain, Callers: r.set.Listen.Callers, Peers: r.set.Listen.Datagrams})
	if err != nil {
		return err
	}
	_, err = r.store.Commit(platform.Txn{Puts: []platform.Put{{Key: membersPrefix + r.set.VM, Value: value, Lease: lease}}}, opt)
	return err
}

// leaveStore ends the lease, so that the VM's record and claim vanish at once.
func (r *Router) leaveStore() {
	r.mu.Lock()
	lease := r.duty.Lease()
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := r.store.RevokeLease(lease, httpcall.Within(r.cfg.StoreTimeout)); err != nil {
		r.log.Warn().Err(err).Msg("stop: lease not ended; it runs out by itself")
	}
}
