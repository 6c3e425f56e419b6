// Package control implements the shell of a catkin-control process: it passes events to
// the core (internal/node) and executes the core's actions. The core makes all decisions
// about the fleet.
//
// The shell runs the core's loop, the peer server and the administration server, and
// polls the platform's VM list. Calls to peers and to the key-value service run on a
// bounded pool of goroutines.
package control
