package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/report"
	"github.com/catkinstair/catkinstair/internal/standin"
	"github.com/catkinstair/catkinstair/internal/standin/model"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const (
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
	// patienceJitter is the part of a wait that is added at random, so that
	// callers don't come back together.
	patienceJitter = 0.1
)

// caller is one program that uses the system.
type caller struct {
	cfg Config
	id  int
	// run tells this run's requests from those of other runs.
	run    string
	team   string
	calls  *httpcall.Client
	book   *addressBook
	stats  *stats
	record *record
	// stale says that the caller keeps addresses for their whole lifetime.
	stale  bool
	serial atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

func newCaller(cfg Config, id int, st *stats, rec *record) *caller {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(id)+1))
	calls := httpcall.NewDefault()
	team := cfg.Teams[id%len(cfg.Teams)]
	return &caller{
		cfg:    cfg,
		id:     id,
		run:    strconv.FormatInt(st.started.UnixMilli(), 36),
		team:   team,
		calls:  calls,
		book:   newAddressBook(calls, team, cfg.Entries, rand.New(rand.NewPCG(cfg.Seed, uint64(id)+1e6))),
		stats:  st,
		record: rec,
		stale:  random.Float64() < cfg.StaleShare,
		random: random,
	}
}

func (c *caller) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *caller) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// pursuit is one request on its way through its attempts.
type pursuit struct {
	deadline time.Time
	// repeatCut says that an answer which was cut may be asked for again as a
	// new request.
	repeatCut bool
	// try makes one attempt.
	try func(addr string, opt httpcall.Options) *refusal
	// neverSent stays true while no attempt can have reached a backend server.
	neverSent bool
}

// pursue tries until success, the end of patience, or an answer that says that
// coming back is of no use. It returns the last refusal, nil for a success.
func (c *caller) pursue(p *pursuit) *refusal {
	var last *refusal
	p.neverSent = true
	for n := range c.cfg.MaxAttempts {
		last = c.attempt(p, n > 0)
		c.stats.attempt(last)
		if last == nil {
			return nil
		}
		if last.verdict != verdict.NotRun {
			p.neverSent = false
		}
		wait, again := c.comeBack(p, last, n)
		if !again || time.Now().Add(wait).After(p.deadline) {
			return last
		}
		time.Sleep(wait)
	}
	return last
}

func (c *caller) attempt(p *pursuit, fresh bool) *refusal {
	addr, _, err := c.book.current()
	if err != nil {
		return &refusal{verdict: verdict.NotRun, cause: causeNoAddresses}
	}
	opt := httpcall.Options{Deadline: p.deadline, NewConnection: fresh}
	r := p.try(addr, opt)
	if r == nil {
		return nil
	}
	if r.cause != string(verdict.CauseOverLimit) {
		c.book.leave(addr)
	}
	if !c.stale && (!r.answered || r.cause == string(verdict.CauseKeyHomeGone)) {
		c.book.askAgain()
	}
	return r
}

// comeBack says whether and when to repeat.
func (c *caller) comeBack(p *pursuit, r *refusal, attempts int) (time.Duration, bool) {
	wait := min(backoffFirst<<attempts, backoffMost)
	if r.answered {
		if r.retryAfter == 0 && !(p.repeatCut && r.verdict == verdict.MayHaveRun) {
			return 0, false
		}
		wait = max(wait, r.retryAfter)
	}
	return wait + time.Duration(patienceJitter*c.float()*float64(wait)), true
}

// runCompletion makes one request for a completion and checks its answer.
func (c *caller) runCompletion(planned time.Time) {
	in := completion{
		Model:     c.cfg.Model,
		Prompt:    c.prompt(),
		MaxTokens: c.cfg.MaxTokens,
		Stream:    c.float() < c.cfg.StreamShare,
		Seed:      int64(c.intN(1 << 30)),
	}
	var got completed
	p := &pursuit{deadline: planned.Add(c.cfg.Patience), repeatCut: true}
	p.try = func(addr string, opt httpcall.Options) *refusal {
		got = c.complete(addr, in, opt)
		c.checkAnswer(in, got)
		return got.refused
	}
	if last := c.pursue(p); last != nil {
		c.stats.gaveUp(kindCompletion, last.label())
		if p.neverSent {
			c.record.refusedPrompt(standin.PromptHash(model.PrefillData(in.Prompt, in.Seed)))
		}
		return
	}
	tokens := strings.Count(got.text, " w")
	c.stats.succeeded(kindCompletion, planned, tokens, got.tokens)
}

// name returns a name that no other request has.
func (c *caller) name() string {
	return fmt.Sprintf("%s-%d-%d", c.run, c.id, c.serial.Add(1))
}

// prompt returns a text that no other request has. Its start is shared with
// some others, as prompts of one template are.
func (c *caller) prompt() string {
	var text strings.Builder
	fmt.Fprintf(&text, "template %d of the house for short and friendly replies to treasurers and coaches:", c.intN(20))
	for range c.cfg.PromptWords {
		text.WriteString(" g" + strconv.Itoa(c.intN(1000)))
	}
	text.WriteString(" request " + c.name())
	return text.String()
}

func (c *caller) checkAnswer(in completion, got completed) {
	result := judge(in, c.cfg.Layers, got)
	c.stats.check(func(checks *report.Checks) {
		if got.refused == nil {
			checks.Answers++
		}
		switch result {
		case answerWrong:
			checks.WrongAnswers++
		case answerIncomplete:
			checks.Incomplete++
		default:
			return
		}
		sample(checks, fmt.Sprintf("%s answer to %q seed %d: got %q finish %q", result, in.Prompt, in.Seed, got.text, got.finish))
	})
}

// runRead makes one call that changes nothing.
func (c *caller) runRead(planned time.Time) {
	call := serviceCall{method: "GET", path: "/stock/" + strconv.Itoa(c.intN(500))}
	c.runService(kindRead, planned, call)
}

// runReservation makes one call that may not be repeated, with a key.
func (c *caller) runReservation(planned time.Time) {
	name := c.name()
	call := serviceCall{
		method: "POST",
		path:   "/reservations",
		body:   []byte(`{"club":"klubb ` + strconv.Itoa(c.id) + `","pallets":1,"reference":"` + name + `"}`),
		key:    c.key(name),
	}
	last, p := c.runService(kindReservation, planned, call)
	c.record.reserved(reservation{key: call.key, bodyHash: standin.BodyHash(call.body), last: last, neverSent: p.neverSent})
}

// key builds a key on the system's prefix, or one of the caller's own.
func (c *caller) key(name string) string {
	_, prefix, err := c.book.current()
	if err != nil || prefix == "" || c.float() < c.cfg.OwnKeyShare {
		return "own-" + name
	}
	return prefix + name
}

func (c *caller) runService(k kind, planned time.Time, call serviceCall) (*refusal, *pursuit) {
	var got served
	p := &pursuit{deadline: planned.Add(c.cfg.Patience), repeatCut: k == kindRead}
	p.try = func(addr string, opt httpcall.Options) *refusal {
		if short := time.Now().Add(c.cfg.AttemptTimeout); short.Before(opt.Deadline) {
			opt.Deadline = short
		}
		got = c.serve(addr, call, opt)
		return got.refused
	}
	last := c.pursue(p)
	if last != nil {
		c.stats.gaveUp(k, last.label())
		return last, p
	}
	if !rightAnswer(call, got.body) {
		c.stats.check(func(checks *report.Checks) {
			checks.WrongAnswers++
			sample(checks, fmt.Sprintf("wrong answer to %s %s key %q: %q", call.method, call.path, call.key, got.body))
		})
	}
	c.stats.check(func(checks *report.Checks) { checks.Answers++ })
	c.stats.succeeded(k, planned, 0, nil)
	return nil, p
}
