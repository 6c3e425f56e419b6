// Package node combines the state machines of one VM behind two facades, Entry and
// Control. A facade takes events, returns actions and reports its versions and counters.
//
// Entry is the core of a catkin-entry process: it selects the addresses that a
// caller gets, admits and routes requests, and drives token streams and calls.
// Control is the core of a catkin-control process: membership, distribution of the
// configuration, slot leases, lending of limits, backend server status and the audit
// trail.
//
// Both are pure state machines. Every event carries the process's monotonic time,
// counted from its start; random numbers come from the seed in the configuration.
// The processes, trace replay, property tests and benchmarks all run this code, so
// each decision is implemented once. A facade must be used from one goroutine.
//
// Events and actions are the message types of the combined packages, besides those
// declared here. EntryEvents and ControlEvents list the accepted events.
package node
