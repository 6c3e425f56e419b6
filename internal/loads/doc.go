// Package loads exchanges loads between the VMs, so that each VM can estimate how much work
// all VMs have on each backend server, and passes on which servers one of them found dead,
// failing or slow.
//
// Engines report their load late and requests for reports are charged, so the VMs
// exchange their own work. In each failure domain the VM with the smallest name is the
// aggregator: members send it their work, and it sends the domain's sum to the other
// aggregators and the sum of all domains to its members. A member therefore sends and
// receives a few messages per interval at any fleet size; an aggregator receives one from
// each member of its domain. A lost or late message only makes the estimate older.
//
// Without a recent total, each other VM of the domain is assumed to have the same work as
// this VM. With one, its work is assumed to change after the total as this VM's does.
//
// Core is a pure state machine. Messages may be lost, duplicated or reordered.
package loads
