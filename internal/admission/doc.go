// Package admission decides which requests may start now, which wait and which are
// refused.
//
// Invariants: a refused request did not run (verdict.NotRun), a waiting request that is
// cancelled gets its final answer at once, and no request waits past the last time at
// which its deadline can still be met.
//
// Queues are bounded per priority, team and service. A limit applies to a team on a
// service, so a shortage on one service implies nothing about another. Higher
// priorities go first. The teams of one priority share by deficit round robin
// (Shreedhar and Varghese, 1995), counted in request cost, so that large requests of
// one team don't crowd out small ones of another. Among a team's services, the one
// with the least cost started goes first.
//
// A request whose expected wait is too long, estimated from its own team and service,
// is refused on arrival rather than later. Retry-After depends on what was short: for
// a limit it is the time until the limit has the units. It is randomized, reproducibly
// by Config.Seed, so that callers don't retry together.
//
// A retry budget (as in Finagle and the SRE book's client throttling) bounds the load
// that retries add: each first try earns a fraction of a retry.
package admission
