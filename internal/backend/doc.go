// Package fleet holds what a VM believes of the backend servers: what they say of
// themselves in the store, what requests have seen of them, and the VM's own work
// in progress on them. It is a plain state machine: time is handed in as the time
// since the process started.
package backend
