// Package limits divides each accepted limit among the entry VMs.
//
// A limit belongs to the slot that its team and service hash to. The holder of
// the slot (package lease) runs a Lender, which keeps one token bucket per
// limit: it fills at the accepted rate up to the burst. Every entry VM runs a
// Borrower, which asks the lender for amounts, never for rates: an amount that
// was lent can be spent once, and expires LoanTerm after the ask on the
// borrower's own clock. So a borrower that dies, stands still or is cut off can
// spend at most what it had, and what is lost on the way merely expires.
//
// # The bound
//
// The lender counts what it lent and what may still be unspent (outstanding).
// The bucket fills only up to burst minus outstanding, and half of the burst at
// most is outstanding. For every window of length w the amount admitted on all
// VMs, less the estimates that were refunded in it, is at most
//
//	rate*w + burst
//
// with burst = max(rate * BurstTime, the unit's MinBurst), at least 2. Nothing
// is added for the time that loans live. It also holds over a change of lender:
// the new one starts with nothing at the moment at which it may act, and for
// one LoanTerm it stays within half of the burst, so that the other half covers
// what its predecessor lent. A slot that changes hands more than once within one
// LoanTerm adds up to half of the burst for each further change. Where the
// rates of clocks differ by d, rate*(1+d) stands in for rate.
//
// The part of a loan for which requests already wait is spent on arrival, so it
// lives for PromptTerm only, and the lender need not be told of its spending.
//
// A settled count above its estimate is a debt. It is paid from the next
// loans before anything else is admitted, so the bound then holds for the
// amounts admitted, and the true counts exceed it by the debts not yet paid.
//
// The bucket is the token bucket (Turner 1986); a short supply is divided by
// max-min fairness (Bertsekas and Gallager, Data Networks, 1987).
package limits
