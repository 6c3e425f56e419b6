// Package detector decides which backend servers are lost. Evidence of a loss starts a check:
// connections to the server that are opened and closed at once. Only a check decides; evidence
// alone, also that of another VM, moves no stream.
//
// A server is lost if it refuses connections, and dark if it answers none of several. Either
// verdict needs a witness: another server that accepts a connection of this VM afterwards, so
// that a VM whose own links are cut decides nothing. docs/design/failure-detection.md has the
// rules and what was considered.
package detector
