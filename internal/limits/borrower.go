package limits

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// Outcome says what became of a Take.
type Outcome uint8

// The outcomes.
const (
	// Granted says that the amount was taken.
	Granted Outcome = iota + 1
	// Short says that too little is held now. The request may wait for the
	// next Refilled, or be refused with CauseOverLimit.
	Insufficient
	// NoLimit says that nobody accepted this limit: refuse with CauseNoLimit.
	NoLimit
)

// noLimitFor is how long a lender's word that there is no limit is kept.
const noLimitFor = time.Second

// Borrower holds what this entry VM may admit. It is used from one goroutine.
type Borrower struct {
	cfg      BorrowerConfig
	rng      *rand.Rand
	accounts map[Key]*account
	// active are the accounts that may need an ask, in the order of first use.
	active  []*account
	holders []SlotHolder
	lenders map[ident.Instance]*lenderLink
	seq     uint64
	urgent  bool
	nextCut time.Duration
}

// lenderLink is the traffic with one holder.
type lenderLink struct {
	addr    string
	askedAt time.Duration
	// asks are the last asks, by sequence number, with their accounts.
	asks [maxAsks]openAsk
}

// maxAsks bounds the unanswered asks to one holder whose answers are taken.
const maxAsks = 8

type openAsk struct {
	seq      uint64
	sent     time.Duration
	accounts []*account
}

// NewBorrower returns a borrower that knows no holders.
func NewBorrower(cfg BorrowerConfig) (*Borrower, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Borrower{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		accounts: map[Key]*account{},
		lenders:  map[ident.Instance]*lenderLink{},
	}, nil
}

// Take takes n units of a limit for one request. It does not allocate for a
// limit in use. A request that waits calls it again after Refilled, not before.
func (b *Borrower) Take(now time.Duration, key Key, n int64) Outcome {
	a := b.account(now, key)
	if a == nil {
		return Insufficient
	}
	if now < a.noLimitTo {
		return NoLimit
	}
	b.use(now, a)
	if b.CanTake(now, key, n) {
		a.spend(n)
		a.spent += n
		a.taken++
		return Granted
	}
	a.missed += n
	a.missing += n
	if a.grain == 0 || n < a.grain {
		a.grain = n
	}
	b.urgent = b.urgent || !a.short
	return Insufficient
}

// Covers reports whether a Take of n would be granted now. Where several limits
// bound a request, ask it of all of them before taking from any: what is taken
// in vain only comes back through the lender.
func (b *Borrower) CanTake(now time.Duration, key Key, n int64) bool {
	a := b.accounts[key]
	if a == nil || now < a.noLimitTo {
		return false
	}
	a.expire(now)
	a.payDebt()
	return a.debt == 0 && a.balance() >= n
}

// Settle corrects an estimate that was taken by the true count. What the count
// is above it becomes a debt where too little is held; what it is below it goes
// back to the lender.
func (b *Borrower) Settle(now time.Duration, key Key, estimate, actual int64) {
	a := b.account(now, key)
	if a == nil {
		return
	}
	b.use(now, a)
	if actual <= estimate {
		a.refund += estimate - actual
		return
	}
	a.spent += actual - estimate
	a.debt += actual - estimate
	a.expire(now)
	a.payDebt()
}

// RetryAfter estimates when n units may be had, spread so that callers refused
// together don't come back together.
func (b *Borrower) RetryAfter(now time.Duration, key Key, n int64) time.Duration {
	base := b.cfg.AskEvery
	if a := b.accounts[key]; a != nil && a.supply > 0 {
		behind := float64(a.missing + a.debt + n)
		base += time.Duration(min(behind/a.supply, b.cfg.MaxRetryAfter.Seconds()) * float64(time.Second))
	}
	wait := base + time.Duration(b.rng.Int64N(int64(base)))
	return min(wait, b.cfg.MaxRetryAfter)
}

// Urgent reports whether a request found nothing left and an ask is due before
// the next Tick: call Step with a Tick now.
func (b *Borrower) Urgent() bool { return b.urgent }

// Balance is what can be spent of a limit now.
func (b *Borrower) Balance(now time.Duration, key Key) int64 {
	a := b.accounts[key]
	if a == nil {
		return 0
	}
	a.expire(now)
	return a.balance()
}

// Debt is what settled counts of a limit are above what was lent so far.
func (b *Borrower) Debt(key Key) int64 {
	if a := b.accounts[key]; a != nil {
		return a.debt
	}
	return 0
}

// Step takes one event in at time now and returns what is to be done.
func (b *Borrower) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Holders:
		b.learnHolders(ev.Slots)
	case LoanReceived:
		return b.receive(now, ev.Loan)
	case Tick:
		b.forget(now)
		return b.askAll(now)
	}
	return nil
}

func (b *Borrower) learnHolders(slots []SlotHolder) {
	b.holders = slices.Clone(slots)
	present := map[ident.Instance]bool{}
	for _, h := range slots {
		present[h.Holder] = true
		link := b.lenders[h.Holder]
		if link == nil {
			link = &lenderLink{askedAt: -b.cfg.LoanTerm}
			b.lenders[h.Holder] = link
		}
		link.addr = h.Addr
	}
	for in := range b.lenders {
		if !present[in] {
			delete(b.lenders, in)
		}
	}
}

func (b *Borrower) account(now time.Duration, key Key) *account {
	a := b.accounts[key]
	if a != nil {
		return a
	}
	if len(b.accounts) >= b.cfg.MaxAccounts {
		return nil
	}
	a = &account{key: key, slot: key.Slot(b.cfg.Slots), sampledAt: now, askedAt: -b.cfg.LoanTerm, idle: true}
	b.accounts[key] = a
	return a
}

// use notes that an account is in demand.
func (b *Borrower) use(now time.Duration, a *account) {
	a.usedAt = now
	if a.idle {
		a.idle = false
		b.active = append(b.active, a)
	}
}

// forget drops accounts that were not used for long.
func (b *Borrower) forget(now time.Duration) {
	if now < b.nextCut {
		return
	}
	b.nextCut = now + b.cfg.ForgetAfter/4
	for key, a := range b.accounts {
		if a.idle && a.debt == 0 && now-a.usedAt > b.cfg.ForgetAfter {
			delete(b.accounts, key)
		}
	}
}

// receive takes a loan in. It counts from the moment of its ask, which this
// process remembers itself.
func (b *Borrower) receive(now time.Duration, loan Loan) []Action {
	if loan.To != b.cfg.Self {
		return nil
	}
	ask := b.takeAsk(loan)
	if ask == nil {
		return nil
	}
	var refilled []Key
	for _, item := range loan.Items {
		if item.Index < 0 || item.Index >= len(ask.accounts) {
			continue
		}
		a := ask.accounts[item.Index]
		if b.receiveItem(now, ask.sent, a, item) {
			refilled = append(refilled, a.key)
		}
	}
	if len(refilled) == 0 {
		return nil
	}
	return []Action{Refilled{Keys: refilled}}
}

// takeAsk finds the ask that the loan answers; each is answered once.
func (b *Borrower) takeAsk(loan Loan) *openAsk {
	for _, link := range b.lenders {
		ask := &link.asks[loan.Seq%maxAsks]
		if ask.seq == loan.Seq && loan.Seq != 0 {
			found := *ask
			*ask = openAsk{}
			return &found
		}
	}
	return nil
}

func (b *Borrower) receiveItem(now, sent time.Duration, a *account, item LoanItem) bool {
	if item.Refused != "" {
		if item.Refused == verdict.CauseNoLimit {
			a.noLimitTo = now + noLimitFor
		}
		a.short = true
		return false
	}
	a.short = item.Scarce
	a.asked = 0
	b.noteSupply(now, a, item.Amount)
	if item.Amount <= 0 || item.Immediate < 0 || item.Immediate > item.Amount {
		return false
	}
	a.expire(now)
	a.counted += item.Amount
	a.put(lot{amount: item.Immediate, until: sent + b.cfg.ImmediateTerm, epoch: item.Epoch})
	a.put(lot{amount: item.Amount - item.Immediate, until: sent + b.cfg.LoanTerm, epoch: item.Epoch})
	a.expire(now)
	a.missing = 0
	a.grain = 0
	a.payDebt()
	return true
}

// noteSupply renews the estimate of what the lender gives.
func (b *Borrower) noteSupply(now time.Duration, a *account, amount int64) {
	passed := max(now-a.grantedAt, b.cfg.UrgentAfter)
	seen := float64(amount) / passed.Seconds()
	a.supply += (seen - a.supply) / 4
	a.grantedAt = now
}

// askAll sends one ask to each holder of whose slots something is due.
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

// dueByHolder gathers the accounts of each holder to which an ask is due, with
// those that can ride along.
func (b *Borrower) dueByHolder(now time.Duration) map[ident.Instance][]*account {
	due := map[ident.Instance][]*account{}
	pressing := map[ident.Instance]bool{}
	kept := b.active[:0]
	for _, a := range b.active {
		if b.review(now, a) {
			kept = append(kept, a)
		}
		holder := b.holders[a.slot].Holder
		if b.wantsAsk(now, a) {
			due[holder] = append(due[holder], a)
			pressing[holder] = pressing[holder] || b.mayAsk(now, holder, a)
		}
	}
	clear(b.active[len(kept):])
	b.active = kept
	for holder := range due {
		if !pressing[holder] {
			delete(due, holder)
		}
	}
	return due
}

// review renews an account's estimates and reports whether it is still active.
func (b *Borrower) review(now time.Duration, a *account) bool {
	a.expire(now)
	a.payDebt()
	a.sample(now, b.cfg.AskEvery)
	if now-a.askedAt >= b.cfg.AskEvery {
		a.asked = 0
	}
	if now-a.usedAt > b.cfg.IdleAfter {
		a.demand = 0
		a.missing = 0
		a.grain = 0
	}
	a.idle = a.demand == 0 && a.debt == 0 && a.refund == 0 && a.missing == 0 &&
		a.holding(b.holders[a.slot].Epoch) == 0 && now-a.usedAt > b.cfg.IdleAfter
	return !a.idle
}

// ahead is the time of which the demand is held: little where the lender is
// short, half of the loan's life where it has enough for all.
func (b *Borrower) ahead(a *account) time.Duration {
	if a.short {
		return time.Duration(b.cfg.Lookahead * float64(b.cfg.AskEvery))
	}
	return b.cfg.LoanTerm / 2
}

// wantsAsk reports whether an ask for the account would be of use.
func (b *Borrower) wantsAsk(now time.Duration, a *account) bool {
	if a.idle || now < a.noLimitTo {
		return false
	}
	if a.surplus(b.ahead(a)) > 0 || a.refund > 0 {
		return true
	}
	if a.short && a.counted > a.balance() {
		return true // the lender can lend what was spent meanwhile
	}
	return a.want(b.ahead(a)) > a.balance()/2
}

// mayAsk reports whether the account's need may send an ask to the holder now.
func (b *Borrower) mayAsk(now time.Duration, holder ident.Instance, a *account) bool {
	since := now - b.lenders[holder].askedAt
	if since >= b.cfg.AskEvery {
		return true
	}
	wanting := a.missing+a.debt > a.asked
	return wanting && !a.short && since >= b.cfg.UrgentAfter
}

func (b *Borrower) ask(now time.Duration, holder ident.Instance, accounts []*account) Action {
	link := b.lenders[holder]
	link.askedAt = now
	b.seq++
	ask := Ask{From: b.cfg.Self, Addr: b.cfg.Addr, Seq: b.seq}
	ask.OldestOpen = link.dropLate(now, b.cfg.AskEvery, b.seq)
	for _, a := range accounts {
		ask.Items = append(ask.Items, b.askItem(now, a))
	}
	link.asks[b.seq%maxAsks] = openAsk{seq: b.seq, sent: now, accounts: accounts}
	return SendAsk{To: holder, Addr: link.addr, Ask: ask}
}

// dropLate gives up the asks that were not answered in time, and returns the
// oldest one whose answer is still taken.
func (l *lenderLink) dropLate(now, after time.Duration, oldest uint64) uint64 {
	for i := range l.asks {
		ask := &l.asks[i]
		if ask.seq != 0 && now-ask.sent >= after {
			*ask = openAsk{}
		}
		if ask.seq != 0 {
			oldest = min(oldest, ask.seq)
		}
	}
	return oldest
}

func (b *Borrower) askItem(now time.Duration, a *account) AskItem {
	epoch := b.holders[a.slot].Epoch
	item := AskItem{Key: a.key, Epoch: epoch, Want: a.want(b.ahead(a)), Refund: a.refund}
	item.Immediate = min(item.Want, a.missing+a.debt)
	if surplus := a.surplus(b.ahead(a)); surplus > 0 {
		item.Return = a.handBack(surplus, epoch)
	}
	if a.grain > 1 {
		item.MinAmount = max(1, a.grain+a.debt-a.balance())
	}
	item.Unspent = a.holding(epoch)
	a.counted = item.Unspent
	a.refund = 0
	a.asked = item.Want
	a.askedAt = now
	return item
}

func sortedInstances(due map[ident.Instance][]*account) []ident.Instance {
	out := make([]ident.Instance, 0, len(due))
	for in := range due {
		out = append(out, in)
	}
	slices.SortFunc(out, func(x, y ident.Instance) int {
		return cmp.Or(cmp.Compare(x.VM, y.VM), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Unit, b.Unit))
}
