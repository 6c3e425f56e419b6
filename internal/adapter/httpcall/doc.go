// Package httpcall makes single HTTP calls to backend servers and to the
// platform, and says after each failure whether a byte of the request can have
// reached the other side.
//
// Requests and responses are fasthttp's; the connection pool is this package's
// own, for two reasons. fasthttp.HostClient repeats idempotent requests by
// itself and does not tell whether the write of a failed request had begun.
// And it cannot be asked for a connection that is new or that answered
// a moment ago, which a call that may not be repeated needs: an open connection
// can have gone silent for good while new ones work.
//
// No call is ever repeated here. Repeating is a decision of the caller.
package httpcall
