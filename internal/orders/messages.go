package orders

import (
	"github.com/catkinstair/catkinstair/internal/ident"
)

// Kind is what an order tells an engine to do.
type Kind string

// The kinds of orders.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
	Role   Kind = "role"
)

// Model is a version of a model or adapter.
type Model struct {
	Service ident.Service `json:"service"`
	Version string        `json:"version"`
}

// Order is one order to one engine.
type Order struct {
	ID string `json:"order_id"`
	// Fence is the epoch of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	Kind  Kind   `json:"kind"`
	Model Model  `json:"model"`
	// Role is set for an order of kind Role.
	Role string `json:"role,omitempty"`
}

// Engine is a backend server that takes orders.
type Engine struct {
	Server ident.BackendServer `json:"server"`
	Addr   string              `json:"addr"`
	// ChecksOrders says that it refuses orders with an old fencing number.
	ChecksOrders bool `json:"checks_orders"`
	// Role is the role that it should have; empty leaves it as it is.
	Role string `json:"role,omitempty"`
}

// ModelDemand is how much of a model is wanted.
type ModelDemand struct {
	Model Model `json:"model"`
	// Demand is the work wanted, in any unit that is the same for all models.
	Demand float64 `json:"demand"`
	// Bytes is the size of the weights that one engine loads.
	Bytes int64 `json:"bytes"`
}

// Outcome says what became of an order.
type Outcome string

// The outcomes of an order. After Unknown the engine is read back.
const (
	Applied Outcome = "applied"
	Fenced  Outcome = "fenced"
	Unknown Outcome = "unknown"
)

// Event is what a Core takes in.
type Event interface{ isEvent() }

// Action is what a Core gives out.
type Action interface{ isAction() }

// Tick says that time has passed. Hand one in every 100 ms.
type Tick struct{}

// Engines lists the engines that may take orders.
type Engines struct {
	Engines []Engine `json:"engines"`
}

// Demands lists what is wanted of all models.
type Demands struct {
	Demands []ModelDemand `json:"demands"`
}

// OrderAnswered is an engine's answer to an order, or Unknown.
type OrderAnswered struct {
	Server  ident.BackendServer `json:"server"`
	OrderID string              `json:"order_id"`
	Outcome Outcome             `json:"outcome"`
	// Fence is the highest number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// EngineRead is the answer to ReadEngine.
type EngineRead struct {
	Server ident.BackendServer `json:"server"`
	// Applied are the ids of the orders applied, the newest last.
	Applied []string `json:"applied"`
	// Loaded is the model that the engine has; zero for none.
	Loaded Model  `json:"loaded"`
	Role   string `json:"role,omitempty"`
}

// SendOrder asks the shell to call BeginSend and then, if it may, to send the
// order. It is answered by OrderAnswered.
type SendOrder struct {
	Engine Engine `json:"engine"`
	Order  Order  `json:"order"`
}

// ReadEngine asks the shell to read back an engine's orders and model.
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
