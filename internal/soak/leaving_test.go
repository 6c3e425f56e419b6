package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/catkinstair/catkinstair/platform"
	"github.com/catkinstair/catkinstair/platform/standin"
)

const (
	// leavingTime is how long a server serves after it began to leave.
	leavingTime = drainBound + 3*time.Second
	// recordLostAfter is how long after that its record vanishes for a moment.
	recordLostAfter = drainBound + 500*time.Millisecond
	// recordGap is how long the record of a server that lost touch with the store is gone.
	recordGap = 300 * time.Millisecond
	// leavingSlack is for the time in which a request is on its way, and for VMs that were paused
	// or cut off when the finding was passed on.
	leavingSlack = 500 * time.Millisecond
	// pauseExcuse is how long after a pause a request that was chosen before it may arrive.
	pauseExcuse = time.Second
)

// leaving says how a server tells that it leaves. One that tells nothing removes its record.
type leaving struct {
	inRecord, inResponses bool
	// losesRecord makes the record vanish and come back meanwhile.
	losesRecord bool
}

func (l leaving) String() string {
	var how []string
	if l.inRecord {
		how = append(how, "in its record")
	}
	if l.inResponses {
		how = append(how, "in its responses")
	}
	if len(how) == 0 {
		how = []string{"by removing its record"}
	}
	if l.losesRecord {
		how = append(how, "and its record is gone for a moment")
	}
	return strings.Join(how, " ")
}

// leavingFault makes a server leave.
func (r *run) leavingFault(time.Duration) fault {
	i := r.rng.IntN(enginesPerDomain*len(domains) + replicas)
	l := leaving{inRecord: r.rng.IntN(2) == 0, inResponses: r.rng.IntN(2) == 0}
	l.losesRecord = (l.inRecord || l.inResponses) && r.rng.IntN(2) == 0
	return fault{name: fmt.Sprintf("server %d leaves, as it says %s,", i, l), inject: func() { r.leaveAndReplace(i, l) }}
}

// leaveAndReplace makes a server leave and replaces it.
func (r *run) leaveAndReplace(i int, l leaving) {
	r.mu.Lock()
	s := r.servers[i]
	r.mu.Unlock()
	before := len(s.Requests())
	if l.inResponses {
		s.Leave()
	}
	if l.inRecord {
		s.Drain()
	}
	if !l.inRecord && !l.inResponses {
		r.removeRecord(s)
	}
	rest := leavingTime
	if l.losesRecord {
		time.Sleep(recordLostAfter)
		r.store.Put(platform.ServersPrefix+s.ID, nil)
		time.Sleep(recordGap)
		s.Register()
		rest -= recordLostAfter + recordGap
	}
	time.Sleep(rest)
	if l.inResponses {
		r.checkNoLateRequest(s, before)
	}
	r.mu.Lock()
	i = slices.Index(r.servers, s) // it may have crashed and been replaced
	r.mu.Unlock()
	if i >= 0 {
		r.replaceServer(i, false, 0)
	}
}

// checkNoLateRequest checks that a server gets no request later than drainBound after it first said
// in a response that it leaves, in any of its requests but the first ones. Processes that were all
// killed at once knew it and have forgotten it: it counts from the first response after that.
func (r *run) checkNoLateRequest(s *standin.Server, before int) {
	requests := s.Requests()[before:]
	lastIndex := len(requests) - 1
	for lastIndex >= 0 && r.sentByEarlierBuild(requests[lastIndex]) {
		lastIndex--
	}
	if lastIndex < 0 {
		return
	}
	last := requests[lastIndex]
	first := slices.IndexFunc(requests, func(req standin.Request) bool { return !req.At.Before(r.lastKillOfAll(last.At)) })
	if late := last.At.Sub(requests[first].At); late > drainBound+leavingSlack {
		r.results.addViolation("server %s got request %s %v after it first said that it leaves; %s", s.ID, last.ID, late, r.describeSender(last, s))
	}
}

// sentByEarlierBuild reports whether a request came from a process of a build that has faults which
// this build can't mend.
func (r *run) sentByEarlierBuild(req standin.Request) bool {
	i := slices.IndexFunc(r.vms, func(v *vm) bool { return v.host == req.From })
	if i < 0 || r.earlierVersion == "" {
		return false
	}
	version := ""
	for _, l := range r.vms[i].readLog() {
		if l.Message == "start" && !time.UnixMilli(l.Time).After(req.At) {
			version = l.Version
		}
	}
	return version == r.earlierVersion
}

// lastKillOfAll returns when all VMs were last killed at once before a time, zero if never.
func (r *run) lastKillOfAll(before time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, at := range r.killsOfAll {
		if at.Before(before) {
			last = at
		}
	}
	return last
}

// removeRecord removes a server's record for good.
func (r *run) removeRecord(s *standin.Server) {
	r.mu.Lock()
	r.removedServers = append(r.removedServers, s.ID)
	r.mu.Unlock()
	r.store.Put(platform.ServersPrefix+s.ID, nil)
}

// harm is a time in which the link between a VM and a server held data back; the VM's host or the
// server's address is "" for all.
type harm struct {
	vm, server string
	from, to   time.Time
}

func (r *run) recordHarm(h harm) {
	h.to = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harms = append(r.harms, h)
}

// isHeldUp reports whether the link of a request was harmed at most contactBound before it arrived.
func (r *run) isHeldUp(req standin.Request, s *standin.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.harms, func(h harm) bool {
		return (h.vm == "" || h.vm == req.From) && (h.server == "" || h.server == s.Addr) && !req.At.Before(h.from) && req.At.Before(h.to.Add(contactBound))
	})
}

// logLine is a line of a VM's log.
type logLine struct {
	Time         int64 // Unix ms
	Message      string
	Version      string
	Server       string
	From         any // a VM, or the first layer held
	Draining     bool
	StoreWasAway bool
}

// readLog returns the lines of a VM's log that are whole.
func (v *vm) readLog() []logLine {
	file, err := os.Open(filepath.Join(v.run.dir, v.name+".log"))
	if err != nil {
		v.run.results.addViolation("%s: %v", v.name, err)
		return nil
	}
	defer file.Close()
	var out []logLine
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil { // otherwise cut by a kill
			l.Server = strings.TrimPrefix(l.Server, platform.ServersPrefix)
			out = append(out, l)
		}
	}
	return out
}

// tellsLeaving reports whether a line shows that the VM learned that its server leaves or is gone.
func (l logLine) tellsLeaving() bool {
	switch l.Message {
	case "backend server":
		return l.Draining
	case "backend server's record is gone":
		return !l.StoreWasAway
	default:
		return strings.HasPrefix(l.Message, "backend server leaves")
	}
}

// describeSender describes the VM that sent a request: when it started and what it knew of the
// server.
func (r *run) describeSender(req standin.Request, s *standin.Server) string {
	i := slices.IndexFunc(r.vms, func(v *vm) bool { return v.host == req.From })
	if i < 0 {
		return "from " + req.From + ", which is no VM of this run"
	}
	var out []string
	for _, l := range r.vms[i].readLog() {
		if l.Message == "start" || l.Message == "process was paused: its state is read again" || l.Server == s.ID && (l.tellsLeaving() || l.Message == "backend server") {
			out = append(out, fmt.Sprintf("%v %s draining=%v from=%v", req.At.Sub(time.UnixMilli(l.Time)).Round(time.Millisecond), l.Message, l.Draining, l.From))
		}
	}
	return fmt.Sprintf("from %s, whose log says, by the time before the request: %s", r.vms[i].name, strings.Join(out, "; "))
}

// knowledge is what one process of a VM knew of a server that leaves.
type knowledge struct {
	server       string
	since, until time.Time
	// gone is set if only the server's record was gone; another one ends the knowledge.
	gone bool
}

// readKnowledge returns what the processes of a VM knew by its log, and when they were paused.
func (v *vm) readKnowledge() (known []knowledge, pauses []time.Time) {
	current := map[string]knowledge{} // of the process, by server
	end := func(k knowledge, at time.Time) {
		k.until = at
		known = append(known, k)
		delete(current, k.server)
	}
	for _, l := range v.readLog() {
		at := time.UnixMilli(l.Time)
		k, isKnown := current[l.Server]
		switch {
		case l.Message == "start":
			for _, k := range current {
				end(k, at)
			}
		case strings.HasPrefix(l.Message, "process was paused"):
			pauses = append(pauses, at)
		case !l.tellsLeaving():
			if l.Message == "backend server" && isKnown && k.gone {
				end(k, at)
			}
		case !isKnown || k.gone:
			current[l.Server] = knowledge{server: l.Server, since: at, gone: strings.HasSuffix(l.Message, "gone")}
		}
	}
	for _, k := range current {
		end(k, time.Now())
	}
	return known, pauses
}

// checkLeaving checks by the VMs' logs that none sent a request to a server later than drainBound
// after it learned that the server leaves or is gone, unless its process or link stood still.
func (r *run) checkLeaving() {
	r.mu.Lock()
	servers := map[string]*standin.Server{}
	for _, s := range r.allServers {
		servers[s.ID] = s
	}
	r.mu.Unlock()
	for _, v := range r.vms {
		known, pauses := v.readKnowledge()
		for _, k := range known {
			s := servers[k.server]
			if s == nil {
				continue
			}
			isLate := func(req standin.Request) bool {
				return req.From == v.host && req.Begun && req.At.After(k.since.Add(drainBound)) && req.At.Before(k.until) && !isAfterPause(req.At, pauses) && !r.isHeldUp(req, s) && !r.sentByEarlierBuild(req)
			}
			requests := s.Requests()
			if i := slices.IndexFunc(requests, isLate); i >= 0 {
				r.results.addViolation("%s sent request %s to %s %v after it knew that the server leaves; %s", v.name, requests[i].ID, s.ID, requests[i].At.Sub(k.since), r.describeSender(requests[i], s))
			}
		}
	}
}

func isAfterPause(at time.Time, pauses []time.Time) bool {
	return slices.ContainsFunc(pauses, func(p time.Time) bool { return at.After(p) && at.Before(p.Add(pauseExcuse)) })
}
