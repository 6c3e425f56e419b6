// Package membership decides which entry VMs are alive, leaving or gone, and
// which backend servers take new work.
//
// The algorithm is SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002) with the changes of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard:
// SWIM-ing with Situational Awareness", 2017): a process that has reason to
// doubt itself waits longer, and a suspicion with few confirmations lasts
// longer. As in Rapid (Suresh et al., USENIX ATC 2018) every VM probes a bounded
// set of peers, taken from hash rings, so that connections and bytes per VM do
// not grow with the fleet.
//
// What differs from these:
//
//   - A silent connection is not a dead peer. Before a VM is suspected it is
//     probed over a new connection, and through helpers.
//   - Silence of a whole failure domain at once, or of everybody, is taken for a
//     cut. Its VMs are unreachable, not gone, and are probed at a bounded rate,
//     so that healing is quick.
//   - A process that finds that it was paused drops its probes in flight and
//     gives every suspicion the time back.
//
// A record is ordered by incarnation (one life of the process), then by serial
// (which its owner alone raises, to change its record or to refute), then by
// state. Merging takes the larger, so that late and repeated messages are
// harmless.
//
// The package is a plain state machine. The shell makes the calls that Ask
// names, hands requests of peers in as Request, and ticks the machine every
// TickPeriod.
package membership
