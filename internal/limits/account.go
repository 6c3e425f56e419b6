package limits

import (
	"math"
	"time"
)

// account is what a borrower holds of one limit.
type account struct {
	key  Key
	slot int
	// lots are the unspent loans, the oldest first; the first n are in use.
	lots [maxLots]lot
	n    int
	// debt is what settled counts were above what was held.
	debt int64
	// refund is what settled counts were below their estimates, not yet told.
	refund int64
	// spent and missed are what was taken and found wanting since sampledAt.
	spent, missed int64
	sampledAt     time.Duration
	// missing is what was found wanting since the last loan, grain the least
	// amount that would have helped one request.
	missing, grain int64
	// asked is what the last ask wanted, until it is answered or given up.
	asked int64
	// taken counts the requests since sampledAt, recent those of the last
	// second or so.
	taken, recent float64
	// demand is the estimate of the demand, in units per second.
	demand float64
	// supply is the estimate of what the lender gives, in units per second.
	supply    float64
	grantedAt time.Duration
	usedAt    time.Duration
	askedAt   time.Duration
	// counted is what the lender counts as held: the last report and the loans
	// that arrived since. Where the lender is short it is told of the spending.
	counted int64
	// short says that the lender could not give what all wanted.
	short bool
	// idle says that the account is not among the active ones.
	idle      bool
	noLimitTo time.Duration
}

// maxLots bounds the loans of one limit that are held apart.
const maxLots = 6

// lot is one loan, or several that expire together.
type lot struct {
	amount int64
	until  time.Duration
	epoch  uint64
}

// expire drops the lots that can't be spent any more.
func (a *account) expire(now time.Duration) {
	kept := 0
	for i := range a.n {
		if a.lots[i].until > now && a.lots[i].amount > 0 {
			a.lots[kept] = a.lots[i]
			kept++
		}
	}
	a.n = kept
}

// balance is what can be spent.
func (a *account) balance() int64 {
	var sum int64
	for i := range a.n {
		sum += a.lots[i].amount
	}
	return sum
}

// holding is the part of the balance that was lent in the given epoch.
func (a *account) holding(epoch uint64) int64 {
	var sum int64
	for i := range a.n {
		if a.lots[i].epoch == epoch {
			sum += a.lots[i].amount
		}
	}
	return sum
}

// spend takes up to n, from the oldest lots first, and returns what it took.
func (a *account) spend(n int64) int64 {
	left := n
	for i := 0; i < a.n && left > 0; i++ {
		part := min(left, a.lots[i].amount)
		a.lots[i].amount -= part
		left -= part
	}
	return n - left
}

// handBack takes up to n of the given epoch, from the newest lots first.
func (a *account) handBack(n int64, epoch uint64) int64 {
	left := n
	for i := a.n - 1; i >= 0 && left > 0; i-- {
		if a.lots[i].epoch != epoch {
			continue
		}
		part := min(left, a.lots[i].amount)
		a.lots[i].amount -= part
		left -= part
	}
	return n - left
}

// put adds a loan. Where there is no room it joins the newest lot of its epoch,
// and both expire when the first of them would.
func (a *account) put(l lot) {
	if l.amount == 0 {
		return
	}
	if a.n < maxLots {
		a.lots[a.n] = l
		a.n++
		return
	}
	last := &a.lots[maxLots-1]
	if last.epoch != l.epoch {
		*last = l
		return
	}
	last.amount += l.amount
	last.until = min(last.until, l.until)
}

// payDebt pays the debt from the balance.
func (a *account) payDebt() { a.debt -= a.spend(a.debt) }

// The parts by which the estimate of the demand follows a rise and a fall with
// each sample.
const (
	risePart = 0.5
	fallPart = 0.2
)

// loneRequest is the count of recent requests up to which nothing is held in
// advance: a limit that is used now and then costs one ask a request.
const loneRequest = 1.5

// sample renews the estimate of the demand. What is missing is bounded by it,
// for requests that were refused don't say so.
func (a *account) sample(now, every time.Duration) {
	passed := now - a.sampledAt
	if passed < every {
		return
	}
	seen := float64(a.spent+a.missed) / passed.Seconds()
	part := fallPart
	if seen > a.demand {
		part = risePart
	}
	a.demand += (seen - a.demand) * part
	if a.demand < 0.01 {
		a.demand = 0
	}
	a.recent = a.recent*(1-fallPart) + a.taken
	a.taken = 0
	a.spent = 0
	a.missed = 0
	waiting := int64(math.Ceil(a.demand * 2 * every.Seconds()))
	a.missing = min(a.missing, max(a.grain, waiting))
	a.sampledAt = now
}

// want is what should be asked for, so that what is held covers the demand of
// the time ahead, what was found wanting, and the debt.
func (a *account) want(ahead time.Duration) int64 {
	need := a.missing + a.debt
	if a.recent > loneRequest {
		need += int64(math.Round(a.demand * ahead.Seconds()))
	}
	return max(0, need-a.balance()-a.asked)
}

// surplus is what is held beyond twice the demand of the time ahead. Where the
// lender has enough for all it is kept, and saves the messages.
func (a *account) surplus(ahead time.Duration) int64 {
	if !a.short {
		return 0
	}
	need := a.missing + a.debt + int64(math.Ceil(2*a.demand*ahead.Seconds()))
	return max(0, a.balance()-need)
}
