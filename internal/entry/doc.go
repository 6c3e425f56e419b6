// Package entry is the shell of a catkin-entry process: it passes events to the
// core (internal/node) and executes the actions that the core returns. All
// decisions are made in the core.
//
// Events reach the core through one bounded queue (process.Process.Send). These
// components run concurrently:
//
//   - the core's loop takes events from the queue, steps the core and executes its
//     actions;
//   - the callers' HTTP server turns requests into events and writes responses
//     from each request's mailbox;
//   - one step queue per engine sends steps in batches;
//   - the control link polls the control process for snapshots and reports
//     observations to it;
//   - the peer server handles requests of other entries: grants, forwarded calls and
//     clock readings;
//   - load polls read the load of the engines in use.
//
// Blocking work (calls to engines, applications, peers and the key-value service) runs
// on a bounded pool of goroutines. Work is never queued for the pool: if the pool is
// full, the core receives a failure event for every result that it waits for.
package entry
