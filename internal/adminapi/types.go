package adminapi

import (
	"context"
	"time"

	"github.com/catkinstair/catkinstair/internal/audit"
	"github.com/catkinstair/catkinstair/internal/config"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// Controller executes the operations of the API. Its methods may be called concurrently.
// Any error is returned to the client as status 503, that is, as temporary.
type Controller interface {
	// Config returns the configuration in force on this VM.
	Config(ctx context.Context) (config.Snapshot, error)
	// Apply validates a sheet and puts it in force, on behalf of operator.
	Apply(ctx context.Context, sheet config.Sheet, operator string) (config.Outcome, error)
	// ConfigStatus returns the configuration version of each VM.
	ConfigStatus(ctx context.Context) (ConfigStatus, error)
	// VMs lists the entry VMs and their membership states.
	VMs(ctx context.Context) ([]VM, error)
	// BackendServers lists the backend servers.
	BackendServers(ctx context.Context) ([]BackendServer, error)
	// Drain starts the planned stop of a VM, on behalf of operator.
	Drain(ctx context.Context, vm ident.VM, operator string) error
	// MarkGone declares VMs permanently stopped, on behalf of operator.
	MarkGone(ctx context.Context, vms []ident.VM, operator string) error
	// Orders lists the latest orders to engines, newest first.
	Orders(ctx context.Context) ([]Order, error)
	// Audit returns the latest audit records since a time, at most limit, oldest first.
	Audit(ctx context.Context, since time.Time, limit int) ([]audit.Record, error)
}

// SheetResponse is the response to sheet/check and sheet/diff.
type SheetResponse struct {
	// Version is the version that the sheet was compared with; zero for a check.
	Version uint64          `json:"version,omitempty"`
	Day     config.Day      `json:"day,omitempty"`
	Rows    int             `json:"rows"`
	Faults  []config.Fault  `json:"faults,omitempty"`
	Changes []config.Change `json:"changes,omitempty"`
}

// LimitsResponse lists the limits in force.
type LimitsResponse struct {
	Version uint64  `json:"version"`
	Limits  []Limit `json:"limits"`
}

// Limit is one limit in force.
type Limit struct {
	config.LimitKey
	config.Limit
}

// ConfigStatus lists the configuration version of each VM.
type ConfigStatus struct {
	// Newest is the highest version that any VM has reported.
	Newest uint64 `json:"newest"`
	// Day and Operator are those of the configuration on the VM that answers, which may
	// be older than Newest.
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

// VMVersion is the version that a VM last reported.
type VMVersion struct {
	VM      ident.VM `json:"vm"`
	Version uint64   `json:"version"`
	// AgeMS is the age of the report in milliseconds; negative if the VM has not reported
	// directly to the VM that answers.
	AgeMS int64 `json:"age_ms"`
}

// VM is one entry VM.
type VM struct {
	VM            ident.VM            `json:"vm"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Addr          string              `json:"addr"`
	// State is alive, leaving, suspect, unreachable or gone. It is lost for a VM that is
	// unknown to membership but still counts for the majority that assigns the slots.
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
	// An engine holds the layers [LayerFrom, LayerTo).
	LayerFrom int `json:"layer_from,omitempty"`
	LayerTo   int `json:"layer_to,omitempty"`
	// State is live or leaving.
	State string `json:"state"`
}

// Order is one order to an engine.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing token.
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

// GoneRequest names VMs that stopped permanently.
type GoneRequest struct {
	VMs []ident.VM `json:"vms"`
}

// Error is the body of every response with an error status.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody holds an error code and a message that names the problem and the expected
// input.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error codes.
const (
	CodeUnauthorized = "unauthorized"
	CodeNotFound     = "not-found"
	CodeBadRequest   = "bad-request"
	CodeUnavailable  = "unavailable"
)
