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
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// retryJitter is the largest share of a delay that is added at random, so that
	// callers don't retry at the same time.
	retryJitter = 0.1
)

// caller simulates one client of the system.
type caller struct {
	cfg Config
	id  int
	// runID distinguishes this run's requests from those of other runs.
	runID      string
	team       string
	client     *httpcall.Client
	addresses  *addressCache
	stats      *stats
	outcomeLog *outcomeLog
	// stale makes the caller keep addresses for their whole lifetime, also after failures.
	stale  bool
	serial atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

func newCaller(cfg Config, id int, st *stats, outcomes *outcomeLog) *caller {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(id)+1))
	client := httpcall.NewDefault()
	team := cfg.Teams[id%len(cfg.Teams)]
	return &caller{
		cfg:        cfg,
		id:         id,
		runID:      strconv.FormatInt(st.started.UnixMilli(), 36),
		team:       team,
		client:     client,
		addresses:  newAddressCache(client, team, cfg.Entries, rand.New(rand.NewPCG(cfg.Seed, uint64(id)+1e6))),
		stats:      st,
		outcomeLog: outcomes,
		stale:      random.Float64() < cfg.StaleShare,
		random:     random,
	}
}

func (c *caller) randomFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *caller) randomIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// request is one request with all its attempts.
type request struct {
	deadline time.Time
	// idempotent allows a retry, as a new request, after a may-have-run verdict without
	// Retry-After.
	idempotent bool
	// send makes one attempt.
	send func(addr string, opt httpcall.Options) *refusal
	// allNotRun stays true while the verdict of every attempt is not-run, so that none
	// can have reached a backend server.
	allNotRun bool
}

// sendWithRetries makes attempts until one succeeds, the deadline or the attempt limit
// is reached, or a refusal rules out a retry. It returns nil for a success, otherwise the
// last refusal.
func (c *caller) sendWithRetries(req *request) *refusal {
	var last *refusal
	req.allNotRun = true
	for n := range c.cfg.MaxAttempts {
		last = c.attempt(req, n > 0)
		c.stats.recordAttempt(last)
		if last == nil {
			return nil
		}
		if last.verdict != verdict.NotRun {
			req.allNotRun = false
		}
		wait, retry := c.retryDelay(req, last, n)
		if !retry || time.Now().Add(wait).After(req.deadline) {
			return last
		}
		time.Sleep(wait)
	}
	return last
}

// attempt makes one attempt at the current address. After a failure the caller moves to
// the next address, except after a refusal for exceeding its limit.
func (c *caller) attempt(req *request, newConnection bool) *refusal {
	addr, _, err := c.addresses.get()
	if err != nil {
		return &refusal{verdict: verdict.NotRun, cause: causeNoAddresses}
	}
	opt := httpcall.Options{Deadline: req.deadline, NewConnection: newConnection}
	r := req.send(addr, opt)
	if r == nil {
		return nil
	}
	if r.cause != string(verdict.CauseOverLimit) {
		c.addresses.advance(addr)
	}
	if !c.stale && (!r.answered || r.cause == string(verdict.CauseKeyHomeGone)) {
		c.addresses.expire()
	}
	return r
}

// retryDelay returns the delay before the next attempt, and whether to make one: after no
// answer always, after a refusal only with Retry-After or as req.idempotent allows.
func (c *caller) retryDelay(req *request, r *refusal, attempts int) (time.Duration, bool) {
	wait := min(initialBackoff<<attempts, maxBackoff)
	if r.answered {
		if r.retryAfter == 0 && !(req.idempotent && r.verdict == verdict.MayHaveRun) {
			return 0, false
		}
		wait = max(wait, r.retryAfter)
	}
	return wait + time.Duration(retryJitter*c.randomFloat()*float64(wait)), true
}

// runCompletion requests one completion and checks every answer to it.
func (c *caller) runCompletion(planned time.Time) {
	in := completionRequest{
		Model:     c.cfg.Model,
		Prompt:    c.newPrompt(),
		MaxTokens: c.cfg.MaxTokens,
		Stream:    c.randomFloat() < c.cfg.StreamShare,
		Seed:      int64(c.randomIntN(1 << 30)),
	}
	var got completionResult
	req := &request{deadline: planned.Add(c.cfg.RequestTimeout), idempotent: true}
	req.send = func(addr string, opt httpcall.Options) *refusal {
		got = c.requestCompletion(addr, in, opt)
		c.checkCompletion(in, got)
		return got.refused
	}
	if last := c.sendWithRetries(req); last != nil {
		c.stats.recordFailure(kindCompletion, last.label())
		if req.allNotRun {
			c.outcomeLog.addNotRunPrompt(standin.PromptHash(model.PrefillData(in.Prompt, in.Seed)))
		}
		return
	}
	tokens := strings.Count(got.text, " w")
	c.stats.recordSuccess(kindCompletion, planned, tokens, got.tokens)
}

// requestID returns an ID that no other request uses.
func (c *caller) requestID() string {
	return fmt.Sprintf("%s-%d-%d", c.runID, c.id, c.serial.Add(1))
}

// newPrompt returns a unique prompt. Its start is one of 20 that requests share, like
// prompts made from the same template.
func (c *caller) newPrompt() string {
	var text strings.Builder
	fmt.Fprintf(&text, "template %d of the house for short and friendly replies to treasurers and coaches:", c.randomIntN(20))
	for range c.cfg.PromptWords {
		text.WriteString(" g" + strconv.Itoa(c.randomIntN(1000)))
	}
	text.WriteString(" request " + c.requestID())
	return text.String()
}

func (c *caller) checkCompletion(in completionRequest, got completionResult) {
	result := compareWithModel(in, c.cfg.Layers, got)
	c.stats.updateChecks(func(checks *report.Checks) {
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
		addSample(checks, fmt.Sprintf("%s answer to %q seed %d: got %q finish %q", result, in.Prompt, in.Seed, got.text, got.finish))
	})
}

// runRead makes one idempotent service call, without a key.
func (c *caller) runRead(planned time.Time) {
	call := serviceCall{method: "GET", path: "/stock/" + strconv.Itoa(c.randomIntN(500))}
	c.runService(kindRead, planned, call)
}

// runReservation makes one non-idempotent service call, with an idempotency key.
func (c *caller) runReservation(planned time.Time) {
	requestID := c.requestID()
	call := serviceCall{
		method:         "POST",
		path:           "/reservations",
		body:           []byte(`{"club":"klubb ` + strconv.Itoa(c.id) + `","pallets":1,"reference":"` + requestID + `"}`),
		idempotencyKey: c.idempotencyKey(requestID),
	}
	lastRefusal, req := c.runService(kindReservation, planned, call)
	c.outcomeLog.addReservation(reservation{idempotencyKey: call.idempotencyKey, bodyHash: standin.BodyHash(call.body), lastRefusal: lastRefusal, allNotRun: req.allNotRun})
}

// idempotencyKey returns a key that starts with the entry's prefix, or an own key with
// the probability OwnKeyShare or if the prefix is not available.
func (c *caller) idempotencyKey(requestID string) string {
	_, prefix, err := c.addresses.get()
	if err != nil || prefix == "" || c.randomFloat() < c.cfg.OwnKeyShare {
		return "own-" + requestID
	}
	return prefix + requestID
}

func (c *caller) runService(k requestKind, planned time.Time, call serviceCall) (*refusal, *request) {
	var got serviceResult
	req := &request{deadline: planned.Add(c.cfg.RequestTimeout), idempotent: k == kindRead}
	req.send = func(addr string, opt httpcall.Options) *refusal {
		if attemptDeadline := time.Now().Add(c.cfg.AttemptTimeout); attemptDeadline.Before(opt.Deadline) {
			opt.Deadline = attemptDeadline
		}
		got = c.callService(addr, call, opt)
		return got.refused
	}
	last := c.sendWithRetries(req)
	if last != nil {
		c.stats.recordFailure(k, last.label())
		return last, req
	}
	if !isExpectedAnswer(call, got.body) {
		c.stats.updateChecks(func(checks *report.Checks) {
			checks.WrongAnswers++
			addSample(checks, fmt.Sprintf("wrong answer to %s %s key %q: %q", call.method, call.path, call.idempotencyKey, got.body))
		})
	}
	c.stats.updateChecks(func(checks *report.Checks) { checks.Answers++ })
	c.stats.recordSuccess(k, planned, 0, nil)
	return nil, req
}
