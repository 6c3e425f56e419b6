package standin

import (
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/vmlist"
)

// Cluster is a running Topology.
type Cluster struct {
	topology Topology
	control  *endpoint
	kv       *kvServer
	vmList   *endpoint
	weights  *weightStore
	engines  []*engineServer
	apps     []*appServer

	mu  sync.Mutex
	vms []vmlist.VM
	// dead holds the IDs of the servers that are down because of a Die fault.
	dead      map[string]bool
	vmHistory history[[]vmlist.VM]
	listLag   time.Duration
}

// Start starts every stand-in of a topology. After an error nothing is left running.
func Start(t Topology) (*Cluster, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	c := &Cluster{
		topology: t,
		dead:     map[string]bool{},
		listLag:  time.Duration(t.ListLagMillis) * time.Millisecond,
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := c.startServers(); err != nil {
		return err
	}
	c.recordVMList()
	c.kv = newKVServer(c.topology.KVReadsPerSecond, c.topology.KVWritesPerSecond)
	c.vmList = newEndpoint("vms", c.serveVMList)
	c.weights = newWeightStore(c.topology.WeightBytesPerSecond)
	c.control = newEndpoint("control", c.serveControl)
	c.control.serveFaults = c.serveFaults
	starts := []struct {
		addr  string
		start func(string) error
	}{
		{c.topology.KV, c.kv.start},
		{c.topology.VMs, c.vmList.start},
		{c.topology.Weights, c.weights.start},
		{c.topology.Control, c.control.start},
	}
	for _, s := range starts {
		if s.addr == "" {
			continue
		}
		if err := s.start(s.addr); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startServers() error {
	for _, p := range c.topology.expand() {
		e, err := c.startServer(p)
		if err != nil {
			return err
		}
		p.server.Addr = e.Addr()
		p.vm.Servers = []vmlist.Server{p.server}
		c.vms = append(c.vms, p.vm)
	}
	return nil
}

func (c *Cluster) startServer(p plannedServer) (*endpoint, error) {
	var e *endpoint
	if p.server.Kind == vmlist.Engine {
		s := newEngineServer(p.stage)
		c.engines = append(c.engines, s)
		e = s.endpoint
	} else {
		s := newAppServer(p.app)
		c.apps = append(c.apps, s)
		e = s.endpoint
	}
	applyToServer := e.onFault
	e.onFault = func(f Fault) {
		applyToServer(f)
		c.updateVMList(e.name, f)
	}
	return e, e.start(p.server.Addr)
}

// updateVMList applies a Die or Leave fault of a server to the VM list.
func (c *Cluster) updateVMList(server string, f Fault) {
	if f.Kind != Die && f.Kind != Leave {
		return
	}
	c.mu.Lock()
	for i, vm := range c.vms {
		if string(vm.Servers[0].ID) != server {
			continue
		}
		if f.Kind == Die {
			c.dead[server] = !f.Off
			continue
		}
		c.vms[i].State = vmlist.Leaving
		if f.Off {
			c.vms[i].State = vmlist.Live
		}
	}
	c.mu.Unlock()
	c.recordVMList()
}

func (c *Cluster) recordVMList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	vms := make([]vmlist.VM, 0, len(c.vms))
	for _, vm := range c.vms {
		if !c.dead[string(vm.Servers[0].ID)] {
			vms = append(vms, vm)
		}
	}
	c.vmHistory.record(time.Now(), vms)
}

func (c *Cluster) serveVMList(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/v1/vms" {
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	lag := c.listLag
	if f, ok := c.vmList.faults.lookup(Lag); ok {
		lag = f.delay()
	}
	vms, _ := c.vmHistory.get(time.Now(), lag)
	writeJSON(ctx, vmlist.Listing{VMs: vms})
}

// Addresses holds the listen addresses of a cluster's services; a service that
// the topology leaves out has an empty address.
type Addresses struct {
	KV      string `json:"kv"`
	VMs     string `json:"vms"`
	Weights string `json:"weights"`
	Control string `json:"control"`
}

// Addresses returns the addresses in use.
func (c *Cluster) Addresses() Addresses {
	return Addresses{
		KV:      c.kv.Addr(),
		VMs:     c.vmList.Addr(),
		Weights: c.weights.Addr(),
		Control: c.control.Addr(),
	}
}

// Servers returns every server with its listen address, including dead ones and
// without the lag of the VM list.
func (c *Cluster) Servers() []vmlist.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []vmlist.Server
	for _, vm := range c.vms {
		out = append(out, vm.Servers...)
	}
	return out
}

// SetFault switches a fault on or off at its target.
func (c *Cluster) SetFault(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	targets := c.targets(f.Target)
	if len(targets) == 0 {
		return errors.Newf("fault target %q is unknown", f.Target)
	}
	for _, e := range targets {
		if err := e.apply(f); err != nil {
			return err
		}
	}
	return nil
}

// targets returns the endpoints that a target selects: a server ID, a VM,
// "kv", "vms", "weights", a service with "/*", or "*" for all engines and
// applications.
func (c *Cluster) targets(target string) []*endpoint {
	var out []*endpoint
	for _, e := range c.serverEndpoints() {
		if target == "*" || target == e.name || target == "vm-"+e.name || matchesService(e.name, target) {
			out = append(out, e)
		}
	}
	for _, e := range []*endpoint{c.kv.endpoint, c.vmList, c.weights.endpoint} {
		if target == e.name {
			out = append(out, e)
		}
	}
	return out
}

// matchesService reports whether target selects the server's service, as
// "skrivar/*" does for "skrivar-01-s1".
func matchesService(server, target string) bool {
	n := len(target)
	return n > 2 && target[n-2:] == "/*" && len(server) > n-2 && server[:n-1] == target[:n-2]+"-"
}

func (c *Cluster) serverEndpoints() []*endpoint {
	var out []*endpoint
	for _, s := range c.engines {
		out = append(out, s.endpoint)
	}
	for _, s := range c.apps {
		out = append(out, s.endpoint)
	}
	return out
}

// Ledger counts the work that the stand-ins have executed. Restarts do not reset it.
type Ledger struct {
	// Calls counts the executed application calls, by key and body.
	Calls []LedgerEntry `json:"entries"`
	// Prefills counts the prefills of each prompt, by PromptHash.
	Prefills map[string]int `json:"prefills"`
	// Steps is the number of steps executed by all engines.
	Steps int64 `json:"steps"`
}

// Ledger sums the ledgers of all engines and applications.
func (c *Cluster) Ledger() Ledger {
	out := Ledger{Calls: []LedgerEntry{}, Prefills: map[string]int{}}
	for _, s := range c.engines {
		prefills, steps := s.stage.ledger()
		out.Steps += steps
		for hash, n := range prefills {
			out.Prefills[hash] += n
		}
	}
	counts := map[LedgerEntry]int{}
	for _, s := range c.apps {
		for _, e := range s.ledgerEntries() {
			n := e.Count
			e.Count = 0
			counts[e] += n
		}
	}
	for e, n := range counts {
		e.Count = n
		out.Calls = append(out.Calls, e)
	}
	sort.Slice(out.Calls, func(i, j int) bool {
		a, b := out.Calls[i], out.Calls[j]
		return a.Key < b.Key || a.Key == b.Key && a.BodyHash < b.BodyHash
	})
	return out
}

// FaultList lists the active faults with their targets.
type FaultList struct {
	Faults []Fault `json:"faults"`
}

// serveControl serves the ledger, the addresses and the servers.
func (c *Cluster) serveControl(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ledger":
		writeJSON(ctx, c.Ledger())
	case "/addresses":
		writeJSON(ctx, c.Addresses())
	case "/servers":
		writeJSON(ctx, c.Servers())
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

// serveFaults lists the active faults or applies a posted fault to its target.
func (c *Cluster) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		writeJSON(ctx, c.activeFaults())
		return
	}
	applyPostedFault(ctx, c.SetFault)
}

func (c *Cluster) activeFaults() FaultList {
	out := FaultList{Faults: []Fault{}}
	all := append(c.serverEndpoints(), c.kv.endpoint, c.vmList, c.weights.endpoint)
	for _, e := range all {
		for _, f := range e.faults.list() {
			f.Target = e.name
			out.Faults = append(out.Faults, f)
		}
	}
	return out
}

// Close stops every stand-in.
func (c *Cluster) Close() {
	var wg sync.WaitGroup
	all := c.serverEndpoints()
	for _, e := range []*endpoint{c.control, c.vmList} {
		if e != nil {
			all = append(all, e)
		}
	}
	if c.kv != nil {
		all = append(all, c.kv.endpoint)
	}
	if c.weights != nil {
		all = append(all, c.weights.endpoint)
	}
	for _, e := range all {
		wg.Go(e.stop)
	}
	wg.Wait()
}

// RegisterMetrics registers a gauge of the number of running servers.
func (c *Cluster) RegisterMetrics() {
	metrics.GetOrCreateGauge("catkin_standin_servers_alive", func() float64 {
		alive := 0
		for _, e := range c.serverEndpoints() {
			if e.alive() {
				alive++
			}
		}
		return float64(alive)
	})
}
