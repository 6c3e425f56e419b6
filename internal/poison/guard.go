package poison

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Config holds the settings of a Guard.
type Config struct {
	// EvidenceTTL is how long a crash counts as evidence. Default 10 min.
	EvidenceTTL time.Duration
	// MaxRuns bounds the cut runs that are kept as evidence; the oldest are dropped.
	// Default 256.
	MaxRuns int
	// MaxBlocked bounds the blocked parts; the one seen least recently is dropped.
	// Default 256.
	MaxBlocked int
	// BlockTTL is how long a part stays blocked after the last request with it at any VM.
	// Default 15 min.
	BlockTTL time.Duration
	// TrialInterval is the time from a block to its first trial. It grows tenfold with each
	// trial. Default 2 min.
	TrialInterval time.Duration
	// AmbiguousTrialInterval is that time for an ambiguous block. Default 10 s.
	AmbiguousTrialInterval time.Duration
	// MaxTrials bounds the trials of a block, on all VMs together as far as they
	// know of each other. Default 2.
	MaxTrials int
	// SuspicionDelay is the time from a crash until the first of the plain requests cut in it
	// may be sent again: the other VMs must know the crash by then. Default 40 ms.
	SuspicionDelay time.Duration
	// DoubtDelay is that time for a crash that is doubtful. Default 250 ms.
	DoubtDelay time.Duration
	// ConfirmTTL is how long after a crash it can be confirmed. It covers the time until the
	// record of a server that has died without a sign expires. Default 6 s.
	ConfirmTTL time.Duration
	// SuspectSpacing is the interval at which the others follow, so that at most one of them
	// runs when the next server crashes. Default 100 ms.
	SuspectSpacing time.Duration
	// MaxProgress bounds the parts whose last progress is remembered. Default 4096.
	MaxProgress int
	// ShareTTL is how long runs and clearances are passed on to other VMs. Default 3 s.
	ShareTTL time.Duration
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{EvidenceTTL: 10 * time.Minute, MaxRuns: 256, MaxBlocked: 256, BlockTTL: 15 * time.Minute,
		TrialInterval: 2 * time.Minute, AmbiguousTrialInterval: 10 * time.Second, MaxTrials: 2, SuspicionDelay: 40 * time.Millisecond, DoubtDelay: 250 * time.Millisecond, ConfirmTTL: 6 * time.Second, SuspectSpacing: 100 * time.Millisecond,
		MaxProgress: 4096, ShareTTL: 3 * time.Second}
}

// CutRun is a run that ended with the crash of its first server, before its second event if
// it is a stream.
type CutRun struct {
	// Server identifies the incarnation of the server.
	Server uint32
	Subject
	// SentAt and EndedAt are on the VM's clock.
	SentAt, EndedAt time.Duration
	// Doubtful is set while the connection may have been lost by the VM's own links: the run
	// makes its request suspect, but convicts nothing.
	Doubtful bool
	// changedAt is when this VM learned of the run, or that it is not doubtful.
	changedAt time.Duration
}

// Block is a blocked part.
type Block struct {
	Part Part
	// Since is when the part was blocked, Seen when a request with it last arrived, both on
	// the VM's clock.
	Since, Seen time.Duration
	// Crashes is the number of crashes that led to the block; 0 if another VM found it.
	Crashes int
	// Ambiguous is set if other requests were cut in the same crashes: the block explains none
	// of them.
	Ambiguous bool
	// Trials is how often a request with the part has been let through since, to see whether it
	// still crashes servers, and NextTrial when one may be again, on the VM's clock.
	Trials    int
	NextTrial time.Duration
}

// Guard holds what one VM knows of cut runs and blocked parts.
type Guard struct {
	cfg      Config
	runs     []CutRun               // ordered by EndedAt
	progress map[Part]time.Duration // last progress of a run with the part
	// shareUntil is when the progress of a part is no longer news for the other VMs.
	shareUntil map[Part]time.Duration
	blocked    map[Part]Block
	// respondedAt holds, by server whose crash was refuted by a response, when the request of
	// that response was sent.
	respondedAt map[uint32]time.Duration
	judgeAt     map[Part]time.Duration // when to judge a request that was cut in a crash
	judged      []Block                // requests blocked since the last call of Judge
	version     uint64
	unreached   bool // SetReached(false)
}

// SetReached tells whether the other VMs send their Updates to this one, true at first. Without
// them it does not know which requests made progress elsewhere, so it convicts nothing. It goes
// on to collect evidence and to send it.
func (g *Guard) SetReached(reached bool) { g.unreached = !reached }

// New returns a Guard that blocks nothing.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, progress: map[Part]time.Duration{}, shareUntil: map[Part]time.Duration{}, blocked: map[Part]Block{}, respondedAt: map[uint32]time.Duration{}, judgeAt: map[Part]time.Duration{}}
}

// Version increases with each change of the set of blocked parts.
func (g *Guard) Version() uint64 { return g.version }

// RecordCrash records a run that was cut by the crash of its server and returns the parts
// that are blocked from now on.
func (g *Guard) RecordCrash(now time.Duration, run CutRun) []Block {
	if run.isEmpty() || !g.addRun(now, run) {
		return nil
	}
	return g.block(now, run)
}

// block blocks the parts of a cut run's prompt that the known crashes convict. Its request is
// judged when the other VMs have reported what they lost in the crash.
func (g *Guard) block(now time.Duration, run CutRun) []Block {
	if run.Request != "" && len(g.judgeAt) < g.cfg.MaxRuns {
		g.judgeAt[run.Request] = run.EndedAt + g.cfg.SuspicionDelay
	}
	if len(run.Prompt) == 0 || g.unreached {
		return nil
	}
	return g.blockParts(now, run.Prompt)
}

// Confirm removes the doubt about the runs that were cut in the crashes of some servers within
// Config.ConfirmTTL, and returns what is blocked from now on.
func (g *Guard) Confirm(now time.Duration, crashed func(server uint32) bool) Result {
	var result Result
	for i := range g.runs {
		if r := &g.runs[i]; r.Doubtful && now-r.EndedAt <= g.cfg.ConfirmTTL && crashed(r.Server) {
			r.Doubtful, r.changedAt, result.New = false, now, true
			result.Blocked = append(result.Blocked, g.block(now, *r)...)
		}
	}
	return result
}

// addRun adds a run to the evidence, or removes the doubt about one. It reports false if that
// changes nothing.
func (g *Guard) addRun(now time.Duration, run CutRun) bool {
	g.runs = slices.DeleteFunc(g.runs, func(r CutRun) bool { return now-r.EndedAt > g.cfg.EvidenceTTL })
	sentAt, responded := g.respondedAt[run.Server]
	if now-run.EndedAt > g.cfg.EvidenceTTL || (responded && sentAt > run.EndedAt) {
		return false
	}
	if i := slices.IndexFunc(g.runs, run.sameAs); i >= 0 {
		confirmed := g.runs[i].Doubtful && !run.Doubtful
		if confirmed {
			g.runs[i].Doubtful, g.runs[i].changedAt = false, now
		}
		return confirmed
	}
	run.changedAt = now
	i, _ := slices.BinarySearchFunc(g.runs, run, func(a, b CutRun) int { return int(a.EndedAt - b.EndedAt) })
	g.runs = slices.Insert(g.runs, i, run)
	if len(g.runs) > g.cfg.MaxRuns {
		g.runs = slices.Delete(g.runs, 0, 1)
	}
	for _, part := range append(slices.Clone(run.Prompt), run.Request) {
		if g.lastProgress(part) != never {
			g.shareProgress(now, part) // the other VMs may not know it
		}
	}
	return true
}

// sameAs reports whether both are the same run. The times of a run that another VM has sent
// are inaccurate.
func (r CutRun) sameAs(other CutRun) bool {
	return r.Server == other.Server && r.Request == other.Request && slices.Equal(r.Prompt, other.Prompt)
}

// Progress is the effect of a run's progress.
type Progress struct {
	// News is set if it clears a part that was cut in a crash, which other VMs need at once.
	News bool
	// Unblocked holds the parts that were blocked and no longer are.
	Unblocked []Part
}

// RecordProgress records that a run wrote its second event, or its whole response: neither
// the request nor a part of its prompt crashes servers.
func (g *Guard) RecordProgress(now time.Duration, s Subject) Progress {
	var p Progress
	for i, part := range s.Prompt {
		// Only repetitions of the request share the last part, so it matters only after a crash.
		if i < len(s.Prompt)-1 || g.cutBetween(part, never, now) {
			g.recordProgress(now, part, now, &p)
		}
	}
	if s.Request != "" && g.cutBetween(s.Request, never, now) {
		g.recordProgress(now, s.Request, now, &p)
	}
	return p
}

// recordProgress records progress of a part at the time at and adds its effect to p.
func (g *Guard) recordProgress(now time.Duration, part Part, at time.Duration, p *Progress) {
	last := g.lastProgress(part)
	clears := g.cutBetween(part, last, at)
	if last == never && len(g.progress) >= g.cfg.MaxProgress {
		g.dropOldestProgress()
	}
	g.progress[part] = max(last, at)
	if b, ok := g.blocked[part]; ok && at > b.Since {
		delete(g.blocked, part)
		g.version++
		p.Unblocked = append(p.Unblocked, part)
		clears = true
	}
	if clears {
		g.shareProgress(now, part)
		p.News = true
	}
}

// shareProgress passes the last progress of a part on to the other VMs for ShareTTL.
func (g *Guard) shareProgress(now time.Duration, part Part) {
	maps.DeleteFunc(g.shareUntil, func(_ Part, until time.Duration) bool { return now > until })
	if len(g.shareUntil) < maxSharedParts {
		g.shareUntil[part] = now + g.cfg.ShareTTL
	}
}

func (g *Guard) dropOldestProgress() {
	oldest, oldestAt := Part(""), time.Duration(math.MaxInt64)
	for part, at := range g.progress {
		if at < oldestAt || (at == oldestAt && part < oldest) {
			oldest, oldestAt = part, at
		}
	}
	delete(g.progress, oldest)
}

// cutBetween reports whether a run with the part was cut after one time and before another.
func (g *Guard) cutBetween(part Part, after, before time.Duration) bool {
	return slices.ContainsFunc(g.runs, func(r CutRun) bool {
		return r.EndedAt > after && r.EndedAt < before && r.Has(part)
	})
}

// never is earlier than any time. Times before the start of the VM's clock are negative.
const never = time.Duration(math.MinInt64 / 2)

// lastProgress returns the time of the last known progress of a part, never if there was none.
func (g *Guard) lastProgress(part Part) time.Duration {
	if at, ok := g.progress[part]; ok {
		return at
	}
	return never
}

// Cleared reports whether a request that was cut at the time cutAt may be sent once more: if
// it has parts that other requests may share, besides the first, runs with them have made
// progress since.
func (g *Guard) Cleared(prompt Prompt, cutAt time.Duration) bool {
	return !slices.ContainsFunc(prompt.middle(), func(part Part) bool { return g.lastProgress(part) <= cutAt })
}

// Find returns the block of a part of the prompt or of the request, if there is one, and
// notes that a request with it has arrived.
func (g *Guard) Find(now time.Duration, s Subject) (Block, bool) {
	g.judgeDue(now)
	if len(g.blocked) == 0 {
		return Block{}, false
	}
	g.expire(now)
	for _, part := range s.Prompt {
		if b, blocked := g.find(now, part); blocked {
			return b, true
		}
	}
	return g.find(now, s.Request)
}

func (g *Guard) find(now time.Duration, part Part) (Block, bool) {
	b, blocked := g.blocked[part]
	if blocked {
		b.Seen = now
		g.blocked[part] = b
	}
	return b, blocked
}

// BeginTrial reports whether a request with a blocked part is let through now: a part that was
// convicted by chance would otherwise stay blocked as long as requests with it come.
func (g *Guard) BeginTrial(now time.Duration, part Part) bool {
	b, blocked := g.blocked[part]
	if !blocked || b.Trials >= g.cfg.MaxTrials || now < b.NextTrial {
		return false
	}
	b.Trials++
	b.NextTrial = now + g.trialInterval(b)
	g.blocked[part] = b
	g.version++
	return true
}

// trialInterval returns the time from a block, or its last trial, to the next one.
// maxTrialInterval is the interval from which it no longer grows. Blocks end long before.
const maxTrialInterval = 24 * time.Hour

func (g *Guard) trialInterval(b Block) time.Duration {
	interval := g.cfg.TrialInterval
	if b.Ambiguous {
		interval = g.cfg.AmbiguousTrialInterval
	}
	// Trials may come from another VM, so its value is not trusted.
	for trials := b.Trials; trials > 0 && interval < maxTrialInterval; trials-- {
		interval *= 10
	}
	return interval
}

// Lift ends the block of a part, as an operator orders. It reports false if there is none.
func (g *Guard) Lift(now time.Duration, part Part) (Progress, bool) {
	var p Progress
	if _, blocked := g.blocked[part]; !blocked {
		return p, false
	}
	g.recordProgress(now, part, now, &p)
	return p, true
}

// Blocked returns all blocked parts, the one seen last first.
func (g *Guard) Blocked(now time.Duration) []Block {
	if len(g.blocked) == 0 {
		return nil
	}
	g.expire(now)
	out := slices.Collect(maps.Values(g.blocked))
	slices.SortFunc(out, func(a, b Block) int {
		if a.Seen != b.Seen {
			return int(b.Seen - a.Seen)
		}
		return strings.Compare(string(a.Part), string(b.Part))
	})
	return out
}

func (g *Guard) expire(now time.Duration) {
	for part, b := range g.blocked {
		if now-b.Seen > g.cfg.BlockTTL {
			delete(g.blocked, part)
			g.version++
		}
	}
}

// seenSteps is the number of steps in which Block.Seen of another VM is taken over within
// BlockTTL.
const seenSteps = 10

// Restore adds a block that was read from the store or sent by another VM, unless a run
// with the part has made progress since. It reports whether the block is new.
func (g *Guard) Restore(now time.Duration, b Block) bool {
	known, exists := g.blocked[b.Part]
	if exists && b.Trials > known.Trials {
		known.Trials, known.NextTrial = b.Trials, max(known.NextTrial, now+g.trialInterval(b))
		g.blocked[b.Part] = known
	}
	if exists {
		// Ages grow by the delay of each message, so small differences are ignored: two VMs
		// would otherwise renew each other's blocks for ever.
		if b.Seen-known.Seen > g.cfg.BlockTTL/seenSteps {
			known.Seen = b.Seen
			g.blocked[b.Part] = known
		}
		return false
	}
	if g.lastProgress(b.Part) > b.Since || now-b.Seen > g.cfg.BlockTTL {
		return false
	}
	g.addBlock(b)
	return true
}

func (g *Guard) addBlock(b Block) {
	b.NextTrial = b.Since + g.trialInterval(b)
	if len(g.blocked) >= g.cfg.MaxBlocked {
		oldest := slices.MinFunc(slices.Collect(maps.Values(g.blocked)), func(a, b Block) int { return int(a.Seen - b.Seen) })
		delete(g.blocked, oldest.Part)
	}
	g.blocked[b.Part] = b
	g.version++
}
