package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/standin/model"
)

// Topology describes the stand-ins of one process. A service with an empty
// address is left out; port 0 selects a free port.
type Topology struct {
	KV      string `json:"kv,omitempty"`
	VMs     string `json:"vms,omitempty"`
	Weights string `json:"weights,omitempty"`
	// Control is the address that accepts faults for any target.
	Control string `json:"control"`
	// KVReadsPerSecond and KVWritesPerSecond limit the key-value service; 0 is no
	// limit.
	KVReadsPerSecond  float64 `json:"kv_reads_per_s,omitempty"`
	KVWritesPerSecond float64 `json:"kv_writes_per_s,omitempty"`
	// WeightBytesPerSecond limits the weight store; 0 is no limit.
	WeightBytesPerSecond float64 `json:"weight_bytes_per_s,omitempty"`
	// ListLagMillis is the lag of the served VM list, in milliseconds.
	ListLagMillis  int64        `json:"list_lag_ms,omitempty"`
	Region         ident.Region `json:"region"`
	FailureDomains []string     `json:"failure_domains"`
	Models         []ModelSpec  `json:"models,omitempty"`
	Apps           []AppSpec    `json:"apps,omitempty"`
}

// ModelSpec describes the pipelines of one model. Replica i is in failure domain
// i mod n of n, with each stage on its own VM.
type ModelSpec struct {
	Service  ident.Service `json:"service"`
	Replicas int           `json:"replicas"`
	// StageEnds are the exclusive ends of the stages' layer ranges; the last is
	// the model's number of layers.
	StageEnds []int  `json:"stage_ends"`
	IP        string `json:"ip"`
	// FirstPort is the port of the first stage; the others follow it. 0 selects
	// free ports.
	FirstPort int `json:"first_port"`
	// Accelerators are assigned to the replicas in turn.
	Accelerators []AcceleratorSpec `json:"accelerators"`
	// The fields below are those of StageConfig.
	Capacity     int  `json:"capacity"`
	MaxWaiting   int  `json:"max_waiting"`
	MaxStreams   int  `json:"max_streams"`
	PrefixBlocks int  `json:"prefix_blocks"`
	ChecksOrders bool `json:"checks_orders"`
}

// AcceleratorSpec describes an accelerator type and its speed.
type AcceleratorSpec struct {
	Name string `json:"name"`
	// StepMicros is the duration of one batch of steps at one stage, in microseconds.
	StepMicros int64 `json:"step_us"`
	// PrefillMicros is the prefill time of one prompt token at one stage, in
	// microseconds.
	PrefillMicros int64 `json:"prefill_us"`
}

// AppSpec describes the replicas of one application.
type AppSpec struct {
	Service  ident.Service `json:"service"`
	Replicas int           `json:"replicas"`
	IP       string        `json:"ip"`
	// FirstPort is the port of the first replica; the others follow it. 0 selects
	// free ports.
	FirstPort int `json:"first_port"`
	// CallMicros is the duration of one call, in microseconds.
	CallMicros int64 `json:"call_us"`
	// Capacity is the maximum number of concurrent calls of a replica.
	Capacity int `json:"capacity"`
}

// ReadTopology reads a topology from a JSON file. Unknown fields are an error.
func ReadTopology(path string) (Topology, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Topology{}, errors.Wrap(err, "topology")
	}
	var t Topology
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return Topology{}, errors.Wrapf(err, "topology %s", path)
	}
	return t, errors.Wrapf(t.Validate(), "topology %s", path)
}

// Validate returns an error for the first invalid field of the topology.
func (t Topology) Validate() error {
	if t.Control == "" {
		return errors.New("control must not be empty: set an address")
	}
	if len(t.FailureDomains) == 0 {
		return errors.New("failure_domains must not be empty: list at least one")
	}
	for _, m := range t.Models {
		if err := m.validate(); err != nil {
			return errors.Wrapf(err, "model %s", m.Service)
		}
	}
	for _, a := range t.Apps {
		if a.Replicas < 1 || a.Capacity < 1 || net.ParseIP(a.IP) == nil {
			return errors.Newf("app %s: ip must be an IP address, replicas and capacity must be at least 1", a.Service)
		}
	}
	return nil
}

func (m ModelSpec) validate() error {
	if m.Replicas < 1 || m.Capacity < 1 || m.MaxWaiting < 1 || m.MaxStreams < 1 {
		return errors.New("replicas, capacity, max_waiting and max_streams must be at least 1")
	}
	if net.ParseIP(m.IP) == nil {
		return errors.Newf("ip is %q, must be an IP address", m.IP)
	}
	if len(m.StageEnds) == 0 || len(m.Accelerators) == 0 {
		return errors.New("stage_ends and accelerators must not be empty")
	}
	from := 0
	for _, to := range m.StageEnds {
		if to <= from {
			return errors.Newf("stage_ends is %v, must be positive and strictly increasing", m.StageEnds)
		}
		from = to
	}
	return nil
}

// layers returns the model's number of layers.
func (m ModelSpec) layers() int {
	return m.StageEnds[len(m.StageEnds)-1]
}

// plannedServer is one server of the topology that has not been started yet. Engines
// use stage, applications app.
type plannedServer struct {
	vm     vmlist.VM
	server vmlist.Server
	stage  StageConfig
	app    AppConfig
}

// expand lists every server of the topology, each on its own VM.
func (t Topology) expand() []plannedServer {
	var out []plannedServer
	for _, m := range t.Models {
		for replica := range m.Replicas {
			for stage := range m.StageEnds {
				out = append(out, t.expandStage(m, replica, stage))
			}
		}
	}
	for _, a := range t.Apps {
		for replica := range a.Replicas {
			out = append(out, t.expandApp(a, replica))
		}
	}
	return out
}

func (t Topology) expandStage(m ModelSpec, replica, stage int) plannedServer {
	from := 0
	if stage > 0 {
		from = m.StageEnds[stage-1]
	}
	to := m.StageEnds[stage]
	accelerator := m.Accelerators[replica%len(m.Accelerators)]
	name := fmt.Sprintf("%s-%02d", m.Service, replica+1)
	id := fmt.Sprintf("%s-s%d", name, stage+1)
	return plannedServer{
		vm: t.vm(id, replica),
		server: vmlist.Server{
			ID: ident.BackendServer(id), Kind: vmlist.Engine, Service: m.Service,
			Addr:    listenAddr(m.IP, m.FirstPort, replica*len(m.StageEnds)+stage),
			Replica: name, LayerFrom: from, LayerTo: to, LayersTotal: m.layers(),
			Accelerator: accelerator.Name, ChecksOrders: m.ChecksOrders,
		},
		stage: StageConfig{
			ID:           id,
			Layers:       model.Range{From: from, To: to, Total: m.layers()},
			StepTime:     time.Duration(accelerator.StepMicros) * time.Microsecond,
			PrefillTime:  time.Duration(accelerator.PrefillMicros) * time.Microsecond,
			Capacity:     m.Capacity,
			MaxWaiting:   m.MaxWaiting,
			MaxStreams:   m.MaxStreams,
			PrefixBlocks: m.PrefixBlocks,
			ChecksOrders: m.ChecksOrders,
		},
	}
}

func (t Topology) expandApp(a AppSpec, replica int) plannedServer {
	id := fmt.Sprintf("%s-%d", a.Service, replica+1)
	return plannedServer{
		vm: t.vm(id, replica),
		server: vmlist.Server{
			ID: ident.BackendServer(id), Kind: vmlist.App, Service: a.Service,
			Addr: listenAddr(a.IP, a.FirstPort, replica), Replica: id,
		},
		app: AppConfig{
			ID:       id,
			CallTime: time.Duration(a.CallMicros) * time.Microsecond,
			Capacity: a.Capacity,
		},
	}
}

func (t Topology) vm(serverID string, replica int) vmlist.VM {
	domain := t.FailureDomains[replica%len(t.FailureDomains)]
	return vmlist.VM{
		VM:            ident.VM("vm-" + serverID),
		Region:        t.Region,
		FailureDomain: ident.FailureDomain(domain),
		State:         vmlist.Live,
	}
}

func listenAddr(ip string, firstPort, offset int) string {
	if firstPort == 0 {
		return net.JoinHostPort(ip, "0")
	}
	return net.JoinHostPort(ip, strconv.Itoa(firstPort+offset))
}
