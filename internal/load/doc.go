// Package load is an open-loop load generator for entries. It simulates many callers and
// checks every answer.
//
// Requests start at the times of a Poisson process, whether or not earlier ones have been
// answered, and latencies count from the planned start. Each caller fetches addresses
// from an entry, keeps them for their lifetime and uses one of them until it fails. It
// then retries with the same key at the next one, as verdicts and Retry-After allow.
//
// Completions are compared byte by byte with the answer of the stand-ins' model.
// Reservations are compared with the stand-ins' ledger at the end.
package load
