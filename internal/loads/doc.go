// Package loads exchanges loads between the VMs: each VM learns how much work all VMs have
// on each backend server, and which servers one of them found dead, failing or slow.
//
// Engines report their load late and requests for reports are charged, so the VMs
// exchange their own work. In each failure domain the VM with the smallest name is the
// aggregator: members send it their work, and it sends the domain's sum to the other
// aggregators and the sum of all domains to its members. A member therefore sends and
// receives a few messages per interval at any fleet size; an aggregator receives one from
// each member of its domain. A lost or late message only makes the estimate older. Without
// a recent total, the other VMs of the domain are assumed to have the same work as this VM;
// between two totals, to change their work as this VM does.
//
// Core is a pure state machine. Messages may be lost, duplicated or reordered.
package loads
