package limits

import (
	"math"
	"time"
)

// account is a borrower's state of one limit.
type account struct {
	key  Key
	slot int
	// loans holds the unspent loans, oldest first; the first loanCount
	// entries are in use.
	loans     [maxHeldLoans]heldLoan
	loanCount int
	// debt is the amount by which settled counts exceeded the balance.
	debt int64
	// refund is the amount by which settled counts were below their estimates and
	// which the next ask reports.
	refund int64
	// spent and denied are the amounts granted and denied since sampledAt.
	spent, denied int64
	sampledAt     time.Duration
	// shortfall is the amount denied since the last loan, minAmount the smallest
	// single request among it.
	shortfall, minAmount int64
	// requested is the Want of the last ask, until it is answered or times out.
	requested int64
	// takes counts the requests granted since sampledAt; recentTakes is its decaying
	// sum over about the last second.
	takes, recentTakes float64
	// demand is the estimated demand, in units per second.
	demand float64
	// supply is the estimated rate of loans, in units per second.
	supply     float64
	lastLoanAt time.Duration
	lastUsedAt time.Duration
	lastAskAt  time.Duration
	// lenderUnspent is what the lender counts as unspent: the last reported amount
	// plus the loans received since. While supply is scarce, an ask is due once the
	// balance is lower.
	lenderUnspent int64
	// scarce is set if the lender's supply didn't cover the demand.
	scarce bool
	// idle is set if the account isn't in Borrower.active.
	idle         bool
	noLimitUntil time.Duration
}

// maxHeldLoans is the maximum number of loans of one limit that expire separately.
const maxHeldLoans = 6

// heldLoan is one loan, or several that expire together.
type heldLoan struct {
	amount    int64
	expiresAt time.Duration
	epoch     uint64
}

// expire removes loans that are expired or spent.
func (a *account) expire(now time.Duration) {
	kept := 0
	for i := range a.loanCount {
		if a.loans[i].expiresAt > now && a.loans[i].amount > 0 {
			a.loans[kept] = a.loans[i]
			kept++
		}
	}
	a.loanCount = kept
}

// balance returns the unspent amount; call expire first.
func (a *account) balance() int64 {
	var sum int64
	for i := range a.loanCount {
		sum += a.loans[i].amount
	}
	return sum
}

// unspent returns the part of the balance that was lent in the given epoch.
func (a *account) unspent(epoch uint64) int64 {
	var sum int64
	for i := range a.loanCount {
		if a.loans[i].epoch == epoch {
			sum += a.loans[i].amount
		}
	}
	return sum
}

// spend takes up to n units, from the oldest loans first, and returns the amount
// taken.
func (a *account) spend(n int64) int64 {
	remaining := n
	for i := 0; i < a.loanCount && remaining > 0; i++ {
		taken := min(remaining, a.loans[i].amount)
		a.loans[i].amount -= taken
		remaining -= taken
	}
	return n - remaining
}

// returnUnspent takes up to n units of loans of the given epoch, from the newest
// first, and returns the amount taken.
func (a *account) returnUnspent(n int64, epoch uint64) int64 {
	remaining := n
	for i := a.loanCount - 1; i >= 0 && remaining > 0; i-- {
		if a.loans[i].epoch != epoch {
			continue
		}
		taken := min(remaining, a.loans[i].amount)
		a.loans[i].amount -= taken
		remaining -= taken
	}
	return n - remaining
}

// add stores a loan. If all entries are in use, it is merged into the newest loan, and
// the sum expires at the earlier of the two times; if the newest loan is of another
// epoch, it is replaced.
func (a *account) add(l heldLoan) {
	if l.amount == 0 {
		return
	}
	if a.loanCount < maxHeldLoans {
		a.loans[a.loanCount] = l
		a.loanCount++
		return
	}
	last := &a.loans[maxHeldLoans-1]
	if last.epoch != l.epoch {
		*last = l
		return
	}
	last.amount += l.amount
	last.expiresAt = min(last.expiresAt, l.expiresAt)
}

// payDebt pays as much of the debt as the balance allows.
func (a *account) payDebt() { a.debt -= a.spend(a.debt) }

// Weights of a new sample in the demand estimate when demand rises and falls.
const (
	riseWeight = 0.5
	fallWeight = 0.2
)

// minLookaheadTakes is the value of recentTakes above which amounts are borrowed in
// advance. A rarely used limit costs one ask per request instead.
const minLookaheadTakes = 1.5

// updateDemand updates the demand estimate, at most once per interval. It also caps the
// shortfall by the demand, because requests that are refused after waiting are not
// subtracted from the shortfall.
func (a *account) updateDemand(now, interval time.Duration) {
	elapsed := now - a.sampledAt
	if elapsed < interval {
		return
	}
	observed := float64(a.spent+a.denied) / elapsed.Seconds()
	weight := fallWeight
	if observed > a.demand {
		weight = riseWeight
	}
	a.demand += (observed - a.demand) * weight
	if a.demand < 0.01 {
		a.demand = 0
	}
	a.recentTakes = a.recentTakes*(1-fallWeight) + a.takes
	a.takes = 0
	a.spent = 0
	a.denied = 0
	expected := int64(math.Ceil(a.demand * 2 * interval.Seconds()))
	a.shortfall = min(a.shortfall, max(a.minAmount, expected))
	a.sampledAt = now
}

// want returns the amount to ask for, so that the balance covers the expected demand
// of the lookahead, the shortfall and the debt.
func (a *account) want(lookahead time.Duration) int64 {
	need := a.shortfall + a.debt
	if a.recentTakes > minLookaheadTakes {
		need += int64(math.Round(a.demand * lookahead.Seconds()))
	}
	return max(0, need-a.balance()-a.requested)
}

// surplus returns the balance beyond twice the expected demand of the lookahead. It
// is 0 unless supply is scarce: keeping the amount saves messages.
func (a *account) surplus(lookahead time.Duration) int64 {
	if !a.scarce {
		return 0
	}
	need := a.shortfall + a.debt + int64(math.Ceil(2*a.demand*lookahead.Seconds()))
	return max(0, a.balance()-need)
}
