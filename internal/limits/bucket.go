package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// never is a moment that is not reached.
const never = time.Duration(1<<63 - 1)

// bucket is one limit's token bucket with those who borrow from it.
type bucket struct {
	rate  float64
	burst float64
	// level is what can be lent.
	level float64
	// at is the moment up to which the bucket was filled.
	at time.Duration
	// cautiousUntil ends the time in which a former lender's loans may live.
	cautiousUntil time.Duration
	// out is what is outstanding at the moment at; it changes by itself at
	// nextExpiry.
	out        int64
	nextExpiry time.Duration
	debtors    []*debtor
	byInstance map[ident.Instance]*debtor
	// pending are the asks that wait for the next division.
	pending []pendingAsk
}

// debtor is one borrower of one limit.
type debtor struct {
	self ident.Instance
	seq  uint64
	// holding is what it reported as unspent; it can't last past holdingUntil.
	holding      int64
	holdingUntil time.Duration
	// sent are the grants that it may still receive or has not yet reported.
	sent []grant
	// want and grain are those of its last ask, at askedAt.
	want, grain int64
	// prompt is the part of want that is spent on arrival.
	prompt   int64
	askedAt  time.Duration
	servedAt time.Duration
}

// grant is an amount on its way to a borrower.
type grant struct {
	seq    uint64
	amount int64
	until  time.Duration
}

// pendingAsk is one item of a gathered ask.
type pendingAsk struct {
	debtor *debtor
	reply  *Loan
	index  int
}

func (d *debtor) outstanding(now time.Duration) int64 {
	var sum int64
	if now < d.holdingUntil {
		sum = d.holding
	}
	for _, g := range d.sent {
		if now < g.until {
			sum += g.amount
		}
	}
	return sum
}

// expiry is the first moment after now at which part of the outstanding lapses.
func (d *debtor) expiry(now time.Duration) time.Duration {
	first := never
	if d.holding > 0 && now < d.holdingUntil {
		first = d.holdingUntil
	}
	for _, g := range d.sent {
		if now < g.until {
			first = min(first, g.until)
		}
	}
	return first
}

// recount renews out and nextExpiry from all borrowers.
func (b *bucket) recount(now time.Duration) {
	b.out = 0
	b.nextExpiry = never
	if now < b.cautiousUntil {
		b.nextExpiry = b.cautiousUntil
	}
	for _, d := range b.debtors {
		b.out += d.outstanding(now)
		b.nextExpiry = min(b.nextExpiry, d.expiry(now))
	}
}

// half is the part of the burst that may be outstanding.
func (b *bucket) half() float64 { return b.burst / 2 }

// fill adds what the rate gave since the last fill, up to the burst less what
// was outstanding meanwhile. It goes from expiry to expiry: room that an expiry
// made counts from then on only, because the loan may have been spent just
// before it.
func (b *bucket) fill(now time.Duration) {
	for b.nextExpiry <= now {
		at := b.nextExpiry
		b.fillTo(at)
		b.recount(at)
	}
	b.fillTo(now)
}

func (b *bucket) fillTo(now time.Duration) {
	most := b.burst
	if b.at < b.cautiousUntil {
		most = b.half()
	}
	room := max(0, most-float64(b.out))
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), room)
	b.at = now
}

// lendable is the whole amount that can be lent after a fill.
func (b *bucket) lendable() int64 {
	room := b.half() - float64(b.out)
	return int64(max(0, min(b.level, room)))
}

// report takes in what a borrower says of its own account. What was handed
// back is credited at most up to what thereby stops being outstanding; the next
// fill bounds the level.
func (b *bucket) report(now time.Duration, d *debtor, ask Ask, item AskItem, life time.Duration) {
	b.fill(now)
	before := d.outstanding(now)
	d.seq = ask.Seq
	d.holding = item.Unspent
	d.sent = slices.DeleteFunc(d.sent, func(g grant) bool {
		return g.seq < ask.OldestOpen || g.until <= now
	})
	d.holdingUntil = max(d.holdingUntil, now)
	if item.Unspent > 0 {
		d.holdingUntil = now + life
	}
	after := d.outstanding(now)
	b.out += after - before
	b.nextExpiry = min(b.nextExpiry, d.expiry(now))
	credit := min(item.Return, max(0, before-after))
	b.level += float64(max(0, credit) + max(0, item.Refund))
	d.want = max(0, item.Want)
	d.prompt = max(0, item.Immediate)
	d.grain = min(max(1, item.MinAmount), max(1, d.want))
	d.askedAt = now
}

// divide answers the pending asks. Each gets at most its max-min fair share of
// the supply; those served longest ago come first, and keep the smallest amount
// that is of use to them reserved.
func (b *bucket) divide(now time.Duration, cfg LenderConfig) {
	b.fill(now)
	fresh := b.freshDebtors(now, 2*cfg.AskEvery)
	supply := b.lendable()
	round := int64(b.level + b.rate*cfg.AskEvery.Seconds())
	share := fairShare(fresh, round)
	short := share < maxWant(fresh)
	asks := map[*debtor]pendingAsk{}
	for _, p := range b.pending {
		asks[p.debtor] = p
	}
	for _, d := range fresh {
		amount := min(d.want, max(share, d.grain), supply)
		if amount < d.grain {
			amount = 0
		}
		p, waits := asks[d]
		if waits {
			b.lend(now, p, amount, short, cfg)
			supply -= amount
		}
		if b.reserves(d, waits && amount > 0) {
			supply -= min(supply, d.grain)
		}
	}
	b.pending = b.pending[:0]
}

// reserves reports whether the supply keeps the smallest useful amount for a
// borrower that got nothing for its last ask.
func (b *bucket) reserves(d *debtor, served bool) bool {
	return !served && d.want > 0 && d.servedAt < d.askedAt && float64(d.grain) <= b.half()
}

func (b *bucket) lend(now time.Duration, p pendingAsk, amount int64, short bool, cfg LenderConfig) {
	d := p.debtor
	item := &p.reply.Items[p.index]
	item.Scarce = short || amount < d.want
	if amount == 0 {
		return
	}
	item.Amount = amount
	item.Immediate = min(amount, d.prompt)
	d.prompt -= item.Immediate
	b.send(d, grant{seq: d.seq, amount: item.Immediate, until: now + cfg.promptLife()})
	b.send(d, grant{seq: d.seq, amount: amount - item.Immediate, until: now + cfg.loanLife()})
	d.servedAt = now
	d.want -= amount
	b.level -= float64(amount)
}

// send notes that an amount is on its way to a borrower.
func (b *bucket) send(d *debtor, g grant) {
	if g.amount == 0 {
		return
	}
	d.sent = append(d.sent, g)
	b.out += g.amount
	b.nextExpiry = min(b.nextExpiry, g.until)
}

// freshDebtors lists those who asked of late, the longest unserved first.
func (b *bucket) freshDebtors(now, within time.Duration) []*debtor {
	var out []*debtor
	for _, d := range b.debtors {
		if now-d.askedAt <= within {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, z *debtor) int {
		return cmp.Or(cmp.Compare(a.servedAt, z.servedAt),
			cmp.Compare(a.self.VM, z.self.VM), cmp.Compare(a.self.Incarnation, z.self.Incarnation))
	})
	return out
}

// forget drops those who hold nothing and have not asked for a while.
func (b *bucket) forget(now, after time.Duration) {
	b.debtors = slices.DeleteFunc(b.debtors, func(d *debtor) bool {
		gone := now-d.askedAt > after && d.outstanding(now) == 0
		if gone {
			delete(b.byInstance, d.self)
		}
		return gone
	})
}

func maxWant(debtors []*debtor) int64 {
	var most int64
	for _, d := range debtors {
		most = max(most, d.want)
	}
	return most
}

// fairShare is the largest s for which giving each debtor min(want, s) takes no
// more than supply; where all can be satisfied it is the largest want.
func fairShare(debtors []*debtor, supply int64) int64 {
	wants := make([]int64, 0, len(debtors))
	for _, d := range debtors {
		wants = append(wants, d.want)
	}
	slices.Sort(wants)
	for i, w := range wants {
		left := int64(len(wants) - i)
		if w*left >= supply {
			return supply / left
		}
		supply -= w
	}
	return maxWant(debtors)
}
