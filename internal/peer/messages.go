package peer

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// The methods of control processes. An entry process calls Snapshot and Report at its
// own control process, and Borrow at the control process that holds the limit's slot.
// Control processes call the others at each other.
const (
	MethodSnapshot = "Snapshot"
	MethodReport   = "Report"
	MethodBorrow   = "Borrow"
	MethodProbe    = "Probe"
	MethodSync     = "Sync"
	MethodLease    = "Lease"
	MethodConfig   = "Config"
)

// SnapshotRequest asks for the sections that changed since the versions in Held. The
// reply is delayed until a section changes, or for at most Wait. A zero request returns
// all sections immediately.
type SnapshotRequest struct {
	Held SnapshotVersions `json:"held"`
	Wait time.Duration    `json:"wait_ns"`
}

// SnapshotVersions holds the versions of a snapshot's sections. They are valid within
// one incarnation of the control process: if Control differs, every section counts as
// changed.
type SnapshotVersions struct {
	// Control is the incarnation of the control process.
	Control  ident.Incarnation `json:"control"`
	Config   uint64            `json:"config"`
	Members  uint64            `json:"members"`
	Backends uint64            `json:"backends"`
	Roster   uint64            `json:"roster"`
}

// SnapshotReply carries the sections that changed; a nil section is unchanged.
type SnapshotReply struct {
	Versions SnapshotVersions `json:"versions"`
	Config   *AcceptedConfig  `json:"config,omitempty"`
	Members  *MembersSection  `json:"members,omitempty"`
	Backends *BackendsSection `json:"backends,omitempty"`
	Roster   *RosterSection   `json:"roster,omitempty"`
}

// AcceptedConfig is the configuration in force.
type AcceptedConfig struct {
	// Known is false until the control process has a configuration, for example
	// after a start during an outage. The entry then keeps the configuration it
	// has; without one it admits no requests.
	Known bool `json:"known"`
	// Version is the accepted version; a version number means the same on every VM.
	Version uint64          `json:"version"`
	Limits  []AcceptedLimit `json:"limits,omitempty"`
}

// AcceptedLimit is how much work a team may send to a service.
type AcceptedLimit struct {
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	// Unit is what the limit counts, as written in the limit sheet.
	Unit string `json:"unit"`
	// PerSecond is the accepted rate, in units per second.
	PerSecond float64 `json:"per_second"`
}

// MembersSection lists the entry VMs, from which the addresses for callers are chosen.
type MembersSection struct {
	Self    ident.Instance `json:"self"`
	Members []EntryMember  `json:"members,omitempty"`
}

// EntryMember is one entry VM that has not been declared gone.
type EntryMember struct {
	Instance ident.Instance `json:"instance"`
	Place    ident.Place    `json:"place"`
	// EntryAddr is the address for callers, ControlAddr that of the control process.
	EntryAddr   string `json:"entry_addr"`
	ControlAddr string `json:"control_addr"`
	// EntryPeerAddr is the address for the entry processes of other VMs.
	EntryPeerAddr string `json:"entry_peer_addr"`
	// Serving is true if callers may receive the member's address: its entry process
	// is not known to be down and it is not leaving. It may be unreachable.
	Serving bool `json:"serving"`
	// Reachable is false while the member does not respond to probes.
	Reachable     bool   `json:"reachable"`
	Leaving       bool   `json:"leaving,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// BackendsSection lists the backend servers.
type BackendsSection struct {
	Servers []BackendServer `json:"servers,omitempty"`
}

// ServerKind distinguishes engines from applications.
type ServerKind string

// The kinds of backend servers.
const (
	KindEngine ServerKind = "engine"
	KindApp    ServerKind = "app"
)

// BackendServer is one engine stage or application replica.
type BackendServer struct {
	ID      ident.BackendServer `json:"id"`
	VM      ident.VM            `json:"vm"`
	Place   ident.Place         `json:"place"`
	Kind    ServerKind          `json:"kind"`
	Service ident.Service       `json:"service"`
	Addr    string              `json:"addr"`
	Replica string              `json:"replica,omitempty"`
	// The server holds the layers [LayerFrom, LayerTo) of LayersTotal.
	LayerFrom   int    `json:"layer_from,omitempty"`
	LayerTo     int    `json:"layer_to,omitempty"`
	LayersTotal int    `json:"layers_total,omitempty"`
	Accelerator string `json:"accelerator,omitempty"`
	// ChecksOrders is true if the server refuses orders with an old fencing token.
	ChecksOrders bool `json:"checks_orders,omitempty"`
	// AcceptsWork is false once any source has reported that the server is leaving.
	AcceptsWork bool `json:"accepts_work"`
}

// RosterSection lists the holder of each slot of the limits.
type RosterSection struct {
	// Version is the roster's version; a version number means the same on every VM.
	Version uint64 `json:"version"`
	// Holders is indexed by slot. An empty control address means that the slot has
	// no holder.
	Holders []SlotHolder `json:"holders,omitempty"`
}

// SlotHolder is the holder of one slot.
type SlotHolder struct {
	Instance    ident.Instance `json:"instance"`
	ControlAddr string         `json:"control_addr"`
	// Epoch is the slot's fencing token: the roster version in which its holder last
	// changed.
	Epoch uint64 `json:"epoch"`
}

// ReportRequest carries an entry process's observations since its last report.
type ReportRequest struct {
	Instance     ident.Instance       `json:"instance"`
	Observations []BackendObservation `json:"observations,omitempty"`
	// Load is the entry's own load, shown to operators.
	Load EntryLoad `json:"load"`
	// Leaving is true once the planned stop of the entry process has begun.
	Leaving bool `json:"leaving,omitempty"`
}

// BackendObservation is an entry's observation of one backend server.
type BackendObservation struct {
	Server ident.BackendServer `json:"server"`
	// Leaving is true if the server itself refused work because it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Unreachable is true if a call over a new connection got no response.
	Unreachable bool `json:"unreachable,omitempty"`
	// Answered is true if the server accepted new work.
	Answered bool `json:"answered,omitempty"`
	// Demand is the entry's rate of work for the server, in requests per second.
	Demand float64 `json:"demand,omitempty"`
}

// EntryLoad is the load of an entry process.
type EntryLoad struct {
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	RequestsPerSecond float64 `json:"per_second"`
	RefusalsPerSecond float64 `json:"refusals_per_second"`
}

// ReportReply is the reply to a report.
type ReportReply struct {
	// Drain requests the planned stop of the entry process.
	Drain bool `json:"drain,omitempty"`
}
