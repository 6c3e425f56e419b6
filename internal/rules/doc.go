// Package rules checks the invariants of a core from the outside. A checker observes
// every event and action of one process, live or from a trace, and has no access to the
// core's state. It implements the invariants independently of the core, so that a fault
// in the core is not repeated in its check.
package rules
