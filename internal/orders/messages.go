package orders

import (
	"github.com/catkinstair/catkinstair/internal/ident"
)

// Kind is the operation that an order requests from an engine.
type Kind string

// The kinds of orders: load a model, unload a model, and change the role.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
	Role   Kind = "role"
)

// Model is one version of a model or adapter.
type Model struct {
	Service ident.Service `json:"service"`
	Version string        `json:"version"`
}

// Order is a placement order to one engine.
type Order struct {
	ID string `json:"order_id"`
	// FencingToken is the epoch of the lease under which the order is issued.
	FencingToken uint64 `json:"fence"`
	Kind         Kind   `json:"kind"`
	Model        Model  `json:"model"`
	// Role is set for an order of kind Role.
	Role string `json:"role,omitempty"`
}

// Engine is a backend server that accepts orders.
type Engine struct {
	Server ident.BackendServer `json:"server"`
	Addr   string              `json:"addr"`
	// ChecksOrders is set if the engine refuses orders with an old fencing token.
	ChecksOrders bool `json:"checks_orders"`
	// Role is the desired role; empty leaves the current role unchanged.
	Role string `json:"role,omitempty"`
}

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model Model `json:"model"`
	// Demand is the demanded work, in any unit that is the same for all models.
	Demand float64 `json:"demand"`
	// Bytes is the size of the weights that one engine loads.
	Bytes int64 `json:"bytes"`
}

// Outcome is the result of an order.
type Outcome string

// The outcomes of an order. Fenced means that the engine refused it because of its fencing
// token. After Unknown the engine's state is read back.
const (
	Applied Outcome = "applied"
	Fenced  Outcome = "fenced"
	Unknown Outcome = "unknown"
)

// Event is an input of a Core.
type Event interface{ isEvent() }

// Action is an output of a Core, to be executed by the shell.
type Action interface{ isAction() }

// Tick reports that time has passed; the shell sends one every 100 ms.
type Tick struct{}

// Engines lists the engines that accept orders.
type Engines struct {
	Engines []Engine `json:"engines"`
}

// Demands lists the demand for each model.
type Demands struct {
	Demands []ModelDemand `json:"demands"`
}

// OrderAnswered reports an engine's answer to an order, or Unknown if there was none.
type OrderAnswered struct {
	Server  ident.BackendServer `json:"server"`
	OrderID string              `json:"order_id"`
	Outcome Outcome             `json:"outcome"`
	// FencingToken is the highest token that the engine has seen, set if
	// Outcome is Fenced.
	FencingToken uint64 `json:"fence"`
}

// EngineRead is the answer to ReadEngine.
type EngineRead struct {
	Server ident.BackendServer `json:"server"`
	// Applied holds the ids of the applied orders, newest last.
	Applied []string `json:"applied"`
	// Loaded is the model that the engine has loaded; zero means none.
	Loaded Model  `json:"loaded"`
	Role   string `json:"role,omitempty"`
}

// SendOrder tells the shell to call BeginSend and, if that returns true, to send the order.
// OrderAnswered follows if the order was sent.
type SendOrder struct {
	Engine Engine `json:"engine"`
	Order  Order  `json:"order"`
}

// ReadEngine tells the shell to read an engine's applied orders and loaded model.
// EngineRead follows.
type ReadEngine struct {
	Engine Engine `json:"engine"`
}

func (Tick) isEvent()          {}
func (Engines) isEvent()       {}
func (Demands) isEvent()       {}
func (OrderAnswered) isEvent() {}
func (EngineRead) isEvent()    {}

func (SendOrder) isAction()  {}
func (ReadEngine) isAction() {}
