// Package limits enforces each accepted rate limit across all entry VMs together.
//
// A limit belongs to the slot that its team and service hash to. The holder of the
// slot (package lease) runs a Lender, which keeps one token bucket per limit: it
// fills at the accepted rate up to the burst. Every entry VM runs a Borrower, which
// asks the lender for amounts, never for rates: a borrowed amount can be spent once
// and expires LoanTerm after the ask, on the borrower's own clock. A borrower that
// crashes, pauses or is partitioned can therefore spend at most what it had
// borrowed, and loans lost on the network simply expire.
//
// # The bound
//
// The lender tracks the outstanding amount: what it lent that may still be unspent.
// The bucket fills only up to the burst minus the outstanding amount, which is at
// most half of the burst. In every window of length w, the amount admitted on all
// VMs, minus the estimates refunded in that window, is at most
//
//	rate*w + burst
//
// where burst is rate*BurstTime, but at least MinBurst for requests and MinTokenBurst
// for tokens, which must both be at least 2. The lifetime of loans adds nothing to it.
// The bound also holds when the lender changes: the new lender starts with empty buckets
// at the moment from which it may lend, and for one LoanTerm it stays within half of the
// burst, so that the other half covers its predecessor's loans. If a slot changes hands
// more than once within one LoanTerm, each further change adds up to half of the burst.
// If clock rates differ by d, rate*(1+d) replaces rate.
//
// The part of a loan for which requests already wait is spent on arrival. It therefore
// expires after ImmediateTerm, and the borrower needn't report that it was spent.
//
// An actual count above its estimate becomes a debt, which is paid from the next
// loans before anything else is admitted. The bound then holds for the amounts
// admitted, and the actual counts exceed it by the debts not yet paid.
//
// The bucket is the token bucket (Turner 1986); scarce supply is divided by max-min
// fairness (Bertsekas and Gallager, Data Networks, 1987).
package limits
