// Package entry is the shell of a catkin-entry process: it passes events to the
// core (internal/node) and executes the actions that the core returns. All
// decisions are made in the core.
//
// These goroutines run concurrently and communicate over bounded queues:
//
//   - the core's loop takes events from one queue, steps the core and executes
//     its actions;
//   - the callers' HTTP server turns requests into events and writes responses
//     from each request's mailbox;
//   - one step queue per engine sends steps in batches;
//   - the control link polls the control process for snapshots and reports
//     observations to it;
//   - the peer server answers other entries: grants, forwarded calls, clocks;
//   - load polls read the load of the engines in use.
//
// Blocking work (calls to engines, applications, peers and the key-value
// service) runs on a bounded pool of goroutines. Work does not wait for a free
// goroutine: if the pool is full, the core receives a failure event where it awaits a
// result.
package entry
