package leader

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const self = "vm-1"

// newLeader returns a core that is the leader under lease 7.
func newLeader(t *testing.T) *Core {
	t.Helper()
	c := New(DefaultConfig(), self)
	require.Equal(t, NewLease, c.Next(0))
	c.LeaseGranted(0, 7, 2500*time.Millisecond)
	require.Equal(t, WriteRecord, c.Next(0))
	c.RecordWritten()
	require.Equal(t, None, c.Next(0), "the claim has not been read yet")
	c.ClaimObserved(0, "", 0, 0)
	require.Equal(t, Claim, c.Next(0))
	c.Claimed(41)
	require.True(t, c.IsLeader(0))
	require.EqualValues(t, 41, c.FencingToken())
	return c
}

func TestLeaderStopsBeforeLeaseExpires(t *testing.T) {
	c := newLeader(t)
	require.True(t, c.IsLeader(2099*time.Millisecond))
	require.False(t, c.IsLeader(2100*time.Millisecond))
}

func TestPausedLeaderStopsLeading(t *testing.T) {
	c := newLeader(t)
	now := 5 * time.Second // after a pause of the VM
	require.False(t, c.IsLeader(now))
	require.Equal(t, NewLease, c.Next(now))
}

func TestRenewedLeaseStartsAtRequestTime(t *testing.T) {
	c := newLeader(t)
	require.Equal(t, Renew, c.Next(800*time.Millisecond))
	c.LeaseRenewed(800*time.Millisecond, 2500*time.Millisecond)
	require.True(t, c.IsLeader(2800*time.Millisecond))
	require.False(t, c.IsLeader(2900*time.Millisecond))
}

func TestVacantLeadershipIsClaimedByRank(t *testing.T) {
	c := New(DefaultConfig(), self)
	c.LeaseGranted(0, 7, 2500*time.Millisecond)
	c.RecordWritten()
	c.SetRank(3)
	c.ClaimObserved(100*time.Millisecond, "", 0, 0)
	require.Equal(t, None, c.Next(450*time.Millisecond))
	require.Equal(t, Claim, c.Next(460*time.Millisecond))
}

func TestNextIncarnationOfLeaderClaimsAtOnce(t *testing.T) {
	c := New(DefaultConfig(), self)
	c.LeaseGranted(0, 9, 2500*time.Millisecond)
	c.RecordWritten()
	c.ClaimObserved(0, self, 7, 41) // claim of the previous incarnation under its lease
	require.False(t, c.IsLeader(0))
	require.Equal(t, Claim, c.Next(0))
	require.EqualValues(t, 41, c.ClaimRevision())
}

func TestFailedCallIsRetriedAfterDelay(t *testing.T) {
	c := New(DefaultConfig(), self)
	c.CallFailed(0, false)
	require.Equal(t, None, c.Next(249*time.Millisecond))
	require.Equal(t, NewLease, c.Next(250*time.Millisecond))
	c = newLeader(t)
	c.CallFailed(time.Second, true)
	require.Equal(t, NewLease, c.Next(1250*time.Millisecond))
	require.False(t, c.IsLeader(1250*time.Millisecond))
}

// world models two VMs and a store for an exhaustive search over a few steps: calls that
// are answered, executed with the answer lost, late, or not executed; pauses of a VM;
// leases that expire; changes observed late; a store that comes back from its first state.
type world struct {
	now      int // in seconds
	vms      [2]Core
	observed [2]uint64 // revision at which each VM last observed the claim
	eras     [2]int64  // that each VM knows, unknownEra before its first answer
	store    storeState
	copied   storeState // what the store comes back from
}

const unknownEra = -1

type storeState struct {
	era        int64
	lease      uint64 // last lease granted
	ends       map[uint64]int
	leader     string
	claimLease uint64 // lease of the claim
	revision   uint64
}

func (s storeState) clone() storeState {
	s.ends = maps.Clone(s.ends)
	return s
}

// goBack makes the store come back from its first state, once. Leases that it had then go on
// for their full term, or have lapsed.
func (w *world) goBack(lapsed bool) {
	if w.store.era > 0 {
		return
	}
	w.store = w.copied.clone()
	w.store.era = 1
	for l := range w.store.ends {
		w.store.ends[l] = w.now + ttlSteps
	}
	if lapsed {
		w.store.ends = map[uint64]int{}
	}
}

// noticeEra lets a VM see the era of an answer and reports whether it has changed.
func (w *world) noticeEra(vm int) bool {
	known := w.eras[vm]
	w.eras[vm] = w.store.era
	switch known {
	case w.store.era:
		return false
	case unknownEra:
		w.vms[vm].SetEra(w.time(), uint64(w.store.era))
		return false
	default:
		w.vms[vm].EraChanged(w.time(), uint64(w.store.era))
		return true
	}
}

// restart starts a VM anew, which knows nothing.
func (w *world) restart(vm int) {
	w.vms[vm] = *New(w.vms[vm].cfg, w.vms[vm].self)
	w.observed[vm], w.eras[vm] = 0, unknownEra
}

const ttlSteps = 3

func (w *world) clone() *world {
	c := *w
	c.store = w.store.clone() // copied does not change
	return &c
}

func (w *world) key() string {
	return fmt.Sprintf("%d %+v %+v %+v %v %v", w.now, w.vms[0], w.vms[1], w.store, w.observed, w.eras)
}

func (w *world) time() time.Duration { return time.Duration(w.now) * time.Second }

// expireLeases deletes the leases that have ended and the claim written under them.
func (w *world) expireLeases() {
	for l, end := range w.store.ends {
		if w.now >= end {
			delete(w.store.ends, l)
			if w.store.claimLease == l {
				w.store.leader, w.store.claimLease = "", 0
				w.store.revision++
			}
		}
	}
}

// call makes the next call of a VM. executed is set if the store executes it, answered if
// the VM also receives the answer.
func (w *world) call(vm int, executed, answered bool) {
	c, name := &w.vms[vm], fmt.Sprintf("vm-%d", vm)
	call, requestedAt := c.Next(w.time()), w.time()
	if call != None && answered && w.noticeEra(vm) {
		return // the answer belongs to another era than the call
	}
	ok := false
	switch call {
	case None:
		return
	case NewLease:
		if executed {
			w.store.lease++
			w.store.ends[w.store.lease] = w.now + ttlSteps
			if answered {
				c.LeaseGranted(requestedAt, w.store.lease, ttlSteps*time.Second)
				return
			}
		}
	case Renew:
		_, alive := w.store.ends[c.Lease()]
		if executed && alive {
			w.store.ends[c.Lease()] = w.now + ttlSteps
		}
		if ok = executed && alive && answered; ok {
			c.LeaseRenewed(requestedAt, ttlSteps*time.Second)
			return
		}
		c.CallFailed(w.time(), executed && answered && !alive)
		return
	case WriteRecord:
		if executed && answered {
			c.RecordWritten()
			return
		}
	case Claim:
		current := uint64(0)
		if w.store.leader != "" {
			current = w.store.revision
		}
		_, alive := w.store.ends[c.Lease()]
		if executed && alive && c.ClaimRevision() == current {
			w.store.revision++
			w.store.leader, w.store.claimLease = name, c.Lease()
			if answered {
				c.Claimed(w.store.revision)
				return
			}
		}
	case Resign:
		if executed && w.store.leader != "" && c.ClaimRevision() == w.store.revision {
			w.store.revision++
			w.store.leader, w.store.claimLease = "", 0
			if answered {
				c.Resigned(w.time())
				return
			}
		}
	}
	c.CallFailed(w.time(), false)
}

// observe delivers the current claim to a VM.
func (w *world) observe(vm int) {
	w.noticeEra(vm)
	revision := w.store.revision
	if w.store.leader == "" {
		revision = 0
	}
	w.vms[vm].ClaimObserved(w.time(), w.store.leader, w.store.claimLease, revision)
	w.observed[vm] = w.store.revision
}

// TestNeverTwoLeaders searches all sequences of the transitions up to a fixed depth: two
// VMs must never be leader at the same time. Not covered: clocks of different speed, more
// than two VMs, longer runs.
func TestNeverTwoLeaders(t *testing.T) {
	cfg := DefaultConfig()
	cfg.TTL, cfg.RenewInterval, cfg.SafetyMargin = ttlSteps*time.Second, time.Second, 500*time.Millisecond
	cfg.RetryDelay, cfg.RankDelay = 0, 0
	start := &world{}
	start.vms = [2]Core{*New(cfg, "vm-0"), *New(cfg, "vm-1")}
	start.store.ends = map[uint64]int{}
	start.store.revision = 1
	for vm := range 2 { // both hold a lease and have read the claim
		start.call(vm, true, true)
		start.call(vm, true, true)
		start.observe(vm)
	}
	start.copied = start.store.clone()
	const depth = 7 // a claim, the end of its lease and the other VM's claim take five
	frontier, seen, sawLeader := []*world{start}, map[string]bool{}, false
	for range depth {
		var next []*world
		for _, w := range frontier {
			for _, transition := range transitions() {
				successor := w.clone()
				transition(successor)
				successor.expireLeases()
				k := successor.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				a, b := successor.vms[0].IsLeader(successor.time()), successor.vms[1].IsLeader(successor.time())
				require.False(t, a && b, "two leaders: %s", k)
				sawLeader = sawLeader || a || b
				next = append(next, successor)
			}
		}
		frontier = next
	}
	require.True(t, sawLeader)
	t.Logf("%d states", len(seen))
}

func transitions() []func(*world) {
	out := []func(*world){
		func(w *world) { w.now++ },
		func(w *world) { w.goBack(false) },
		func(w *world) { w.goBack(true) },
	}
	for vm := range 2 {
		out = append(out,
			func(w *world) { w.call(vm, true, true) },
			func(w *world) { w.call(vm, true, false) },
			func(w *world) { w.call(vm, false, false) },
			func(w *world) { w.observe(vm) },
			func(w *world) { w.vms[vm].SetFit(false) },
			func(w *world) { w.vms[vm].SetFit(true) },
			func(w *world) { w.restart(vm) })
	}
	return out
}

// A leader of an earlier era may act until its lease ends, so nobody claims before.
func TestNoClaimRightAfterStoreCameBack(t *testing.T) {
	c := newLeader(t)
	token := c.FencingToken()
	c.EraChanged(time.Second, 1)
	require.False(t, c.IsLeader(time.Second))
	require.Equal(t, NewLease, c.Next(time.Second))
	c.LeaseGranted(time.Second, 5, 2500*time.Millisecond)
	c.RecordWritten()
	c.ClaimObserved(time.Second, "", 0, 0)
	require.Equal(t, None, c.Next(1700*time.Millisecond))
	c.LeaseRenewed(3*time.Second, 2500*time.Millisecond)
	require.Equal(t, None, c.Next(3490*time.Millisecond))
	require.Equal(t, Claim, c.Next(3500*time.Millisecond))
	c.Claimed(30) // the store gives revisions out again
	require.True(t, c.IsLeader(3500*time.Millisecond))
	require.Greater(t, c.FencingToken(), token)
}

func TestLeaderThatReachesNoServersLeavesTheLeadership(t *testing.T) {
	c := newLeader(t)
	c.SetFit(false)
	require.False(t, c.IsLeader(0))
	require.Equal(t, Resign, c.Next(0))
	c.Resigned(0)
	require.Equal(t, None, c.Next(500*time.Millisecond), "unfit VMs claim nothing")
	c.SetFit(true)
	require.Equal(t, Claim, c.Next(500*time.Millisecond))
}

// Another VM may lead by then.
func TestLeaderWhoseResignationHadNoAnswerClaimsAnew(t *testing.T) {
	c := newLeader(t)
	c.SetFit(false)
	require.Equal(t, Resign, c.Next(0))
	c.CallFailed(0, false)
	c.SetFit(true)
	require.False(t, c.IsLeader(300*time.Millisecond))
	require.Equal(t, Claim, c.Next(300*time.Millisecond))
	require.EqualValues(t, 41, c.ClaimRevision())
	c.Claimed(42)
	require.True(t, c.IsLeader(300*time.Millisecond))
}
