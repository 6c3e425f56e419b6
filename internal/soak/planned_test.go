package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/platform/standin"
)

const (
	plannedVMs     = 6
	plannedCallers = 250
	plannedWindow  = 20 * time.Second
	// plannedTimeout is the time budget of a request.
	plannedTimeout = 12 * time.Second
	// lostBound is lostMs: a request that no server got may end without a response this long
	// after its last byte, because it crossed the close of its connection.
	lostBound = 200 * time.Millisecond
	// lateRequest and lastPartOfGrace: a stream that was sent until lateRequest after SIGTERM may
	// be cut in the last part of the grace period.
	lateRequest     = 3 * time.Second
	lastPartOfGrace = graceBound / 6
	// maxPlannedInterval makes the longest streams last as long as the grace period.
	maxPlannedInterval = graceBound / streamEvents
	secondService      = "wuno96b-2"
	// briefPrefix and briefKey are the prefix of a route and a key that some versions lack.
	briefPrefix = "/brief/"
	briefKey    = "b7ffq3w0k2z6e9n1r5ty"
	// manyRoutes is the number of routes that some versions add.
	manyRoutes = 1400
)

// plannedSeeds are seeds that have failed; each has a comment with the cause.
var plannedSeeds = []uint64{
	22, // a call taken after the grace period had been exceeded
	26, // a stream taken 3 s after SIGTERM, because the stop began with calls to the store
}

// TestPlannedWork stops and starts processes, changes and reloads their settings and changes the
// configuration, also by routes and keys that come and go, in series that overlap, partly while the
// store is cut off. Nothing fails, so no caller may lose a request (LOST). Seeds as in TestSoak; without CATKIN_SOAK_N those that have
// failed.
func TestPlannedWork(t *testing.T) {
	binary, err := buildRouter()
	require.NoError(t, err)
	jobs := make(chan struct{}, envUint(t, "CATKIN_SOAK_JOBS", 3))
	for _, seed := range drawnSeeds(t, plannedSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			jobs <- struct{}{}
			defer func() { <-jobs }()
			interval := draw(rand.New(rand.NewPCG(seed, 2)), eventInterval, maxPlannedInterval)
			runPlanned(newRunWithStreams(t, seed, plannedVMs, binary, interval))
		})
	}
}

// planned is a run in which work is planned only.
type planned struct {
	*run
	mu        sync.Mutex
	stops     map[string][]time.Time // times of SIGTERM by host
	requests  []*plannedRequest
	statuses  map[int]int // number of responses
	version   int
	endOfWork time.Time
}

// plannedRequest is a request that ended without a complete response, after it was sent whole.
type plannedRequest struct {
	id, host     string
	sent, ended  time.Time
	err          error
	headReceived bool
}

func runPlanned(r *run) {
	t := r.t
	t.Cleanup(r.saveLogs)
	for i := range replicas {
		r.addServer(standin.ServerConfig{Service: secondService, Domain: domains[i%len(domains)], Work: 30 * time.Millisecond})
	}
	p := &planned{run: r, stops: map[string][]time.Time{}, statuses: map[int]int{}, version: 7, endOfWork: time.Now().Add(plannedWindow)}
	p.changeConfig(rand.New(rand.NewPCG(r.seed, 1)))
	r.awaitServing()
	p.endOfWork = time.Now().Add(plannedWindow)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range plannedCallers {
		c := &plannedCaller{caller: newCaller(r, i), planned: p}
		callers.Go(func() { c.sendRequests(ctx) })
	}
	var work sync.WaitGroup
	series := []func(*rand.Rand){p.stopSome, p.hangUp, p.changeConfig}
	if r.seed%2 == 0 {
		series = append(series, p.cutStore)
	}
	for i, step := range append(series, p.changeSettings) {
		rng := rand.New(rand.NewPCG(r.seed, uint64(10+i)))
		work.Go(func() {
			for time.Now().Before(p.endOfWork) {
				step(rng)
			}
		})
	}
	work.Wait()
	stop()
	callers.Wait()
	p.checkLost()
	r.checkRuns()
	r.checkLogs()
	t.Logf("%d cut or closed, statuses %v", len(p.requests), p.statuses)
	t.Logf("served %.3f of %d", float64(r.results.served)/float64(max(1, r.results.requests)), r.results.requests)
	require.Empty(t, r.results.violations)
}

// draw returns a random duration.
func draw(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// stopSome restarts up to half of the VMs, the next ones while they stop; some get SIGTERM twice.
func (p *planned) stopSome(rng *rand.Rand) {
	var restarts sync.WaitGroup
	for _, i := range rng.Perm(len(p.vms))[:1+rng.IntN(len(p.vms)/2)] {
		v, twice := p.vms[i], draw(rng, 0, 4*time.Second)
		restarts.Go(func() {
			p.mu.Lock()
			p.stops[v.host] = append(p.stops[v.host], time.Now())
			p.mu.Unlock()
			if twice < time.Second {
				time.AfterFunc(twice, func() { v.signal(syscall.SIGTERM) })
			}
			v.stopAndStart()
			if twice > 3*time.Second { // also before it is ready
				time.Sleep(twice - 3*time.Second)
				p.mu.Lock()
				p.stops[v.host] = append(p.stops[v.host], time.Now())
				p.mu.Unlock()
				v.stopAndStart()
			}
		})
		time.Sleep(draw(rng, 0, 1500*time.Millisecond))
	}
	restarts.Wait()
	time.Sleep(draw(rng, 0, 1500*time.Millisecond))
}

func (p *planned) hangUp(rng *rand.Rand) {
	p.vms[rng.IntN(len(p.vms))].signal(syscall.SIGHUP)
	time.Sleep(draw(rng, 50*time.Millisecond, time.Second))
}

// changeSettings rewrites a VM's settings file with another bound, with or without a signal.
func (p *planned) changeSettings(rng *rand.Rand) {
	v := p.vms[rng.IntN(len(p.vms))]
	text, err := os.ReadFile(v.settingsFile)
	require.NoError(p.t, err)
	text = slackSetting.ReplaceAll(text, fmt.Appendf(nil, "budgetSlack = %d", 150+rng.IntN(100)))
	require.NoError(p.t, os.WriteFile(v.settingsFile, text, 0o600))
	if rng.IntN(2) == 0 {
		v.signal(syscall.SIGHUP)
	}
	time.Sleep(draw(rng, 500*time.Millisecond, 3*time.Second))
}

var slackSetting = regexp.MustCompile(`budgetSlack = \d+`)

// cutStore cuts some VMs off from the store for a time.
func (p *planned) cutStore(rng *rand.Rand) {
	time.Sleep(draw(rng, 0, 2*time.Second))
	cut := rng.Perm(len(p.vms))[:1+rng.IntN(len(p.vms))]
	for _, i := range cut {
		p.vms[i].storeProxy.setLink(linkState{holdToTarget: true, holdToClient: true})
	}
	time.Sleep(draw(rng, 500*time.Millisecond, 5*time.Second))
	for _, i := range cut {
		p.vms[i].storeProxy.setLink(linkState{})
	}
}

// changeConfig moves the plain routes between two services.
func (p *planned) changeConfig(rng *rand.Rand) {
	text, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(p.t, err)
	var doc map[string]any
	require.NoError(p.t, json.Unmarshal(text, &doc))
	services := doc["services"].([]any)
	for _, s := range services {
		if spec := s.(map[string]any); spec["name"] == "wuno96b" {
			second := map[string]any{}
			for key, value := range spec {
				second[key] = value
			}
			second["name"] = secondService
			services = append(services, second)
		}
	}
	routes := doc["routes"].([]any)
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		routes = append(routes, map[string]any{"name": kind, "host": "ficu95.example", "prefix": "/" + kind + "/", "kind": kind,
			"timeoutMs": 3000, "service": []string{"wuno96b", secondService}[rng.IntN(2)], "attempts": 2})
	}
	routes = append(routes, map[string]any{"name": "once", "host": "ficu95.example", "prefix": "/once/", "kind": "streaming", "timeoutMs": 20000,
		"targetLatencyMs": 500, "priority": 1, "service": "huvo11a", "attempts": 2, "public": false, "stickySessions": true, "gapAimMs": 250})
	p.version += 1 + rng.IntN(3)
	content := rand.New(rand.NewPCG(p.seed, uint64(1000+p.version)))
	if content.IntN(3) > 0 {
		routes = append(routes, map[string]any{"name": "brief", "host": "ficu95.example", "prefix": briefPrefix, "kind": "streaming", "timeoutMs": 20000,
			"targetLatencyMs": 500, "priority": 1, "service": "huvo11a", "attempts": 2, "public": false, "stickySessions": true, "streamResume": true, "gapAimMs": 250})
	}
	if content.IntN(3) > 0 {
		team := doc["tenants"].([]any)[0].(map[string]any)
		team["apiKeys"] = append(team["apiKeys"].([]any), briefKey)
	}
	if content.IntN(4) == 0 {
		for i := range manyRoutes {
			routes = append(routes, map[string]any{"name": fmt.Sprint("many", i), "host": "ficu95.example", "prefix": fmt.Sprintf("/many%d/", i),
				"kind": "idempotent", "timeoutMs": 3000, "service": secondService, "attempts": 2})
		}
	}
	doc["routes"], doc["services"], doc["version"] = routes, services, p.version
	text, err = json.Marshal(doc)
	require.NoError(p.t, err)
	p.store.Put("op/config", text)
	time.Sleep(draw(rng, 300*time.Millisecond, 2*time.Second))
}

// checkLost records a violation for each lost request that the rules do not excuse.
func (p *planned) checkLost() {
	arrived := map[string]bool{}
	for _, s := range p.allServers {
		for _, req := range s.Requests() {
			arrived[req.ID] = true
		}
	}
	for _, req := range p.requests {
		var sinceStop time.Duration = -1
		excused := false
		for _, at := range p.stops[req.host] {
			if at.Before(req.ended) {
				sinceStop = req.ended.Sub(at)
				excused = excused || req.sent.Sub(at) <= lateRequest && sinceStop >= graceBound-lastPartOfGrace && sinceStop <= graceBound+time.Second && arrived[req.id]
			}
		}
		if excused || !arrived[req.id] && req.ended.Sub(req.sent) <= lostBound {
			continue
		}
		p.results.addViolation("%s at %s: no complete response %v after it was sent, %v after the last SIGTERM there (header %v, at a server %v): %v",
			req.id, req.host, req.ended.Sub(req.sent).Round(time.Millisecond), sinceStop.Round(time.Millisecond), req.headReceived, arrived[req.id], req.err)
	}
}

// plannedCaller keeps one connection and uses it until a response announces its close or it is closed.
type plannedCaller struct {
	*caller
	planned *planned
	conn    net.Conn
	r       *bufio.Reader
	host    string
}

func (c *plannedCaller) sendRequests(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		c.caller.requests++
		id := fmt.Sprintf("%s-%d", c.name, c.caller.requests)
		if c.conn != nil && c.closedByVM() {
			c.close()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.send(id)
		pause := 100 * time.Millisecond
		if c.rng.IntN(3) == 0 {
			pause = 4 * time.Second
		}
		time.Sleep(draw(c.rng, 0, pause))
	}
}

func (c *plannedCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *plannedCaller) connect() bool {
	addr := c.address()
	if addr == "" {
		return false
	}
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		c.addrsExpire = time.Time{}
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	c.host, _, _ = strings.Cut(addr, ":")
	return true
}

// closedByVM reports whether the VM has closed the idle connection.
func (c *plannedCaller) closedByVM() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	var timeout net.Error
	return err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
}

// send sends one request and records it if its connection ends without a complete response.
func (c *plannedCaller) send(id string) {
	uris := []string{"/pufi791/x", "/pufi791/x", "/once/x", "/idempotent/x", "/non_idempotent/x"}
	if c.run.seed%3 == 1 { // nearly all work is streams that may be resumed
		uris = []string{"/pufi791/x", "/pufi791/x", "/pufi791/x", "/pufi791/x", "/pufi791/x", "/pufi791/x", "/pufi791/x", "/pufi791/x", "/idempotent/x", "/non_idempotent/x"}
	}
	uri, key := uris[c.rng.IntN(len(uris))], "n2ctnfzs989anu6wsjnb"
	if strings.HasPrefix(uri, "/pufi791/") && c.caller.requests%3 == 0 {
		uri = briefPrefix + "x"
	}
	if c.caller.requests%4 == 0 {
		key = briefKey
	}
	var body []byte
	if c.rng.IntN(4) == 0 {
		body = bytes.Repeat([]byte("gloves "), c.rng.IntN(50_000))
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nX-Prompt-Prefix: %s:40,own-%s:20\r\nContent-Length: %d\r\n\r\n",
		uri, id, plannedTimeout.Milliseconds(), key, c.name, id, len(body))
	if uri == "/non_idempotent/x" || uri == "/once/x" {
		c.run.results.mu.Lock()
		c.run.results.nonIdempotent = append(c.run.results.nonIdempotent, id)
		c.run.results.mu.Unlock()
	}
	_ = c.conn.SetDeadline(time.Now().Add(plannedTimeout))
	message := append([]byte(head), body...)
	for len(message) > 0 {
		n := min(len(message), 64<<10)
		if _, err := c.conn.Write(message[:n]); err != nil {
			c.close() // the process has not read the whole request
			return
		}
		if message = message[n:]; len(message) > 0 {
			time.Sleep(draw(c.rng, 0, 100*time.Millisecond))
		}
	}
	sent := time.Now()
	headReceived, complete, err := c.receive(id, uri, key)
	c.run.results.countRequest(complete)
	if err == nil {
		return
	}
	c.close()
	c.addrsExpire = time.Time{}
	if time.Since(sent) >= plannedTimeout-100*time.Millisecond {
		return // its time budget
	}
	c.planned.mu.Lock()
	defer c.planned.mu.Unlock()
	c.planned.requests = append(c.planned.requests, &plannedRequest{id: id, host: c.host, sent: sent, ended: time.Now(), err: err, headReceived: headReceived})
}

var errStreamEndedEarly = errors.New("the stream ended as complete before its last event")

// receive reads the response. complete reports a complete success.
func (c *plannedCaller) receive(id, uri, key string) (headReceived, complete bool, err error) {
	stream := !strings.HasPrefix(uri, "/idempotent/") && !strings.HasPrefix(uri, "/non_idempotent/")
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, false, err
	}
	c.planned.mu.Lock()
	c.planned.statuses[resp.StatusCode]++
	c.planned.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusBadGateway, resp.StatusCode == http.StatusGatewayTimeout:
	case resp.StatusCode == http.StatusNotFound && uri == briefPrefix+"x", resp.StatusCode == http.StatusUnauthorized && key == briefKey:
	case resp.StatusCode == http.StatusServiceUnavailable:
		c.run.results.mu.Lock()
		c.run.results.notRun = append(c.run.results.notRun, id)
		c.run.results.mu.Unlock()
	default:
		c.run.results.addViolation("%s: status %d", id, resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK && stream && strings.Count(string(body), "id: ") != streamEvents {
		return true, false, errStreamEndedEarly
	}
	if resp.Close {
		c.close()
	}
	return true, resp.StatusCode == http.StatusOK, nil
}
