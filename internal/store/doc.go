// Package store decides how a process uses the platform's key-value service: when a
// call may be sent, when it is retried, and what is returned if the service does not
// answer.
//
// It guarantees the following:
//
//   - The calls of the whole fleet stay under a fixed rate, whatever its size. Every
//     process has token buckets, for reads and for writes, with a share of the fleet's
//     rate: a quarter of it is divided among all processes, half among the processes that
//     call the service regularly, whose number does not grow with the fleet, and a process
//     that applies an operator's configuration sheet has a quarter while it does so. A
//     watch costs one read each time it is sent, however long it waits.
//   - If the reply to a write is lost, the key is read back before an outcome is reported.
//     The write, a compare-and-swap, is retried only with the same expected revision, so
//     that it takes effect at most once. If time runs out first, the outcome is Unknown.
//   - While the service is down, reads are answered immediately with the last known state
//     and its age, and one process sends at most one call per backoff. The backoff is
//     exponential with full jitter (Brooker, "Exponential Backoff And Jitter", AWS
//     Architecture Blog 2015), so that the processes do not retry in step.
//
// The package is a pure state machine. The shell makes the call in each Send, passes its
// outcome back as a Reply, and sends a Tick a few times per second.
package store
