package poison

import (
	"slices"
	"time"
)

const (
	// maxSharedRuns, maxSharedParts and maxSharedBlocks bound an Update, which has to fit
	// into a datagram beside the loads.
	maxSharedRuns   = 32
	maxSharedParts  = 64
	maxSharedBlocks = 64
	// maxPromptParts bounds the parts of a received run.
	maxPromptParts = 16
)

// Update carries one VM's knowledge to the others. Times are ages.
type Update struct {
	Runs []SharedRun `cbor:"4,keyasint,omitempty"`
	// Progress holds the age of the last progress of parts of cut runs.
	Progress map[Part]time.Duration `cbor:"2,keyasint,omitempty"`
	Blocked  []SharedBlock          `cbor:"5,keyasint,omitempty"`
}

// SharedRun is a CutRun in an Update.
type SharedRun struct {
	Server  uint32        `cbor:"1,keyasint"`
	Prompt  Prompt        `cbor:"2,keyasint,omitempty"`
	Request Part          `cbor:"3,keyasint,omitempty"`
	SentAge time.Duration `cbor:"4,keyasint"`
	Age     time.Duration `cbor:"5,keyasint"`
	// Doubtful is CutRun.Doubtful.
	Doubtful bool `cbor:"6,keyasint,omitempty"`
}

// SharedBlock is a Block in an Update.
type SharedBlock struct {
	Part      Part          `cbor:"1,keyasint"`
	Age       time.Duration `cbor:"2,keyasint"`
	SeenAge   time.Duration `cbor:"3,keyasint"`
	Ambiguous bool          `cbor:"4,keyasint,omitempty"`
	Trials    int           `cbor:"5,keyasint,omitempty"`
}

// Mark is a point in time and what a Guard knew then.
type Mark struct {
	at      time.Duration
	version uint64
}

// Mark returns the mark of what is known now.
func (g *Guard) Mark(now time.Duration) Mark { return Mark{at: now, version: g.version} }

// Update returns what to send to the other VMs now, nil if there is nothing. Blocked parts
// are sent each time, for VMs that have just started.
func (g *Guard) Update(now time.Duration) *Update {
	return g.update(now, never, true)
}

// UpdateSince returns the part of an Update that was learned after a mark.
func (g *Guard) UpdateSince(now time.Duration, m Mark) *Update {
	return g.update(now, m.at, g.version != m.version)
}

func (g *Guard) update(now, since time.Duration, withBlocks bool) *Update {
	var u Update
	for i := len(g.runs) - 1; i >= 0 && len(u.Runs) < maxSharedRuns; i-- {
		if r := g.runs[i]; now-r.EndedAt <= g.cfg.ShareTTL && r.changedAt >= since {
			u.Runs = append(u.Runs, SharedRun{Server: r.Server, Prompt: r.Prompt, Request: r.Request, SentAge: now - r.SentAt, Age: now - r.EndedAt, Doubtful: r.Doubtful})
		}
	}
	for part, until := range g.shareUntil {
		if at, known := g.progress[part]; known && now <= until && until-g.cfg.ShareTTL >= since {
			if u.Progress == nil {
				u.Progress = make(map[Part]time.Duration, len(g.shareUntil))
			}
			u.Progress[part] = now - at
		}
	}
	for _, b := range g.Blocked(now) {
		if withBlocks && len(u.Blocked) < maxSharedBlocks {
			u.Blocked = append(u.Blocked, SharedBlock{Part: b.Part, Age: now - b.Since, SeenAge: now - b.Seen, Ambiguous: b.Ambiguous, Trials: b.Trials})
		}
	}
	if len(u.Runs)+len(u.Progress)+len(u.Blocked) == 0 {
		return nil
	}
	return &u
}

// Result is the effect of a received Update.
type Result struct {
	// New is set if the Update contained something unknown, which is to be passed on at once.
	New bool
	// Blocked holds the parts that are blocked from now on, Unblocked those that no longer
	// are.
	Blocked   []Block
	Unblocked []Part
}

// Receive applies another VM's Update. Entries out of bounds are ignored.
func (g *Guard) Receive(now time.Duration, u *Update) Result {
	var result Result
	if u == nil {
		return result
	}
	var added []CutRun
	for _, r := range u.Runs {
		subject := Subject{Prompt: r.Prompt, Request: r.Request}
		if r.Age < 0 || r.SentAge < r.Age || r.Age > g.cfg.ShareTTL || !subject.valid() {
			continue
		}
		run := CutRun{Server: r.Server, Subject: subject, SentAt: now - r.SentAge, EndedAt: now - r.Age, Doubtful: r.Doubtful}
		if g.addRun(now, run) {
			added = append(added, run)
		}
	}
	result.New = len(added) > 0
	var p Progress
	for part, age := range u.Progress {
		// The sender knows this progress and blocks the part nevertheless, so the progress came
		// before the block. The delays of messages could show it as later here.
		if u.blocks(part) {
			continue
		}
		if age >= 0 && age <= g.cfg.EvidenceTTL && len(part) <= maxPartBytes {
			g.recordProgress(now, part, now-age, &p)
		}
	}
	result.New, result.Unblocked = result.New || p.News, p.Unblocked
	for _, b := range u.Blocked {
		block := Block{Part: b.Part, Since: now - b.Age, Seen: now - b.SeenAge, Ambiguous: b.Ambiguous, Trials: b.Trials}
		if b.Age >= 0 && b.SeenAge >= 0 && len(b.Part) <= maxPartBytes && g.Restore(now, block) {
			result.New = true
			result.Blocked = append(result.Blocked, block)
		}
	}
	for _, run := range added {
		result.Blocked = append(result.Blocked, g.block(now, run)...)
	}
	return result
}

// WithoutBlocks returns the Update without the sender's convictions.
func (u *Update) WithoutBlocks() *Update {
	if u == nil || len(u.Blocked) == 0 {
		return u
	}
	out := &Update{Runs: u.Runs, Progress: make(map[Part]time.Duration, len(u.Progress))}
	for part, age := range u.Progress {
		if !u.blocks(part) { // it made progress before it was blocked
			out.Progress[part] = age
		}
	}
	return out
}

// blocks reports whether the sender blocks the part.
func (u *Update) blocks(part Part) bool {
	return slices.ContainsFunc(u.Blocked, func(b SharedBlock) bool { return b.Part == part })
}

func (s Subject) valid() bool {
	for _, part := range s.Prompt {
		if len(part) > maxPartBytes {
			return false
		}
	}
	return !s.isEmpty() && len(s.Prompt) <= maxPromptParts && len(s.Request) <= maxPartBytes
}
