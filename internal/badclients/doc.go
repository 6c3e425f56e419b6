// Package badclients tests that a catkin-router process bears clients that do not behave, and
// backend servers whose responses do not end: it lives, stays within the memory and the descriptors of its VM, and still answers ordinary
// requests. The tests start real processes with lowered limits on loopback addresses, one at a
// time; `make test` runs the package by itself.
//
// The package contains test code only.
package badclients
