// Package load offers open-loop load to a set of entries as many callers would,
// and checks every answer.
//
// Requests start at the times of a Poisson process, whether or not earlier ones
// have been answered, and latencies count from the planned start. Each caller
// asks an entry for addresses, keeps them for their lifetime, stays with one of
// them while it answers, and repeats with the same key through another one as
// verdicts and Retry-After allow.
//
// Completions are compared byte by byte with what the stand-ins' model has to
// answer. Reservations are compared with the stand-ins' ledger at the end.
package load
