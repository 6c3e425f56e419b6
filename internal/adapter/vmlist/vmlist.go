// Package vmlist is the adapter to the platform's list of live and leaving VMs and the
// backend servers on them. The list lags behind the actual state.
package vmlist

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// State tells whether a VM may receive new work.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Kind is the kind of a backend server.
type Kind string

// The kinds of backend servers.
const (
	// Engine holds a range of a model's layers.
	Engine Kind = "engine"
	// App is one replica of a plain service.
	App Kind = "app"
)

// Server is one backend server.
type Server struct {
	ID      ident.BackendServer `json:"id"`
	Kind    Kind                `json:"kind"`
	Service ident.Service       `json:"service"`
	// Addr is "ip:port".
	Addr string `json:"addr"`
	// Replica is the same for all stages of one pipeline. For an application it is the
	// name of the replica.
	Replica string `json:"replica"`
	// An engine holds the layers [LayerFrom, LayerTo).
	LayerFrom int `json:"layer_from,omitempty"`
	LayerTo   int `json:"layer_to,omitempty"`
	// LayersTotal is the number of layers of the model.
	LayersTotal int    `json:"layers_total,omitempty"`
	Accelerator string `json:"accelerator,omitempty"`
	// ChecksOrders is true if the server refuses orders with an old fencing token.
	ChecksOrders bool `json:"checks_orders,omitempty"`
}

// VM is one VM with its backend servers.
type VM struct {
	VM            ident.VM            `json:"vm"`
	Region        ident.Region        `json:"region"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	State         State               `json:"state"`
	Servers       []Server            `json:"servers,omitempty"`
}

// Client reads the VM list.
type Client interface {
	// List reads the list. It returns the complete list or an error, never a part.
	List(timeout time.Duration) ([]VM, error)
}

// HTTP implements Client over HTTP and JSON. It is safe for concurrent use.
type HTTP struct {
	addr  string
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client for the list at addr ("ip:port").
func NewHTTP(addr string, calls *httpcall.Client) *HTTP {
	return &HTTP{addr: addr, calls: calls}
}

// Listing is the response body of the list.
type Listing struct {
	VMs []VM `json:"vms"`
}

// List implements Client.
func (h *HTTP) List(timeout time.Duration) ([]VM, error) {
	var out Listing
	err := h.calls.JSON(h.addr, "GET", "/v1/vms", nil, &out, httpcall.Within(timeout))
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	return out.VMs, nil
}
