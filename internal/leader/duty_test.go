package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const self = "vm-1"

// lead brings a core to the point where it holds the duty with lease 7.
func lead(t *testing.T) *Core {
	t.Helper()
	c := New(DefaultConfig(), self)
	require.Equal(t, NewLease, c.Next(0))
	c.LeaseGranted(0, 7, 2500*time.Millisecond)
	require.Equal(t, WriteRecord, c.Next(0))
	c.RecordWritten()
	require.Equal(t, None, c.Next(0), "the store has not been read")
	c.ClaimObserved(0, "", 0, 0)
	require.Equal(t, Claim, c.Next(0))
	c.Claimed(41)
	require.True(t, c.IsLeader(0))
	require.EqualValues(t, 41, c.FencingToken())
	return c
}

func TestHolderStopsBeforeItsLeaseCanEnd(t *testing.T) {
	c := lead(t)
	require.True(t, c.IsLeader(2099*time.Millisecond))
	require.False(t, c.IsLeader(2100*time.Millisecond))
}

func TestPausedHolderDoesNotAct(t *testing.T) {
	c := lead(t)
	now := 5 * time.Second // paused meanwhile
	require.False(t, c.IsLeader(now))
	require.Equal(t, NewLease, c.Next(now))
}

func TestRenewalCountsFromItsAsking(t *testing.T) {
	c := lead(t)
	require.Equal(t, Renew, c.Next(800*time.Millisecond))
	c.LeaseRenewed(800*time.Millisecond, 2500*time.Millisecond)
	require.True(t, c.IsLeader(2800*time.Millisecond))
	require.False(t, c.IsLeader(2900*time.Millisecond))
}

func TestFreeDutyIsClaimedInTurn(t *testing.T) {
	c := New(DefaultConfig(), self)
	c.LeaseGranted(0, 7, 2500*time.Millisecond)
	c.RecordWritten()
	c.SetRank(3)
	c.ClaimObserved(100*time.Millisecond, "", 0, 0)
	require.Equal(t, None, c.Next(450*time.Millisecond))
	require.Equal(t, Claim, c.Next(460*time.Millisecond))
}

func TestNextLifeOfTheHolderTakesOverAtOnce(t *testing.T) {
	c := New(DefaultConfig(), self)
	c.LeaseGranted(0, 9, 2500*time.Millisecond)
	c.RecordWritten()
	c.ClaimObserved(0, self, 7, 41) // the claim of the life before, under its lease
	require.False(t, c.IsLeader(0))
	require.Equal(t, Claim, c.Next(0))
	require.EqualValues(t, 41, c.ClaimRevision())
}

func TestFailedCallIsRepeatedAfterAPause(t *testing.T) {
	c := New(DefaultConfig(), self)
	c.CallFailed(0, false)
	require.Equal(t, None, c.Next(249*time.Millisecond))
	require.Equal(t, NewLease, c.Next(250*time.Millisecond))
	c = lead(t)
	c.CallFailed(time.Second, true)
	require.Equal(t, NewLease, c.Next(1250*time.Millisecond))
	require.False(t, c.IsLeader(1250*time.Millisecond))
}

// world is two VMs and a store, for a search through all that can happen in a few
// steps: calls answered, done with the answer lost, late, or not done; pauses of a
// VM; leases that run out; changes seen late.
type world struct {
	now   int // in steps of a second
	vms   [2]Core
	seen  [2]uint64 // the revision of the duty's key that the VM was told last
	store struct {
		lease    uint64 // counter
		ends     map[uint64]int
		holder   string
		held     uint64 // lease of the claim
		revision uint64
	}
}

const ttlSteps = 3

func (w *world) clone() *world {
	c := *w
	c.store.ends = map[uint64]int{}
	for k, v := range w.store.ends {
		c.store.ends[k] = v
	}
	return &c
}

func (w *world) key() string {
	return fmt.Sprintf("%d %+v %+v %+v %v", w.now, w.vms[0], w.vms[1], w.store, w.seen)
}

func (w *world) time() time.Duration { return time.Duration(w.now) * time.Second }

// lapse ends the leases whose time is up.
func (w *world) lapse() {
	for l, end := range w.store.ends {
		if w.now >= end {
			delete(w.store.ends, l)
			if w.store.held == l {
				w.store.holder, w.store.held = "", 0
				w.store.revision++
			}
		}
	}
}

// call carries out the next call of a VM. answer says whether the VM hears of it.
func (w *world) call(vm int, done, answer bool) {
	c, name := &w.vms[vm], fmt.Sprintf("vm-%d", vm)
	call, asked := c.Next(w.time()), w.time()
	ok := false
	switch call {
	case None:
		return
	case NewLease:
		if done {
			w.store.lease++
			w.store.ends[w.store.lease] = w.now + ttlSteps
			if answer {
				c.LeaseGranted(asked, w.store.lease, ttlSteps*time.Second)
				return
			}
		}
	case Renew:
		_, alive := w.store.ends[c.Lease()]
		if done && alive {
			w.store.ends[c.Lease()] = w.now + ttlSteps
		}
		if ok = done && alive && answer; ok {
			c.LeaseRenewed(asked, ttlSteps*time.Second)
			return
		}
		c.CallFailed(w.time(), done && answer && !alive)
		return
	case WriteRecord:
		if done && answer {
			c.RecordWritten()
			return
		}
	case Claim:
		current := uint64(0)
		if w.store.holder != "" {
			current = w.store.revision
		}
		_, alive := w.store.ends[c.Lease()]
		if done && alive && c.ClaimRevision() == current {
			w.store.revision++
			w.store.holder, w.store.held = name, c.Lease()
			if answer {
				c.Claimed(w.store.revision)
				return
			}
		}
	}
	c.CallFailed(w.time(), false)
}

func (w *world) watch(vm int) {
	revision := w.store.revision
	if w.store.holder == "" {
		revision = 0
	}
	w.vms[vm].ClaimObserved(w.time(), w.store.holder, w.store.held, revision)
	w.seen[vm] = w.store.revision
}

// TestNeverTwoHoldersAct searches every order of the events above, some steps deep:
// two VMs must never both believe that they may give orders. Not reached: clocks of
// different speed, more than two VMs, longer runs.
func TestNeverTwoHoldersAct(t *testing.T) {
	cfg := DefaultConfig()
	cfg.TTL, cfg.RenewInterval, cfg.SafetyMargin = ttlSteps*time.Second, time.Second, 500*time.Millisecond
	cfg.RetryDelay, cfg.RankDelay = 0, 0
	start := &world{}
	start.vms = [2]Core{*New(cfg, "vm-0"), *New(cfg, "vm-1")}
	start.store.ends = map[uint64]int{}
	start.store.revision = 1
	for vm := range 2 { // both hold a lease and have read the store
		start.call(vm, true, true)
		start.call(vm, true, true)
		start.watch(vm)
	}
	const depth = 7 // a claim, its lease's end and the other's claim need five
	level, seen, acted := []*world{start}, map[string]bool{}, false
	for range depth {
		var next []*world
		for _, w := range level {
			for _, step := range steps() {
				n := w.clone()
				step(n)
				n.lapse()
				k := n.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				a, b := n.vms[0].IsLeader(n.time()), n.vms[1].IsLeader(n.time())
				require.False(t, a && b, "two holders: %s", k)
				acted = acted || a || b
				next = append(next, n)
			}
		}
		level = next
	}
	require.True(t, acted)
	t.Logf("%d states", len(seen))
}

func steps() []func(*world) {
	out := []func(*world){func(w *world) { w.now++ }}
	for vm := range 2 {
		out = append(out,
			func(w *world) { w.call(vm, true, true) },
			func(w *world) { w.call(vm, true, false) },
			func(w *world) { w.call(vm, false, false) },
			func(w *world) { w.watch(vm) })
	}
	return out
}
