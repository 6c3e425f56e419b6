package poison

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// crashesOfLoneRequest is the number of crashes after which a request is blocked that
	// alone was cut in all of them.
	crashesOfLoneRequest = 2
	// crashesOfRequest is that number if other requests were cut in all of them as well.
	crashesOfRequest = 3
)

// Judge returns the requests that were blocked since the last call. It is to be called a few
// times a second.
func (g *Guard) Judge(now time.Duration) []Block {
	g.judgeDue(now)
	blocked := g.judged
	g.judged = nil
	return blocked
}

// judgeDue judges the requests whose crash is old enough. All of them are judged before the
// first is blocked, since a block explains crashes.
func (g *Guard) judgeDue(now time.Duration) {
	var blocked []Block
	for request, at := range g.judgeAt {
		if now < at {
			continue
		}
		delete(g.judgeAt, request)
		if g.unreached {
			continue
		}
		if b, convicted := g.judge(now, request); convicted {
			blocked = append(blocked, b)
		}
	}
	slices.SortFunc(blocked, func(a, b Block) int { return strings.Compare(string(a.Part), string(b.Part)) })
	for _, b := range blocked {
		g.addBlock(b)
	}
	g.judged = append(g.judged, blocked...)
}

// judge returns the block of a request if the known crashes convict it.
func (g *Guard) judge(now time.Duration, request Part) (Block, bool) {
	servers := g.crashesWith(request)
	lone := g.loneSuspect(request, servers)
	if b, known := g.blocked[request]; known {
		if b.Ambiguous && lone && len(servers) > b.Crashes {
			b.Ambiguous = false // a trial has told it from the others
			g.blocked[request] = b
		}
		return Block{}, false
	}
	if len(servers) < crashesOfLoneRequest || (!lone && len(servers) < crashesOfRequest) {
		return Block{}, false
	}
	return Block{Part: request, Since: now, Seen: now, Crashes: len(servers), Ambiguous: !lone}, true
}

// crashesWith returns the servers whose crashes cut the request, since its last progress and
// one after the other: a run counts if it was sent after the crash that counted before it.
// Crashes that a blocked part explains do not count.
func (g *Guard) crashesWith(request Part) []uint32 {
	var servers []uint32
	last, lastCrash := g.lastProgress(request), never
	for _, r := range g.runs {
		if r.Doubtful || r.Request != request || r.EndedAt <= last || r.SentAt <= lastCrash || slices.Contains(servers, r.Server) || g.sentToDead(r) || g.serverExplained(r.Server, request) {
			continue
		}
		servers, lastCrash = append(servers, r.Server), r.EndedAt
	}
	return servers
}

// sentToDead reports whether a run was sent after the crash of its server, over a connection
// that showed it late.
func (g *Guard) sentToDead(run CutRun) bool {
	return slices.ContainsFunc(g.runs, func(r CutRun) bool { return r.Server == run.Server && r.EndedAt < run.SentAt })
}

// serverExplained reports whether a run with a part that is blocked beyond doubt, other than
// the given one, was cut in the crash of a server.
func (g *Guard) serverExplained(server uint32, other Part) bool {
	for part, b := range g.blocked {
		if part == other || b.Ambiguous {
			continue
		}
		if slices.ContainsFunc(g.runs, func(r CutRun) bool { return r.Server == server && r.Has(part) }) {
			return true
		}
	}
	return false
}

// loneSuspect reports whether no other request that has not made progress since was cut in
// the crashes of all these servers.
func (g *Guard) loneSuspect(request Part, servers []uint32) bool {
	cutAt := map[Part]map[uint32]bool{}
	for _, r := range g.runs {
		if r.Request == request || r.Request == "" || g.sentToDead(r) || !slices.Contains(servers, r.Server) || r.EndedAt <= g.lastProgress(r.Request) {
			continue
		}
		if cutAt[r.Request] == nil {
			cutAt[r.Request] = map[uint32]bool{}
		}
		cutAt[r.Request][r.Server] = true
	}
	for _, at := range cutAt {
		if len(at) == len(servers) {
			return false
		}
	}
	return true
}

// SendAfter returns the time from which a plain request may be sent, and whether it is
// suspect: it was cut in a crash and has made no progress since. The requests that were cut
// in the same crash follow each other at an interval, so that the next crash tells them
// apart.
func (g *Guard) SendAfter(request Part) (at time.Duration, suspect bool) {
	last := g.lastProgress(request)
	for _, r := range slices.Backward(g.runs) {
		if r.Request != request || r.EndedAt <= last || g.sentToDead(r) || g.serverExplained(r.Server, request) {
			continue
		}
		delay := g.cfg.SuspicionDelay
		if r.Doubtful {
			delay = g.cfg.DoubtDelay
		}
		return r.EndedAt + delay + time.Duration(g.rank(r))*g.cfg.SuspectSpacing, true
	}
	return 0, false
}

// rank returns the number of other suspects cut in the same crash as a run that are to be
// sent before it.
func (g *Guard) rank(run CutRun) int {
	before := map[Part]bool{}
	for _, r := range g.runs {
		if r.Server == run.Server && r.Request != "" && r.Request < run.Request && r.EndedAt > g.lastProgress(r.Request) {
			before[r.Request] = true
		}
	}
	return len(before)
}

// RecordResponse records that a server responded to a request that was sent at sentAt. A
// server that was thought to have crashed before has not: only its connections were lost.
func (g *Guard) RecordResponse(now, sentAt time.Duration, server uint32) Progress {
	var p Progress
	refuted := func(r CutRun) bool { return r.Server == server && r.EndedAt < sentAt }
	if !slices.ContainsFunc(g.runs, refuted) {
		return p
	}
	concerned := map[Part]bool{} // blocks for which the crash counted
	for _, r := range g.runs {
		if b, blocked := g.blocked[r.Request]; refuted(r) && blocked && b.Crashes > 0 && r.EndedAt <= b.Since {
			concerned[r.Request] = true
		}
	}
	g.runs = slices.DeleteFunc(g.runs, refuted)
	maps.DeleteFunc(g.respondedAt, func(_ uint32, at time.Duration) bool { return now-at > g.cfg.EvidenceTTL })
	if len(g.respondedAt) < g.cfg.MaxRuns {
		g.respondedAt[server] = sentAt // otherwise another VM's report may bring the run back
	}
	for part := range concerned {
		b := g.blocked[part]
		b.Crashes-- // this VM may not know the other crashes
		g.blocked[part] = b
		if max(b.Crashes, len(g.crashesWith(part))) < crashesOfLoneRequest {
			g.recordProgress(now, part, now, &p)
		}
	}
	return p
}
