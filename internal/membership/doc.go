// Package membership implements failure detection for the entry VMs (alive, suspect,
// unreachable, gone, leaving) and decides which backend servers accept new work.
//
// The algorithm is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with the extensions of
// Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: SWIM-ing with Situational Awareness",
// 2017): a process whose own health is degraded uses longer timeouts, and a suspicion
// with few confirmations lasts longer. As in Rapid (Suresh et al., USENIX ATC 2018),
// every VM probes a bounded set of peers taken from hash rings, so connections and bytes
// per VM do not grow with the fleet.
//
// Differences from these protocols:
//
//   - A silent connection does not mean a dead peer. Before a VM becomes suspect it is
//     probed over a new connection and through helpers.
//   - If an entire failure domain, or every other VM, stops answering at once, this is
//     treated as a network partition. The affected VMs become unreachable instead of
//     gone and are probed at a bounded rate, so that they recover soon after the
//     partition heals.
//   - A process that detects that it was paused drops its probes in flight and extends
//     every pending suspicion by the length of the pause.
//
// Records are ordered by incarnation (one run of the process), then by serial (raised
// only by the record's owner, to change the record or to refute a false state), then by
// state. Merging keeps the larger record, so late and duplicate messages are harmless.
//
// The package is a pure state machine. The shell sends the message of each Ask, passes
// requests from peers in as Request, and sends a Tick every TickPeriod.
package membership
