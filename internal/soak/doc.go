// Package soak is a randomized test of real catkin-router processes against the stand-ins
// of the platform. Processes are stopped, paused, killed and restarted; connections are
// delayed, reset, silenced and blocked in one direction; and the store refuses calls,
// loses replies and compacts its history. Faults occur one after the other and
// overlapping. Callers reuse their connections and check every response. See
// docs/operators/soak.md.
//
// The package contains test code only.
package soak
