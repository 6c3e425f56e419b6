// Package peer carries typed messages between the system's own processes.
//
// It uses gRPC with one generic, hand-written service, so that no generated code is
// needed: each method has a name, a request type and a response type. Messages are
// encoded as CBOR with the names of their json tags.
//
// A connection can stop delivering data permanently while new connections work,
// because a device between the two ends has lost its state. Keepalive pings would cost
// bytes on every connection, so they are off. Instead, a call in mode Retryable that
// gets no response over a connection that worked before is retried once over a new
// connection. The silent connection is retired in every mode.
package peer
