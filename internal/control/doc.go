// Package control is the shell of a catkin-control process: it carries events to
// the core (internal/node) and does what the core's actions ask. It holds no
// decision of its own.
//
// Its duties are the core's loop, the peer server, the administration server,
// and the polls of the platform's VM list. Calls to peers and to the key-value
// service run on a bounded pool of goroutines.
package control
