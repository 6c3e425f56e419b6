// Package node assembles the deciding slices of one VM behind a small facade:
// events in, actions out, versions and counters readable.
//
// Entry is the core of a catkin-entry process: it decides which addresses a
// caller is given, admits requests, routes them, drives token streams and calls.
// Control is the core of a catkin-control process: membership, the spread of the
// configuration, who holds which slot, lending of limits.
//
// Both are plain state machines. Time is the process's own monotonic clock,
// counted from its start, and is handed in with every event; randomness comes
// from the seed in the configuration. The processes, the replay of traces, the
// property tests and the benchmarks all drive this same code, so a decision
// stands in one place. A facade is used from one goroutine.
//
// Events and actions are the slices' own message types, besides those declared
// here. EntryEvents lists every event that an Entry takes.
package node
