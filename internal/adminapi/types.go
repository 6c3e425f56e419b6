package adminapi

import (
	"context"
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// Backend is what the API administers. Its methods may be called at once from
// several goroutines. An error means that the answer can't be had now.
type Controller interface {
	// Config is the version in force on this VM.
	Config(ctx context.Context) (config.Snapshot, error)
	// Apply takes a sheet through acceptance, in the name of operator.
	Apply(ctx context.Context, sheet config.Sheet, operator string) (config.Outcome, error)
	// ConfigStatus tells which VM has which version.
	ConfigStatus(ctx context.Context) (ConfigStatus, error)
	// VMs lists the entry VMs as membership sees them.
	VMs(ctx context.Context) ([]VM, error)
	// Backends lists the backend servers.
	BackendServers(ctx context.Context) ([]BackendServer, error)
	// Drain begins the planned stop of a VM, in the name of operator.
	Drain(ctx context.Context, vm ident.VM, operator string) error
	// Gone tells that VMs ended for good, in the name of operator.
	MarkGone(ctx context.Context, vms []ident.VM, operator string) error
	// Orders lists the last orders given to engines, newest first.
	Orders(ctx context.Context) ([]Order, error)
	// Audit lists up to limit records since a time, oldest first.
	Audit(ctx context.Context, since time.Time, limit int) ([]audit.Record, error)
}

// SheetAnswer is the answer to a check or a diff.
type SheetResponse struct {
	// Version is the one that the sheet was compared with; zero for a check.
	Version uint64          `json:"version,omitempty"`
	Day     config.Day      `json:"day,omitempty"`
	Rows    int             `json:"rows"`
	Faults  []config.Fault  `json:"faults,omitempty"`
	Changes []config.Change `json:"changes,omitempty"`
}

// LimitsAnswer lists limits in force.
type LimitsResponse struct {
	Version uint64  `json:"version"`
	Limits  []Limit `json:"limits"`
}

// Limit is one limit in force.
type Limit struct {
	config.LimitKey
	config.Limit
}

// ConfigStatus tells which VM has which version.
type ConfigStatus struct {
	// Newest is the highest version that anybody has told of.
	Newest   uint64      `json:"newest"`
	Day      config.Day  `json:"day"`
	Operator string      `json:"operator"`
	VMs      []VMVersion `json:"vms"`
}

// Lagging counts the VMs below the newest version.
func (s ConfigStatus) Lagging() int {
	lagging := 0
	for _, vm := range s.VMs {
		if vm.Version < s.Newest {
			lagging++
		}
	}
	return lagging
}

// VMVersion is the version that a VM last told of.
type VMVersion struct {
	VM      ident.VM `json:"vm"`
	Version uint64   `json:"version"`
	// AgeMS is how long ago it told so, in milliseconds; negative where it never
	// did.
	AgeMS int64 `json:"age_ms"`
}

// VM is one entry VM.
type VM struct {
	VM            ident.VM            `json:"vm"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Addr          string              `json:"addr"`
	// State is alive, leaving, suspect, unreachable or gone; lost for a VM that
	// nobody knows though it has a say in who holds the slots.
	State string `json:"state"`
}

// BackendServer is one engine stage or application replica.
type BackendServer struct {
	ID            ident.BackendServer `json:"id"`
	Kind          string              `json:"kind"`
	Service       ident.Service       `json:"service"`
	Addr          string              `json:"addr"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Replica       string              `json:"replica,omitempty"`
	LayerFrom     int                 `json:"layer_from,omitempty"`
	LayerTo       int                 `json:"layer_to,omitempty"`
	State         string              `json:"state"`
}

// Order is one order to an engine.
type Order struct {
	ID      string              `json:"id"`
	Fence   uint64              `json:"fence"`
	Server  ident.BackendServer `json:"server"`
	Kind    string              `json:"kind"`
	Service ident.Service       `json:"service"`
	Version string              `json:"version,omitempty"`
	Role    string              `json:"role,omitempty"`
	State   string              `json:"state"`
}

// DrainRequest names the VM to stop.
type DrainRequest struct {
	VM ident.VM `json:"vm"`
}

// GoneRequest names VMs that ended for good.
type GoneRequest struct {
	VMs []ident.VM `json:"vms"`
}

// Error is the body of every answer that is not a success.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody says what was wrong and what would be right.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// The codes of errors.
const (
	CodeUnauthorized = "unauthorized"
	CodeNotFound     = "not-found"
	CodeBadRequest   = "bad-request"
	CodeUnavailable  = "unavailable"
)
