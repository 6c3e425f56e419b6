// Package placement decides which layers of a model each backend server should hold.
// It starts from what the servers hold now and orders as few moves as possible: gaps
// are filled from idle servers, or from servers whose layers others hold as well. No
// server is moved merely to tidy up the layout.
//
// In each failure domain servers are given consecutive ranges, the fastest first,
// until the whole model is covered once (a model copy), then a second time, and so on
// while servers are left. The last, partial model copy is the reserve: requests can
// bypass a dead server of the same range at once, and its servers are idle enough to
// be moved.
//
// A plan is only a target. Each plan starts again from what the servers report.
package placement
