package limits

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Outcome is the result of Borrower.Take.
type Outcome uint8

// Outcomes of Borrower.Take.
const (
	// Granted means that the amount was taken.
	Granted Outcome = iota + 1
	// Insufficient means that the balance is too low, or that MaxAccounts is reached.
	// The request may wait for the next Refilled, or be refused with CauseOverLimit.
	Insufficient
	// NoLimit means that no such limit was accepted: refuse with CauseNoLimit.
	NoLimit
)

// noLimitTTL is how long a CauseNoLimit answer is cached.
const noLimitTTL = time.Second

// Borrower holds the amounts that this entry VM may admit. It is not safe for
// concurrent use.
type Borrower struct {
	cfg      BorrowerConfig
	rng      *rand.Rand
	accounts map[Key]*account
	// active holds the accounts that may need an ask, in the order of first use.
	active       []*account
	holders      []SlotHolder
	lenders      map[ident.Instance]*lenderState
	seq          uint64
	urgent       bool
	nextEviction time.Duration
}

// lenderState is the borrower's state of one holder.
type lenderState struct {
	addr      string
	lastAskAt time.Duration
	// openAsks holds the last asks, indexed by Seq modulo maxOpenAsks.
	openAsks [maxOpenAsks]openAsk
}

// maxOpenAsks is the maximum number of unanswered asks to one holder whose answers
// are still accepted.
const maxOpenAsks = 8

// openAsk is an unanswered ask; accounts holds one account per item.
type openAsk struct {
	seq      uint64
	sentAt   time.Duration
	accounts []*account
}

// NewBorrower returns a borrower without slot holders; a Holders event sets them.
func NewBorrower(cfg BorrowerConfig) (*Borrower, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Borrower{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		accounts: map[Key]*account{},
		lenders:  map[ident.Instance]*lenderState{},
	}, nil
}

// Take takes n units of a limit for one request. It does not allocate for a limit in
// use. Call it again for a waiting request only after Refilled.
func (b *Borrower) Take(now time.Duration, key Key, n int64) Outcome {
	a := b.account(now, key)
	if a == nil {
		return Insufficient
	}
	if now < a.noLimitUntil {
		return NoLimit
	}
	b.markUsed(now, a)
	if b.CanTake(now, key, n) {
		a.spend(n)
		a.spent += n
		a.takes++
		return Granted
	}
	a.denied += n
	a.shortfall += n
	if a.minAmount == 0 || n < a.minAmount {
		a.minAmount = n
	}
	b.urgent = b.urgent || !a.scarce
	return Insufficient
}

// CanTake reports whether Take of n units would be granted now. If several limits
// apply to a request, check all of them before taking from any: units taken for a
// request that doesn't start become available again only through the lender.
func (b *Borrower) CanTake(now time.Duration, key Key, n int64) bool {
	a := b.accounts[key]
	if a == nil || now < a.noLimitUntil {
		return false
	}
	a.expire(now)
	a.payDebt()
	return a.debt == 0 && a.balance() >= n
}

// Settle replaces an estimate passed to Take by the actual count. An excess is taken
// from the balance, and what the balance doesn't cover becomes a debt; the unused part of
// an estimate is refunded to the lender with the next ask.
func (b *Borrower) Settle(now time.Duration, key Key, estimate, actual int64) {
	a := b.account(now, key)
	if a == nil {
		return
	}
	b.markUsed(now, a)
	if actual <= estimate {
		a.refund += estimate - actual
		return
	}
	a.spent += actual - estimate
	a.debt += actual - estimate
	a.expire(now)
	a.payDebt()
}

// RetryAfter estimates how long it takes until n units are available. The result is
// randomized so that callers refused at the same time don't retry at the same time.
func (b *Borrower) RetryAfter(now time.Duration, key Key, n int64) time.Duration {
	base := b.cfg.AskEvery
	if a := b.accounts[key]; a != nil && a.supply > 0 {
		backlog := float64(a.shortfall + a.debt + n)
		base += time.Duration(min(backlog/a.supply, b.cfg.MaxRetryAfter.Seconds()) * float64(time.Second))
	}
	wait := base + time.Duration(b.rng.Int64N(int64(base)))
	return min(wait, b.cfg.MaxRetryAfter)
}

// Urgent reports whether a Take was denied and its ask should not wait for the next
// Tick: call Step with a Tick now.
func (b *Borrower) Urgent() bool { return b.urgent }

// Balance returns the amount of a limit that can be spent now.
func (b *Borrower) Balance(now time.Duration, key Key) int64 {
	a := b.accounts[key]
	if a == nil {
		return 0
	}
	a.expire(now)
	return a.balance()
}

// Debt returns the amount by which settled counts of a limit exceed its loans.
func (b *Borrower) Debt(key Key) int64 {
	if a := b.accounts[key]; a != nil {
		return a.debt
	}
	return 0
}

// Step processes one event at time now and returns the actions to perform.
func (b *Borrower) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Holders:
		b.setHolders(ev.Slots)
	case LoanReceived:
		return b.receive(now, ev.Loan)
	case Tick:
		b.evictIdle(now)
		return b.askAll(now)
	}
	return nil
}

func (b *Borrower) setHolders(slots []SlotHolder) {
	b.holders = slices.Clone(slots)
	present := map[ident.Instance]bool{}
	for _, h := range slots {
		present[h.Holder] = true
		lender := b.lenders[h.Holder]
		if lender == nil {
			lender = &lenderState{lastAskAt: -b.cfg.LoanTerm}
			b.lenders[h.Holder] = lender
		}
		lender.addr = h.Addr
	}
	for instance := range b.lenders {
		if !present[instance] {
			delete(b.lenders, instance)
		}
	}
}

// account returns the account of a limit, creating it if needed, or nil if there are
// MaxAccounts already.
func (b *Borrower) account(now time.Duration, key Key) *account {
	a := b.accounts[key]
	if a != nil {
		return a
	}
	if len(b.accounts) >= b.cfg.MaxAccounts {
		return nil
	}
	a = &account{key: key, slot: key.Slot(b.cfg.Slots), sampledAt: now, lastAskAt: -b.cfg.LoanTerm, idle: true}
	b.accounts[key] = a
	return a
}

// markUsed records demand for an account and makes it active.
func (b *Borrower) markUsed(now time.Duration, a *account) {
	a.lastUsedAt = now
	if a.idle {
		a.idle = false
		b.active = append(b.active, a)
	}
}

// evictIdle deletes idle accounts without debt that were unused for ForgetAfter.
func (b *Borrower) evictIdle(now time.Duration) {
	if now < b.nextEviction {
		return
	}
	b.nextEviction = now + b.cfg.ForgetAfter/4
	for key, a := range b.accounts {
		if a.idle && a.debt == 0 && now-a.lastUsedAt > b.cfg.ForgetAfter {
			delete(b.accounts, key)
		}
	}
}

// receive applies a loan that answers an open ask. Its lifetime counts from the time at
// which this process sent the ask.
func (b *Borrower) receive(now time.Duration, loan Loan) []Action {
	if loan.To != b.cfg.Self {
		return nil
	}
	ask := b.closeAsk(loan)
	if ask == nil {
		return nil
	}
	var refilled []Key
	for _, item := range loan.Items {
		if item.Index < 0 || item.Index >= len(ask.accounts) {
			continue
		}
		a := ask.accounts[item.Index]
		if b.applyItem(now, ask.sentAt, a, item) {
			refilled = append(refilled, a.key)
		}
	}
	if len(refilled) == 0 {
		return nil
	}
	return []Action{Refilled{Keys: refilled}}
}

// closeAsk removes and returns the open ask that the loan answers, or nil. Each ask
// accepts one answer.
func (b *Borrower) closeAsk(loan Loan) *openAsk {
	for _, lender := range b.lenders {
		ask := &lender.openAsks[loan.Seq%maxOpenAsks]
		if ask.seq == loan.Seq && loan.Seq != 0 {
			closed := *ask
			*ask = openAsk{}
			return &closed
		}
	}
	return nil
}

// applyItem applies one item of a loan and reports whether it added an amount.
func (b *Borrower) applyItem(now, sentAt time.Duration, a *account, item LoanItem) bool {
	if item.Refused != "" {
		if item.Refused == verdict.CauseNoLimit {
			a.noLimitUntil = now + noLimitTTL
		}
		a.scarce = true
		return false
	}
	a.scarce = item.Scarce
	a.requested = 0
	b.updateSupply(now, a, item.Amount)
	if item.Amount <= 0 || item.Immediate < 0 || item.Immediate > item.Amount {
		return false
	}
	a.expire(now)
	a.lenderUnspent += item.Amount
	a.add(heldLoan{amount: item.Immediate, expiresAt: sentAt + b.cfg.ImmediateTerm, epoch: item.Epoch})
	a.add(heldLoan{amount: item.Amount - item.Immediate, expiresAt: sentAt + b.cfg.LoanTerm, epoch: item.Epoch})
	a.expire(now)
	a.shortfall = 0
	a.minAmount = 0
	a.payDebt()
	return true
}

// updateSupply updates the estimated rate of loans.
func (b *Borrower) updateSupply(now time.Duration, a *account, amount int64) {
	elapsed := max(now-a.lastLoanAt, b.cfg.UrgentAfter)
	observed := float64(amount) / elapsed.Seconds()
	a.supply += (observed - a.supply) / 4
	a.lastLoanAt = now
}

// askAll sends one ask to each holder for whose slots an ask is due.
func (b *Borrower) askAll(now time.Duration) []Action {
	b.urgent = false
	if len(b.holders) != b.cfg.Slots {
		return nil
	}
	due := b.dueByHolder(now)
	var out []Action
	for _, holder := range sortedInstances(due) {
		out = append(out, b.ask(now, holder, due[holder]))
	}
	return out
}

// dueByHolder returns the accounts that need an ask, by holder. A holder is included if
// at least one of its accounts may be asked for now; the others share that ask.
func (b *Borrower) dueByHolder(now time.Duration) map[ident.Instance][]*account {
	due := map[ident.Instance][]*account{}
	askable := map[ident.Instance]bool{}
	kept := b.active[:0]
	for _, a := range b.active {
		if b.refresh(now, a) {
			kept = append(kept, a)
		}
		holder := b.holders[a.slot].Holder
		if b.needsAsk(now, a) {
			due[holder] = append(due[holder], a)
			askable[holder] = askable[holder] || b.canAskNow(now, holder, a)
		}
	}
	clear(b.active[len(kept):])
	b.active = kept
	for holder := range due {
		if !askable[holder] {
			delete(due, holder)
		}
	}
	return due
}

// refresh updates an account's estimates and reports whether it is still active.
func (b *Borrower) refresh(now time.Duration, a *account) bool {
	a.expire(now)
	a.payDebt()
	a.updateDemand(now, b.cfg.AskEvery)
	if now-a.lastAskAt >= b.cfg.AskEvery {
		a.requested = 0
	}
	if now-a.lastUsedAt > b.cfg.IdleAfter {
		a.demand = 0
		a.shortfall = 0
		a.minAmount = 0
	}
	a.idle = a.demand == 0 && a.debt == 0 && a.refund == 0 && a.shortfall == 0 &&
		a.unspent(b.holders[a.slot].Epoch) == 0 && now-a.lastUsedAt > b.cfg.IdleAfter
	return !a.idle
}

// lookahead returns the time whose expected demand is borrowed in advance: short
// while supply is scarce, half of the loan term otherwise.
func (b *Borrower) lookahead(a *account) time.Duration {
	if a.scarce {
		return time.Duration(b.cfg.Lookahead * float64(b.cfg.AskEvery))
	}
	return b.cfg.LoanTerm / 2
}

// needsAsk reports whether the account should be part of the next ask.
func (b *Borrower) needsAsk(now time.Duration, a *account) bool {
	if a.idle || now < a.noLimitUntil {
		return false
	}
	if a.surplus(b.lookahead(a)) > 0 || a.refund > 0 {
		return true
	}
	if a.scarce && a.lenderUnspent > a.balance() {
		return true // reports what was spent, so that the lender can lend it again
	}
	return a.want(b.lookahead(a)) > a.balance()/2
}

// canAskNow reports whether enough time has passed since the last ask to the holder:
// UrgentAfter if shortfall and debt exceed the amount already requested and supply
// isn't scarce, else AskEvery.
func (b *Borrower) canAskNow(now time.Duration, holder ident.Instance, a *account) bool {
	sinceLastAsk := now - b.lenders[holder].lastAskAt
	if sinceLastAsk >= b.cfg.AskEvery {
		return true
	}
	unmet := a.shortfall+a.debt > a.requested
	return unmet && !a.scarce && sinceLastAsk >= b.cfg.UrgentAfter
}

// ask builds an ask to a holder and records it as open.
func (b *Borrower) ask(now time.Duration, holder ident.Instance, accounts []*account) Action {
	lender := b.lenders[holder]
	lender.lastAskAt = now
	b.seq++
	ask := Ask{From: b.cfg.Self, Addr: b.cfg.Addr, Seq: b.seq}
	ask.OldestOpen = lender.expireOpenAsks(now, b.cfg.AskEvery, b.seq)
	for _, a := range accounts {
		ask.Items = append(ask.Items, b.buildAskItem(now, a))
	}
	lender.openAsks[b.seq%maxOpenAsks] = openAsk{seq: b.seq, sentAt: now, accounts: accounts}
	return SendAsk{To: holder, Addr: lender.addr, Ask: ask}
}

// expireOpenAsks drops the asks that were not answered within timeout. It returns the
// Seq of the oldest open ask, or the given one if none is older.
func (l *lenderState) expireOpenAsks(now, timeout time.Duration, oldest uint64) uint64 {
	for i := range l.openAsks {
		ask := &l.openAsks[i]
		if ask.seq != 0 && now-ask.sentAt >= timeout {
			*ask = openAsk{}
		}
		if ask.seq != 0 {
			oldest = min(oldest, ask.seq)
		}
	}
	return oldest
}

func (b *Borrower) buildAskItem(now time.Duration, a *account) AskItem {
	epoch := b.holders[a.slot].Epoch
	item := AskItem{Key: a.key, Epoch: epoch, Want: a.want(b.lookahead(a)), Refund: a.refund}
	item.Immediate = min(item.Want, a.shortfall+a.debt)
	if surplus := a.surplus(b.lookahead(a)); surplus > 0 {
		item.Return = a.returnUnspent(surplus, epoch)
	}
	if a.minAmount > 1 {
		item.MinAmount = max(1, a.minAmount+a.debt-a.balance())
	}
	item.Unspent = a.unspent(epoch)
	a.lenderUnspent = item.Unspent
	a.refund = 0
	a.requested = item.Want
	a.lastAskAt = now
	return item
}

func sortedInstances(accounts map[ident.Instance][]*account) []ident.Instance {
	out := make([]ident.Instance, 0, len(accounts))
	for instance := range accounts {
		out = append(out, instance)
	}
	slices.SortFunc(out, func(x, y ident.Instance) int {
		return cmp.Or(cmp.Compare(x.VM, y.VM), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Unit, b.Unit))
}
