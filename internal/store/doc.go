// Package store decides how a process uses the platform's key-value service:
// when a call may be sent, when it is tried again, and what is said when the
// service does not answer.
//
// The rules it guards:
//
//   - The calls of the whole fleet stay under a fixed rate, whatever its size.
//     Every process has a token bucket with a share of the fleet's rate: a
//     quarter of it is divided among all processes, half among those with a
//     standing duty towards the service, whose number does not grow with the
//     fleet, and a process that takes an operator's sheet through has a quarter
//     while it does. A waiting watch costs one read each time it is sent.
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
package store
