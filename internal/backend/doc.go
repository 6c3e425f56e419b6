// Package backend holds a VM's view of the backend servers: their records in the store,
// what requests have observed, and the VM's own work in progress on them. It is a pure
// state machine; times are passed in as durations since the process started.
package backend
