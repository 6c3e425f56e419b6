// Package admission decides which requests may start now, which wait and which
// are refused.
//
// The rules it guards: a refused request did not run (verdict.NotRun), a
// request that is given up gets its final answer at once, and nothing waits
// past the moment at which its deadline can no longer be met.
//
// Queues are bounded, per priority and team. Higher priorities go first; the
// teams of one priority share by deficit round robin (Shreedhar and Varghese,
// 1995), counted in the request's cost, so that large requests of one team don't
// crowd out small ones of another. A request that would wait too long is
// refused on arrival instead of later, and the times to come back are spread by
// a seed, so that callers don't return together.
//
// A retry budget (as in Finagle and the SRE book's client throttling) bounds
// what retries add to the load: each first try earns a share of a retry.
package admission
