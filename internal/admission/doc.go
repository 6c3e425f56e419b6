// Package admission decides which requests may start now, which wait and which
// are refused.
//
// The rules it guards: a refused request did not run (verdict.NotRun), a
// request that is given up gets its final answer at once, and nothing waits
// past the moment at which its deadline can no longer be met.
//
// Queues are bounded, per priority, team and service, for a limit is on a team
// and a service: what is short on one service says nothing about another.
// Higher priorities go first; the teams of one priority share by deficit round
// robin (Shreedhar and Varghese, 1995), counted in the request's cost, so that
// large requests of one team don't crowd out small ones of another. Of a team's
// services that of which the least cost started goes first.
//
// A request that would wait too long, by what was seen of its own team and
// service, is refused on arrival instead of later. When to come back depends on
// what was short: the limit says when it gives as much, and that is spread by a
// seed, so that callers don't return together.
//
// A retry budget (as in Finagle and the SRE book's client throttling) bounds
// what retries add to the load: each first try earns a share of a retry.
package admission
