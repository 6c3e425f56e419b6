// Package platform decides how a process uses the platform's key-value service:
// when a call may be sent, when it is tried again, and what is said when the
// service does not answer.
//
// The rules it guards:
//
//   - The calls of the whole fleet stay under a fixed rate. Every process gets
//     the fleet's rate divided by the number of processes, as a token bucket,
//     so the load on the service does not grow with the fleet. A waiting watch
//     costs one read each time it is sent.
//   - A write whose reply is lost is unknown. It is read back before anything is
//     said, and a compare-and-swap is sent again only with the same expected
//     revision, so that it takes effect at most once.
//   - While the service is down, reads are answered at once with the last known
//     state and its age, and one process sends at most one call per backoff. The
//     backoff is exponential with full jitter (Brooker, "Exponential Backoff And
//     Jitter", AWS Architecture Blog 2015), so that the fleet does not come back
//     in step.
//
// The package is a plain state machine. The shell sends what Send says and hands
// the outcome back as a Reply; it ticks the machine a few times a second.
package platform
