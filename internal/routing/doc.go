// Package routing decides which backend servers a request goes to: for a model
// a pipeline of stages that covers every layer exactly once, for a plain
// service one replica.
//
// The rules it guards: a leaving backend server is never picked again, and a
// failing one is left and taken back without a stampede.
//
// Load reports lag. The estimate of a backend server's load is this entry's own
// requests in flight, known without lag, plus those of others: the last reports
// less what this entry had in flight when they were measured, averaged over the
// reports' age, and corrected by how the own ones changed since, times the
// usual ratio of others' to own. Among the replicas in sight the one with the
// least expected time is taken out of a few random ones ("power of d choices",
// Mitzenmacher 2001), which keeps entries that saw the same report from herding
// to the same replica.
//
// The time of a token and of a prefill is learned at each server, and shared
// between the servers of one kind of accelerator.
//
// An entry sees a bounded subset of the replicas, chosen per failure domain by
// rendezvous hashing (Thaler and Ravishankar 1998), so that neither its polls
// nor its state grow with the fleet.
//
// A backend server that fails several times in a row is ejected for a time that
// doubles, and comes back with a growing cap on its requests in flight; at most
// a share of the servers is ejected at once (as in Envoy's outlier detection).
//
// Prefix-cache events are hints: they lower the expected prefill by as much as
// earlier hints proved true, and never decide alone.
package routing
