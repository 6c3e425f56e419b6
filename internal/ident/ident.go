// Package ident names the things that every slice speaks of: VMs, failure
// domains, regions, teams, services and backend servers. The names are plain
// strings with a type of their own, so that one can't be passed for another.
package ident

import "strconv"

// VM names one virtual machine, for example "bergen-a-1".
type VM string

// FailureDomain names a set of VMs that can fail together, for example
// "bergen-a".
type FailureDomain string

// Region names a group of failure domains, for example "vestland".
type Region string

// Team names a caller's organisational unit; limits are accepted per team.
type Team string

// Service names a model ("skrivar") or a plain service ("ordrebok").
type Service string

// BackendServer names one engine stage or one application replica.
type BackendServer string

// Incarnation counts the lives of one VM. A replaced or restarted process has
// a higher incarnation than every earlier process of the same VM name.
type Incarnation uint64

// Instance is one life of one VM.
type Instance struct {
	VM          VM          `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// String renders the instance as "vm/incarnation".
func (i Instance) String() string {
	return string(i.VM) + "/" + strconv.FormatUint(uint64(i.Incarnation), 10)
}

// Place says where a VM stands.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failure_domain"`
}
