package limits

import (
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/stretchr/testify/require"
)

// lenderHarness drives a lender of one limit of 100 units per second (burst 100)
// without a network, and checks the bound for every window.
type lenderHarness struct {
	t     *testing.T
	core  *Lender
	holds staticLeases
	check *conformance
	seqs  map[ident.VM]uint64
}

func newLenderHarness(t *testing.T, start time.Duration, check *conformance) *lenderHarness {
	holds := staticLeases{}
	for slot := range 64 {
		holds[slot] = true
	}
	core, err := NewLender(DefaultLenderConfig(), holds)
	require.NoError(t, err)
	core.Step(start, SetLimits{Limits: []Limit{{Key: simKey, Rate: 100}}})
	core.Step(start, Tick{})
	return &lenderHarness{t: t, core: core, holds: holds, check: check, seqs: map[ident.VM]uint64{}}
}

func newConformance() *conformance { return &conformance{rate: 100, burst: 100} }

// ask sends an ask for one limit and returns the answer, which is due 20 ms later.
func (h *lenderHarness) ask(at time.Duration, vm ident.VM, item AskItem) LoanItem {
	h.seqs[vm]++
	return h.askWithSeq(at, vm, h.seqs[vm], h.seqs[vm], item)
}

func (h *lenderHarness) askWithSeq(at time.Duration, vm ident.VM, seq, oldest uint64, item AskItem) LoanItem {
	item.Key = simKey
	item.Epoch = 1
	h.core.Step(at, AskReceived{Ask: Ask{
		From: ident.Instance{VM: vm, Incarnation: 1}, Seq: seq, OldestOpen: oldest, Items: []AskItem{item},
	}})
	actions := h.core.Step(at+20*time.Millisecond, Tick{})
	require.Len(h.t, actions, 1)
	return actions[0].(SendLoan).Loan.Items[0]
}

// borrowAndSpend makes a VM ask five times, 20 ms apart, and spend each loan at once.
func (h *lenderHarness) borrowAndSpend(at time.Duration, vm ident.VM) {
	for range 5 {
		got := h.ask(at, vm, AskItem{Want: 100}).Amount
		at += 20 * time.Millisecond
		h.check.admit(at, got)
	}
}

const sec = time.Second

// At most half of the burst is outstanding, and the bucket doesn't fill beyond the
// burst minus the outstanding amount.
func TestOutstandingLoansBoundLending(t *testing.T) {
	h := newLenderHarness(t, 0, newConformance())
	require.EqualValues(t, 50, h.ask(10*sec, "a", AskItem{Want: 100}).Amount)
	require.Zero(t, h.ask(11*sec, "b", AskItem{Want: 100}).Amount)
	h.check.admit(12010*time.Millisecond, 50) // a spends just before its loan ends
	h.borrowAndSpend(12090*time.Millisecond, "c")
	require.LessOrEqual(t, h.check.maxOvershoot, 0.0)
}

// The bound holds while loans of the former lender are spent beside those of the new
// one.
func TestBoundHoldsAcrossLenderChange(t *testing.T) {
	check := newConformance()
	former := newLenderHarness(t, 0, check)
	held := former.ask(10*sec, "a", AskItem{Want: 100}).Amount
	next := newLenderHarness(t, 10100*time.Millisecond, check)
	check.admit(11900*time.Millisecond, held)
	next.borrowAndSpend(11900*time.Millisecond, "b")
	require.LessOrEqual(t, check.maxOvershoot, 0.0)
}

// A refund is credited once if its ask is delivered twice.
func TestDuplicateAskIsCreditedOnce(t *testing.T) {
	h := newLenderHarness(t, 0, newConformance())
	h.borrowAndSpend(10*sec, "a")
	refund := AskItem{Refund: 20}
	h.askWithSeq(10200*time.Millisecond, "b", 1, 1, refund)
	h.askWithSeq(10220*time.Millisecond, "b", 1, 1, refund)
	level := h.core.slots[simKey.Slot(64)].buckets[simKey].level
	require.LessOrEqual(t, level, 20+100*0.14, "20 refunded, and 0.14 s of the rate since the bucket was emptied")
}

// An amount returned after its loan expired counts as spent.
func TestLateReturnIsNotCredited(t *testing.T) {
	h := newLenderHarness(t, 0, newConformance())
	require.EqualValues(t, 50, h.ask(10*sec, "a", AskItem{Want: 50}).Amount)
	h.borrowAndSpend(13*sec, "b")
	h.ask(13110*time.Millisecond, "a", AskItem{Return: 50})
	require.Less(t, h.ask(13140*time.Millisecond, "c", AskItem{Want: 100}).Amount, int64(15))
}

// A loan counts as outstanding until the borrower reports that it arrived or that it
// no longer accepts it.
func TestGrantInFlightIsOutstanding(t *testing.T) {
	h := newLenderHarness(t, 0, newConformance())
	require.EqualValues(t, 50, h.askWithSeq(10*sec, "a", 1, 1, AskItem{Want: 50}).Amount)
	require.Zero(t, h.askWithSeq(10100*time.Millisecond, "a", 2, 1, AskItem{Want: 50}).Amount)
	require.EqualValues(t, 50, h.askWithSeq(10200*time.Millisecond, "a", 3, 3, AskItem{Want: 50}).Amount)
}

// A slot that is lost between an ask and the next division lends nothing.
func TestLostSlotLendsNothing(t *testing.T) {
	h := newLenderHarness(t, 0, newConformance())
	h.core.Step(10*sec, AskReceived{Ask: Ask{
		From: ident.Instance{VM: "a"}, Seq: 1, OldestOpen: 1, Items: []AskItem{{Key: simKey, Epoch: 1, Want: 10}},
	}})
	clear(h.holds)
	for _, a := range h.core.Step(10020*time.Millisecond, Tick{}) {
		require.Zero(t, a.(SendLoan).Loan.Items[0].Amount)
	}
}

func newTestBorrower(t *testing.T) *Borrower {
	cfg := DefaultBorrowerConfig()
	cfg.Self = ident.Instance{VM: "a", Incarnation: 1}
	b, err := NewBorrower(cfg)
	require.NoError(t, err)
	slots := make([]SlotHolder, 64)
	for i := range slots {
		slots[i] = SlotHolder{Holder: ident.Instance{VM: "c", Incarnation: 1}, Addr: "c", Epoch: 1}
	}
	b.Step(0, Holders{Slots: slots})
	return b
}

// The term of a loan starts with its ask rather than its arrival, and an expired loan
// can't be spent.
func TestLoanTermStartsAtAsk(t *testing.T) {
	b := newTestBorrower(t)
	require.Equal(t, Insufficient, b.Take(0, simKey, 5))
	ask := b.Step(0, Tick{})[0].(SendAsk).Ask
	loan := Loan{To: ask.From, Seq: ask.Seq, Items: []LoanItem{{Epoch: 1, Amount: 5}}}
	b.Step(1500*time.Millisecond, LoanReceived{Loan: loan})
	require.EqualValues(t, 5, b.Balance(1999*time.Millisecond, simKey))
	require.Zero(t, b.Balance(2*sec, simKey))
	require.Equal(t, Insufficient, b.Take(2*sec, simKey, 5))
}

// The excess of an actual count over its estimate is paid before anything else is
// admitted.
func TestDebtIsPaidFirst(t *testing.T) {
	b := newTestBorrower(t)
	b.Settle(0, simKey, 10, 30)
	require.EqualValues(t, 20, b.Debt(simKey))
	ask := b.Step(0, Tick{})[0].(SendAsk).Ask
	require.EqualValues(t, 20, ask.Items[0].Want)
	b.Step(sec/10, LoanReceived{Loan: Loan{To: ask.From, Seq: ask.Seq, Items: []LoanItem{{Epoch: 1, Amount: 25}}}})
	require.Zero(t, b.Debt(simKey))
	require.False(t, b.CanTake(sec/10, simKey, 6))
	require.Equal(t, Insufficient, b.Take(sec/10, simKey, 6))
	require.True(t, b.CanTake(sec/10, simKey, 5))
	require.Equal(t, Granted, b.Take(sec/10, simKey, 5))
}

// The unused part of an estimate is refunded to the lender.
func TestRefundIsReturnedToLender(t *testing.T) {
	b := newTestBorrower(t)
	b.Settle(0, simKey, 30, 10)
	ask := b.Step(0, Tick{})[0].(SendAsk).Ask
	require.EqualValues(t, 20, ask.Items[0].Refund)
}

// A limit that was not accepted is refused with CauseNoLimit by the lender and with
// NoLimit by the borrower, whose cached answer expires.
func TestUnknownLimitIsRefused(t *testing.T) {
	h := newLenderHarness(t, 0, newConformance())
	other := Key{Team: "nobody", Service: "skrivar", Unit: UnitRequests}
	h.core.Step(sec, AskReceived{Ask: Ask{Seq: 1, OldestOpen: 1, Items: []AskItem{{Key: other, Epoch: 1, Want: 1}}}})
	item := h.core.Step(sec+20*time.Millisecond, Tick{})[0].(SendLoan).Loan.Items[0]
	require.Equal(t, verdict.CauseNoLimit, item.Refused)

	b := newTestBorrower(t)
	require.Equal(t, Insufficient, b.Take(0, simKey, 1))
	ask := b.Step(0, Tick{})[0].(SendAsk).Ask
	b.Step(1, LoanReceived{Loan: Loan{To: ask.From, Seq: ask.Seq, Items: []LoanItem{item}}})
	require.Equal(t, NoLimit, b.Take(2, simKey, 1))
	require.NotEqual(t, NoLimit, b.Take(2*sec, simKey, 1))
}

// Callers refused at the same time get different Retry-After values.
func TestRetryAfterIsSpread(t *testing.T) {
	b := newTestBorrower(t)
	seen := map[time.Duration]bool{}
	for range 100 {
		seen[b.RetryAfter(0, simKey, 1)] = true
	}
	require.Greater(t, len(seen), 90)
}
