package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// bucket is the token bucket of one limit, with its borrowers.
type bucket struct {
	rate  float64
	burst float64
	// level is the current number of units.
	level float64
	// filledAt is the time up to which the bucket was filled.
	filledAt time.Duration
	// halfBurstUntil is when the last loans of the previous lender expire. Until
	// then the bucket fills to half of the burst only.
	halfBurstUntil time.Duration
	// totalOutstanding is the outstanding amount of all borrowers at filledAt. It
	// decreases at nextExpiry, when a loan expires.
	totalOutstanding int64
	nextExpiry       time.Duration
	borrowers        []*borrowerState
	byInstance       map[ident.Instance]*borrowerState
	// pending holds the asks to be answered by the next division.
	pending []pendingAsk
}

// borrowerState is the lender's state of one borrower of one limit.
type borrowerState struct {
	id  ident.Instance
	seq uint64
	// unspent is the last amount that it reported as unspent, which expires at
	// unspentUntil at the latest.
	unspent      int64
	unspentUntil time.Duration
	// inFlight holds the grants that it may still receive or hasn't yet reported.
	inFlight []grant
	// want and minAmount are from its last ask, received at lastAskAt; want decreases
	// by what is lent.
	want, minAmount int64
	// immediate is the part of want that is spent on arrival.
	immediate  int64
	lastAskAt  time.Duration
	lastLoanAt time.Duration
}

// grant is an amount lent to a borrower and not yet reported by it.
type grant struct {
	seq       uint64
	amount    int64
	expiresAt time.Duration
}

// pendingAsk is an item of an ask that waits for the next division.
type pendingAsk struct {
	borrowerState *borrowerState
	reply         *Loan
	index         int
}

// outstanding returns the amount lent to the borrower that may still be unspent.
func (bs *borrowerState) outstanding(now time.Duration) int64 {
	var sum int64
	if now < bs.unspentUntil {
		sum = bs.unspent
	}
	for _, g := range bs.inFlight {
		if now < g.expiresAt {
			sum += g.amount
		}
	}
	return sum
}

// expiry returns the first time after now at which part of the outstanding amount
// expires, or never.
func (bs *borrowerState) expiry(now time.Duration) time.Duration {
	first := never
	if bs.unspent > 0 && now < bs.unspentUntil {
		first = bs.unspentUntil
	}
	for _, g := range bs.inFlight {
		if now < g.expiresAt {
			first = min(first, g.expiresAt)
		}
	}
	return first
}

// recountOutstanding recomputes totalOutstanding and nextExpiry from all borrowers.
func (b *bucket) recountOutstanding(now time.Duration) {
	b.totalOutstanding = 0
	b.nextExpiry = never
	if now < b.halfBurstUntil {
		b.nextExpiry = b.halfBurstUntil
	}
	for _, bs := range b.borrowers {
		b.totalOutstanding += bs.outstanding(now)
		b.nextExpiry = min(b.nextExpiry, bs.expiry(now))
	}
}

// halfBurst returns the largest amount that may be outstanding.
func (b *bucket) halfBurst() float64 { return b.burst / 2 }

// fill adds the units due since the last fill, up to the burst minus the outstanding
// amount. It proceeds from expiry to expiry: headroom freed by an expiry counts only
// from then on, because the loan may have been spent just before it.
func (b *bucket) fill(now time.Duration) {
	for b.nextExpiry <= now {
		at := b.nextExpiry
		b.fillTo(at)
		b.recountOutstanding(at)
	}
	b.fillTo(now)
}

func (b *bucket) fillTo(now time.Duration) {
	capacity := b.burst
	if b.filledAt < b.halfBurstUntil {
		capacity = b.halfBurst()
	}
	headroom := max(0, capacity-float64(b.totalOutstanding))
	b.level = min(b.level+b.rate*(now-b.filledAt).Seconds(), headroom)
	b.filledAt = now
}

// lendable returns the total amount that can be lent; call fill first.
func (b *bucket) lendable() int64 {
	headroom := b.halfBurst() - float64(b.totalOutstanding)
	return int64(max(0, min(b.level, headroom)))
}

// applyReport updates a borrower's state from its ask. A returned amount is credited up
// to the decrease of the outstanding amount; the next fill caps the level.
func (b *bucket) applyReport(now time.Duration, bs *borrowerState, ask Ask, item AskItem, loanLifetime time.Duration) {
	b.fill(now)
	before := bs.outstanding(now)
	bs.seq = ask.Seq
	bs.unspent = item.Unspent
	bs.inFlight = slices.DeleteFunc(bs.inFlight, func(g grant) bool {
		return g.seq < ask.OldestOpen || g.expiresAt <= now
	})
	bs.unspentUntil = max(bs.unspentUntil, now)
	if item.Unspent > 0 {
		bs.unspentUntil = now + loanLifetime
	}
	after := bs.outstanding(now)
	b.totalOutstanding += after - before
	b.nextExpiry = min(b.nextExpiry, bs.expiry(now))
	credit := min(item.Return, max(0, before-after))
	b.level += float64(max(0, credit) + max(0, item.Refund))
	bs.want = max(0, item.Want)
	bs.immediate = max(0, item.Immediate)
	bs.minAmount = min(max(1, item.MinAmount), max(1, bs.want))
	bs.lastAskAt = now
}

// divide answers the pending asks. Each borrower gets at most its max-min fair share
// of the supply, or its minAmount if that is larger. Borrowers whose last loan is
// oldest come first, and their minAmount stays reserved until they get a loan.
func (b *bucket) divide(now time.Duration, cfg LenderConfig) {
	b.fill(now)
	recent := b.recentBorrowers(now, 2*cfg.AskEvery)
	supply := b.lendable()
	intervalSupply := int64(b.level + b.rate*cfg.AskEvery.Seconds())
	share := fairShare(recent, intervalSupply)
	scarce := share < maxWant(recent)
	asks := map[*borrowerState]pendingAsk{}
	for _, p := range b.pending {
		asks[p.borrowerState] = p
	}
	for _, bs := range recent {
		amount := min(bs.want, max(share, bs.minAmount), supply)
		if amount < bs.minAmount {
			amount = 0
		}
		p, asked := asks[bs]
		if asked {
			b.lend(now, p, amount, scarce, cfg)
			supply -= amount
		}
		if b.reservesFor(bs, asked && amount > 0) {
			supply -= min(supply, bs.minAmount)
		}
	}
	b.pending = b.pending[:0]
}

// reservesFor reports whether minAmount is set aside for a borrower that got nothing
// for its last ask.
func (b *bucket) reservesFor(bs *borrowerState, served bool) bool {
	return !served && bs.want > 0 && bs.lastLoanAt < bs.lastAskAt && float64(bs.minAmount) <= b.halfBurst()
}

// lend writes an amount into the reply to an ask and records it as outstanding.
func (b *bucket) lend(now time.Duration, p pendingAsk, amount int64, scarce bool, cfg LenderConfig) {
	bs := p.borrowerState
	item := &p.reply.Items[p.index]
	item.Scarce = scarce || amount < bs.want
	if amount == 0 {
		return
	}
	item.Amount = amount
	item.Immediate = min(amount, bs.immediate)
	bs.immediate -= item.Immediate
	b.recordGrant(bs, grant{seq: bs.seq, amount: item.Immediate, expiresAt: now + cfg.immediateLifetime()})
	b.recordGrant(bs, grant{seq: bs.seq, amount: amount - item.Immediate, expiresAt: now + cfg.loanLifetime()})
	bs.lastLoanAt = now
	bs.want -= amount
	b.level -= float64(amount)
}

// recordGrant counts an amount lent to a borrower as outstanding.
func (b *bucket) recordGrant(bs *borrowerState, g grant) {
	if g.amount == 0 {
		return
	}
	bs.inFlight = append(bs.inFlight, g)
	b.totalOutstanding += g.amount
	b.nextExpiry = min(b.nextExpiry, g.expiresAt)
}

// recentBorrowers returns the borrowers whose last ask is at most maxAge old, those
// whose last loan is oldest first.
func (b *bucket) recentBorrowers(now, maxAge time.Duration) []*borrowerState {
	var out []*borrowerState
	for _, bs := range b.borrowers {
		if now-bs.lastAskAt <= maxAge {
			out = append(out, bs)
		}
	}
	slices.SortFunc(out, func(x, y *borrowerState) int {
		return cmp.Or(cmp.Compare(x.lastLoanAt, y.lastLoanAt),
			cmp.Compare(x.id.VM, y.id.VM), cmp.Compare(x.id.Incarnation, y.id.Incarnation))
	})
	return out
}

// evictIdle removes borrowers without an outstanding amount whose last ask is older
// than idleTime.
func (b *bucket) evictIdle(now, idleTime time.Duration) {
	b.borrowers = slices.DeleteFunc(b.borrowers, func(bs *borrowerState) bool {
		idle := now-bs.lastAskAt > idleTime && bs.outstanding(now) == 0
		if idle {
			delete(b.byInstance, bs.id)
		}
		return idle
	})
}

func maxWant(borrowers []*borrowerState) int64 {
	var largest int64
	for _, bs := range borrowers {
		largest = max(largest, bs.want)
	}
	return largest
}

// fairShare returns the largest s for which giving each borrower min(want, s) takes
// at most the supply, or the largest want if every borrower can be satisfied.
func fairShare(borrowers []*borrowerState, supply int64) int64 {
	wants := make([]int64, 0, len(borrowers))
	for _, bs := range borrowers {
		wants = append(wants, bs.want)
	}
	slices.Sort(wants)
	for i, w := range wants {
		remaining := int64(len(wants) - i)
		if w*remaining >= supply {
			return supply / remaining
		}
		supply -= w
	}
	return maxWant(borrowers)
}
