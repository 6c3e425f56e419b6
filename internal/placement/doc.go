// Package placement decides which layers of a model each backend server should hold.
// It starts from what the servers hold now and moves as few of them as possible: layers
// without a copy are loaded by idle servers, or by servers whose layers others hold as
// well. No server is moved only to make the layout more regular.
//
// In each failure domain servers get consecutive ranges, the fastest server first, until
// they hold every layer once (a model copy), then a second time, and so on while idle
// servers are left. The last, partial model copy is the reserve: requests can bypass a
// dead server of the same range at once, and the reserve's servers have little work, so
// they can be moved.
//
// Servers that serve the same streams fail together. The ranges of empty servers are chosen
// so that such a loss takes little (cover.go), and after it the missing layers load first
// (loads.go).
//
// A plan is only a target. The next plan starts again from what the servers report.
package placement
