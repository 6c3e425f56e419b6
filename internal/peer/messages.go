package peer

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// The methods. Snapshot and Report are called by an entry process at its own
// control process, Borrow by an entry process at the control process that holds
// the limit's slot, the rest by control processes among themselves.
const (
	MethodSnapshot = "Snapshot"
	MethodReport   = "Report"
	MethodBorrow   = "Borrow"
	MethodProbe    = "Probe"
	MethodSync     = "Sync"
	MethodLease    = "Lease"
	MethodConfig   = "Config"
)

// SnapshotRequest asks for what changed since the versions that the entry
// holds. The answer waits until something changes, or for Wait. A zero request
// is answered with everything at once.
type SnapshotRequest struct {
	Held SnapshotVersions `json:"held"`
	Wait time.Duration    `json:"wait_ns"`
}

// SnapshotVersions are the versions of a snapshot's sections. They count within
// one life of the control process: when Control differs, every section counts
// as changed.
type SnapshotVersions struct {
	// Control is the incarnation of the control process.
	Control  ident.Incarnation `json:"control"`
	Config   uint64            `json:"config"`
	Members  uint64            `json:"members"`
	Backends uint64            `json:"backends"`
	Roster   uint64            `json:"roster"`
}

// SnapshotReply carries the sections that changed; an absent one is as before.
type SnapshotReply struct {
	Versions SnapshotVersions `json:"versions"`
	Config   *AcceptedConfig  `json:"config,omitempty"`
	Members  *MembersSection  `json:"members,omitempty"`
	Backends *BackendsSection `json:"backends,omitempty"`
	Roster   *RosterSection   `json:"roster,omitempty"`
}

// AcceptedConfig is the configuration in force.
type AcceptedConfig struct {
	// Known is false while the control process holds no configuration yet, as
	// after a start during an outage. The entry then keeps what it holds; when
	// it holds nothing, it admits nothing.
	Known bool `json:"known"`
	// Version is the accepted version: the same on every VM.
	Version uint64          `json:"version"`
	Limits  []AcceptedLimit `json:"limits,omitempty"`
}

// AcceptedLimit is how much work a team may send to a service.
type AcceptedLimit struct {
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	// Unit is what the limit counts, as the sheet names it.
	Unit string `json:"unit"`
	// PerSecond is the accepted rate, in units a second.
	PerSecond float64 `json:"per_second"`
}

// MembersSection lists the entry VMs for the addresses answer.
type MembersSection struct {
	Self    ident.Instance `json:"self"`
	Members []EntryMember  `json:"members,omitempty"`
}

// EntryMember is one entry VM that is not gone.
type EntryMember struct {
	Instance ident.Instance `json:"instance"`
	Place    ident.Place    `json:"place"`
	// EntryAddr is where callers connect, ControlAddr where peers do.
	EntryAddr   string `json:"entry_addr"`
	ControlAddr string `json:"control_addr"`
	// EntryPeerAddr is where the entry processes of other VMs connect.
	EntryPeerAddr string `json:"entry_peer_addr"`
	// Serving is true for a member that may be named to callers: it is alive,
	// or unreachable from here without being gone, and it is not leaving.
	Serving bool `json:"serving"`
	// Reachable is false while probes get no answer.
	Reachable     bool   `json:"reachable"`
	Leaving       bool   `json:"leaving,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// BackendsSection lists the backend servers.
type BackendsSection struct {
	Servers []BackendServer `json:"servers,omitempty"`
}

// ServerKind tells engines from applications.
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
	// ChecksOrders says that the server refuses an old fencing number.
	ChecksOrders bool `json:"checks_orders,omitempty"`
	// AcceptsWork is false once any source has said that it is leaving.
	AcceptsWork bool `json:"accepts_work"`
}

// LeaseRosterEntry tells an entry where each slot of the limits is held.
type RosterSection struct {
	// Version is the roster's version: the same on every VM.
	Version uint64 `json:"version"`
	// Holders gives, by slot, the holder's control address; empty means none.
	Holders []SlotHolder `json:"holders,omitempty"`
}

// SlotHolder is who holds one slot.
type SlotHolder struct {
	Instance    ident.Instance `json:"instance"`
	ControlAddr string         `json:"control_addr"`
	// Epoch is the fencing number: the roster version of the last change of
	// holder.
	Epoch uint64 `json:"epoch"`
}

// ReportRequest carries what an entry process saw since its last report.
type ReportRequest struct {
	Instance     ident.Instance       `json:"instance"`
	Observations []BackendObservation `json:"observations,omitempty"`
	// Load is the entry's own load, for operators.
	Load EntryLoad `json:"load"`
	// Leaving says that the entry process has begun to leave.
	Leaving bool `json:"leaving,omitempty"`
}

// BackendObservation is what an entry saw of one backend server.
type BackendObservation struct {
	Server ident.BackendServer `json:"server"`
	// Leaving says that the server itself refused work because it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Unreachable says that a call over a new connection got no answer.
	Unreachable bool `json:"unreachable,omitempty"`
	// Answered says that the server took new work.
	Answered bool `json:"answered,omitempty"`
	// Demand is the entry's rate of work for the server, in requests a second.
	Demand float64 `json:"demand,omitempty"`
}

// EntryLoad is the load of an entry process.
type EntryLoad struct {
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	RequestsPerSecond float64 `json:"per_second"`
	RefusalsPerSecond float64 `json:"refusals_per_second"`
}

// ReportReply answers a report.
type ReportReply struct {
	// Drain tells the entry process to leave gracefully.
	Drain bool `json:"drain,omitempty"`
}
