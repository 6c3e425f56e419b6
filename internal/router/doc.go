// Package router is the shell of the process that runs on each VM of the users'
// platform. It takes callers' requests, asks the core (internal/dispatch) where
// they go, and passes the answers on; beside that it follows the platform's store,
// shows the VM's presence there, and, on the one VM that holds the duty, gives the
// orders that place the model's layers.
//
// It holds no decision: those are internal/dispatch, internal/paths,
// internal/placement, internal/duty and internal/relay. What it says to the outside
// is spelled by the platform package.
package router
