// Package reach judges whether the links between this VM and the backend servers of a service
// are cut.
//
// A server that fails says little: it may have crashed. If several servers fail and none has
// responded since the first of them did, the VM is in doubt and probes others at once. If
// those fail as well, it counts as cut off until a probe succeeds: then its requests go
// through other VMs, what it believes of the servers is worth nothing to others, and it does
// not lead. Whether the servers are down or the links are, a VM can't tell by itself; the
// others tell by what they do with the requests that it passes on.
//
// Core is a pure state machine. Times are passed in as durations since the process started.
package reach
