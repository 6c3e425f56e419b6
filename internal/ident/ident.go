// Package ident defines the identifiers shared by all packages: VMs, failure domains,
// regions, teams, services and backend servers. Each is a string with its own type, so
// that the compiler rejects one used in place of another.
package ident

import "strconv"

// VM is the name of a virtual machine, for example "bergen-a-1".
type VM string

// FailureDomain is the name of a set of VMs that can fail together, for example
// "bergen-a".
type FailureDomain string

// Region is the name of a group of failure domains, for example "vestland".
type Region string

// Team is the name of a caller's organizational unit. Limits apply per team.
type Team string

// Service is the name of a model ("skrivar") or of an application service ("ordrebok").
type Service string

// BackendServer is the name of one engine stage or one application replica.
type BackendServer string

// Incarnation numbers the successive processes of one VM. A replaced or restarted process
// has a higher incarnation than every earlier process with the same VM name.
type Incarnation uint64

// Instance is one incarnation of one VM.
type Instance struct {
	VM          VM          `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// String formats the instance as "vm/incarnation".
func (i Instance) String() string {
	return string(i.VM) + "/" + strconv.FormatUint(uint64(i.Incarnation), 10)
}

// Place is the location of a VM.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failure_domain"`
}
