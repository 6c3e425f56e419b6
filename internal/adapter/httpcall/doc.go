// Package httpcall makes single HTTP calls to backend servers and to the platform.
// After a failure it reports whether a byte of the request can have reached the
// server.
//
// Requests and responses are fasthttp's. The package has its own connection pool for
// two reasons. fasthttp.HostClient retries idempotent requests by itself and does not
// report whether the write of a failed request had begun. It also can't restrict a call
// to a connection that is new or has recently carried a response. Calls that may not be
// retried need such a connection, because an open connection can stop delivering data
// permanently while new connections work.
//
// This package never retries a call; its users decide on retries.
package httpcall
