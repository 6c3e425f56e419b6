// Package entry is the shell of a catkin-entry process: it carries events to the
// core (internal/node) and does what the core's actions ask. It holds no
// decision of its own.
//
// Each duty has its goroutine, joined to the others by bounded rings:
//
//   - the core's loop takes events from one ring, steps the core and hands out
//     its actions;
//   - the callers' HTTP server turns requests into events and answers from a
//     request's mailbox;
//   - a lane per engine sends steps in batches;
//   - the control link polls the snapshot, and reports what was observed;
//   - the peer server answers other entries: grants, forwarded calls, clocks;
//   - load polls read the reports of the engines in use.
//
// Blocking work (calls to engines, applications, peers and the key-value
// service) runs on a bounded pool of goroutines. A full pool or ring is a
// failure event for the core, never a wait without end.
package entry
