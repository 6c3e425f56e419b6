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
	list     *endpoint
	weights  *weightStore
	engines  []*engineServer
	apps     []*appServer

	mu  sync.Mutex
	vms []vmlist.VM
	// gone are the servers that are dead, by id.
	gone    map[string]bool
	past    lagged[[]vmlist.VM]
	listLag time.Duration
}

// Start brings up a topology. On an error nothing is left running.
func Start(t Topology) (*Cluster, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	c := &Cluster{
		topology: t,
		gone:     map[string]bool{},
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
	c.recordList()
	c.kv = newKVServer(c.topology.KVReadsPerSecond, c.topology.KVWritesPerSecond)
	c.list = newEndpoint("vms", c.serveList)
	c.weights = newWeightStore(c.topology.WeightBytesPerSecond)
	c.control = newEndpoint("control", c.serveControl)
	c.control.serveFaults = c.serveFaults
	starts := []struct {
		addr  string
		start func(string) error
	}{
		{c.topology.KV, c.kv.start},
		{c.topology.VMs, c.list.start},
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
	for _, p := range c.topology.place() {
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

func (c *Cluster) startServer(p placed) (*endpoint, error) {
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
	inner := e.onFault
	e.onFault = func(f Fault) {
		inner(f)
		c.noteFault(e.name, f)
	}
	return e, e.start(p.server.Addr)
}

// noteFault lets the VM list follow deaths and departures.
func (c *Cluster) noteFault(server string, f Fault) {
	if f.Kind != Die && f.Kind != Leave {
		return
	}
	c.mu.Lock()
	for i, vm := range c.vms {
		if string(vm.Servers[0].ID) != server {
			continue
		}
		if f.Kind == Die {
			c.gone[server] = !f.Off
			continue
		}
		c.vms[i].State = vmlist.Leaving
		if f.Off {
			c.vms[i].State = vmlist.Live
		}
	}
	c.mu.Unlock()
	c.recordList()
}

func (c *Cluster) recordList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	vms := make([]vmlist.VM, 0, len(c.vms))
	for _, vm := range c.vms {
		if !c.gone[string(vm.Servers[0].ID)] {
			vms = append(vms, vm)
		}
	}
	c.past.put(time.Now(), vms)
}

func (c *Cluster) serveList(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/v1/vms" {
		fail(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	lag := c.listLag
	if f, ok := c.list.faults.on(Lag); ok {
		lag = f.delay()
	}
	vms, _ := c.past.get(time.Now(), lag)
	reply(ctx, vmlist.Listing{VMs: vms})
}

// Addresses are where a cluster's services listen; empty for those left out.
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
		VMs:     c.list.Addr(),
		Weights: c.weights.Addr(),
		Control: c.control.Addr(),
	}
}

// Servers returns every server with its real address, without lag.
func (c *Cluster) Servers() []vmlist.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []vmlist.Server
	for _, vm := range c.vms {
		out = append(out, vm.Servers...)
	}
	return out
}

// Fault switches a fault on its target.
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

// targets returns the stand-ins that a target names: a server id, a VM, a
// service with "/*", or "*" for every engine and application.
func (c *Cluster) targets(target string) []*endpoint {
	var out []*endpoint
	for _, e := range c.servers() {
		if target == "*" || target == e.name || target == "vm-"+e.name || servesAs(e.name, target) {
			out = append(out, e)
		}
	}
	for _, e := range []*endpoint{c.kv.endpoint, c.list, c.weights.endpoint} {
		if target == e.name {
			out = append(out, e)
		}
	}
	return out
}

// servesAs says whether target is "skrivar/*" for a server "skrivar-01-s1".
func servesAs(server, target string) bool {
	n := len(target)
	return n > 2 && target[n-2:] == "/*" && len(server) > n-2 && server[:n-1] == target[:n-2]+"-"
}

func (c *Cluster) servers() []*endpoint {
	var out []*endpoint
	for _, s := range c.engines {
		out = append(out, s.endpoint)
	}
	for _, s := range c.apps {
		out = append(out, s.endpoint)
	}
	return out
}

// Ledger is what really ran at the stand-ins, over all their lives.
type Ledger struct {
	// Calls are the executions of applications by key and body.
	Calls []LedgerEntry `json:"entries"`
	// Prefills counts the prefills of each prompt, by PromptHash.
	Prefills map[string]int `json:"prefills"`
	// Steps is the number of steps that ran at all engines.
	Steps int64 `json:"steps"`
}

// Ledger sums the ledgers of all engines and applications.
func (c *Cluster) Ledger() Ledger {
	out := Ledger{Calls: []LedgerEntry{}, Prefills: map[string]int{}}
	for _, s := range c.engines {
		prefills, ran := s.stage.ledger()
		out.Steps += ran
		for hash, n := range prefills {
			out.Prefills[hash] += n
		}
	}
	counts := map[LedgerEntry]int{}
	for _, s := range c.apps {
		for _, e := range s.entries() {
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

// FaultList names the faults that are on, by target.
type FaultList struct {
	Faults []Fault `json:"faults"`
}

// serveControl serves the ledger and the addresses.
func (c *Cluster) serveControl(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ledger":
		reply(ctx, c.Ledger())
	case "/addresses":
		reply(ctx, c.Addresses())
	case "/servers":
		reply(ctx, c.Servers())
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

// serveFaults takes faults for any target.
func (c *Cluster) serveFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		reply(ctx, c.faults())
		return
	}
	takeFault(ctx, c.SetFault)
}

func (c *Cluster) faults() FaultList {
	out := FaultList{Faults: []Fault{}}
	all := append(c.servers(), c.kv.endpoint, c.list, c.weights.endpoint)
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
	var wait sync.WaitGroup
	all := c.servers()
	for _, e := range []*endpoint{c.control, c.list} {
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
		wait.Go(e.stop)
	}
	wait.Wait()
}

// RegisterMetrics exports the number of servers that are alive.
func (c *Cluster) RegisterMetrics() {
	metrics.GetOrCreateGauge("catkin_standin_servers_alive", func() float64 {
		alive := 0
		for _, e := range c.servers() {
			if e.alive() {
				alive++
			}
		}
		return float64(alive)
	})
}
