// Package router is the shell of the process that runs on each VM of the users'
// platform. It accepts callers' requests, asks the core (internal/dispatch) for a
// backend server or path, and forwards the responses. It also follows the platform's
// store, keeps the VM's record there, and, on the VM that is the leader, sends the
// orders that place the model's layers.
//
// The package does I/O only. Decisions are made in internal/dispatch, internal/paths,
// internal/placement, internal/leader and internal/relay; the wire formats are defined
// in package platform.
package router
