package poison

import (
	"slices"
	"time"
)

// blockParts blocks the parts of a prompt that the known crashes convict, the least shared
// ones first: a crash that a blocked part explains is no evidence against another part.
func (g *Guard) blockParts(now time.Duration, prompt Prompt) []Block {
	var out []Block
	for _, part := range suspicionOrder(prompt) {
		if _, known := g.blocked[part]; known {
			continue
		}
		e := g.evidence(part)
		needCrashes, needPrompts := prompt.crashesToBlock(part, g.lastProgress(part) != never)
		if e.crashes >= needCrashes && len(e.prompts) >= needPrompts && e.explainsMost() {
			b := Block{Part: part, Since: now, Seen: now, Crashes: e.crashes}
			g.addBlock(b)
			out = append(out, b)
		}
	}
	return out
}

// suspicionOrder returns the parts of a prompt other than the first, then the first.
func suspicionOrder(prompt Prompt) Prompt {
	return append(slices.Clone(prompt[1:]), prompt[0])
}

// partEvidence is the evidence against one part since its last progress.
type partEvidence struct {
	crashes int             // crashes of different servers, one after the other
	prompts map[uint64]bool // hashes of the prompts cut in them
	// servers are those that crashed since the first of them; the value tells whether a run
	// with the part was cut there.
	servers map[uint32]bool
}

// explainsMost reports whether the part was cut at more than half of the servers. If many
// servers crash, some sound part is cut several times by chance.
func (e partEvidence) explainsMost() bool {
	with := 0
	for _, hasPart := range e.servers {
		if hasPart {
			with++
		}
	}
	return 2*with > len(e.servers)
}

// evidence returns the evidence against a part. A crash counts only if a run cut in it was
// sent after the previous counted crash.
func (g *Guard) evidence(part Part) partEvidence {
	e := partEvidence{prompts: map[uint64]bool{}, servers: map[uint32]bool{}}
	last := g.lastProgress(part)
	counted := map[uint32]bool{}
	var lastCrash time.Duration
	for _, r := range g.runs {
		hasPart := slices.Contains(r.Prompt, part)
		if r.Doubtful || len(r.Prompt) == 0 || g.sentToDead(r) || r.EndedAt <= last || (e.crashes == 0 && !hasPart) || g.explained(r) {
			continue
		}
		e.servers[r.Server] = e.servers[r.Server] || hasPart
		if !hasPart || (!counted[r.Server] && e.crashes > 0 && r.SentAt <= lastCrash) {
			continue
		}
		e.prompts[r.Prompt.hash()] = true
		if !counted[r.Server] {
			counted[r.Server], lastCrash = true, r.EndedAt
			e.crashes++
		}
	}
	return e
}

// explained reports whether a blocked part explains the crash that cut a run.
func (g *Guard) explained(r CutRun) bool {
	return slices.ContainsFunc(r.Prompt, func(part Part) bool { _, blocked := g.blocked[part]; return blocked })
}
