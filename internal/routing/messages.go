package routing

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Server is one backend server as the VM list describes it.
type Server struct {
	ID          ident.BackendServer `json:"id"`
	VM          ident.VM            `json:"vm"`
	Service     ident.Service       `json:"service"`
	Replica     string              `json:"replica"`
	Place       ident.Place         `json:"place"`
	Accelerator string              `json:"accelerator,omitempty"`
	// LayerFrom and LayerTo are the engine's layers [LayerFrom, LayerTo) out
	// of LayersTotal. All are 0 for an application.
	LayerFrom   int  `json:"layer_from,omitempty"`
	LayerTo     int  `json:"layer_to,omitempty"`
	LayersTotal int  `json:"layers_total,omitempty"`
	Leaving     bool `json:"leaving,omitempty"`
}

// Event is an input of the Router.
type Event interface{ isEvent() }

// Servers replaces the known backend servers. Lists lag behind Leaving events: within
// Config.ListLag, a list that doesn't show a server as leaving reverts its Leaving event only
// if an earlier list showed or omitted it.
type Servers struct {
	List []Server `json:"list"`
}

// Leaving reports that a backend server is leaving and must get no new work.
type Leaving struct {
	Server ident.BackendServer `json:"server"`
}

// Load is a load report of a backend server. The counts are requests.
type Load struct {
	Server   ident.BackendServer `json:"server"`
	Running  int                 `json:"running"`
	Waiting  int                 `json:"waiting"`
	Capacity int                 `json:"capacity"`
	// MeasuredAt is when the load was measured, in this process's time.
	MeasuredAt time.Duration `json:"measured_at_ns"`
}

// Link is the measured one-way time from this entry to a failure domain.
type Link struct {
	To     ident.FailureDomain `json:"to"`
	OneWay time.Duration       `json:"one_way_ns"`
}

// CacheEvent reports that a backend server's prefix cache gained or lost a prefix. Seq
// grows by one per event; a gap means that events were lost.
type CacheEvent struct {
	Server ident.BackendServer `json:"server"`
	Seq    uint64              `json:"seq"`
	Prefix uint64              `json:"prefix"`
	Added  bool                `json:"added"`
}

// Moved reports that a picked request moved from one backend server to another.
type Moved struct {
	ID   uint64              `json:"id"`
	From ident.BackendServer `json:"from"`
	To   ident.BackendServer `json:"to"`
}

// Done reports that a picked request has ended. FirstToken is the observed time to the
// first token, TokenTime that between two tokens; zero means not observed.
type Done struct {
	ID         uint64        `json:"id"`
	FirstToken time.Duration `json:"first_token_ns"`
	TokenTime  time.Duration `json:"token_time_ns"`
}

// Failed reports a failure of a backend server: it refused a connection, lost a reply or
// answered with a failure of its own.
type Failed struct {
	Server ident.BackendServer `json:"server"`
}

// Worked reports that a backend server answered.
type Worked struct {
	Server ident.BackendServer `json:"server"`
}

func (Servers) isEvent()    {}
func (Leaving) isEvent()    {}
func (Load) isEvent()       {}
func (Link) isEvent()       {}
func (CacheEvent) isEvent() {}
func (Moved) isEvent()      {}
func (Done) isEvent()       {}
func (Failed) isEvent()     {}
func (Worked) isEvent()     {}

// Action is an output of the Router.
type Action interface{ isAction() }

// Ejected reports that a backend server gets no new work until Until, in process time.
type Ejected struct {
	Server ident.BackendServer `json:"server"`
	Until  time.Duration       `json:"until_ns"`
}

// Watch lists the backend servers whose load and cache events the Router uses. The shell
// polls only these.
type Watch struct {
	Servers []ident.BackendServer `json:"servers"`
}

func (Ejected) isAction() {}
func (Watch) isAction()   {}

// Prefix identifies a prefix of a prompt by its hash and its length in tokens.
type Prefix struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

// Request describes a request for which Pick chooses backend servers.
type Request struct {
	Service      ident.Service `json:"service"`
	PromptTokens int           `json:"prompt_tokens"`
	// ExpectedTokens is the expected length of the answer; 0 means
	// Config.ExpectedTokens.
	ExpectedTokens int `json:"tokens"`
	// Prefixes lists prefixes of the prompt, the longest first.
	Prefixes []Prefix `json:"prefixes,omitempty"`
	// Exclude lists backend servers on which this request already failed.
	Exclude []ident.BackendServer `json:"exclude,omitempty"`
}

// Stage is one backend server of a pipeline with its layers [From, To).
type Stage struct {
	From   int                 `json:"from"`
	To     int                 `json:"to"`
	Server ident.BackendServer `json:"server"`
}

// Pipeline is the result of Pick: stages that cover [0, Layers) once and in order, or
// one application replica with Layers 0.
type Pipeline struct {
	// ID identifies the request in Moved and Done.
	ID     uint64  `json:"id"`
	Layers int     `json:"layers"`
	Stages []Stage `json:"stages"`
	// HintedTokens is the number of prompt tokens that the first stage probably
	// has cached.
	HintedTokens int `json:"hinted"`
}
