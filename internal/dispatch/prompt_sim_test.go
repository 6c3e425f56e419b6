package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/backend"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/prefixcache"
)

// promptModel lets the simulated engines keep prompts after their requests. It knows nothing
// of the Cores' records: an engine reuses a part if it kept it, and all before it, in all
// layers of the stage, and drops the parts used least recently when its KV cache is short.
type promptModel struct {
	retention   time.Duration
	sessions    map[*vm][]*session
	read, kept  float64       // prompt tokens read and reused, as means over the layers
	firstTokens time.Duration // sum of the times to the first token
	served      int
}

type promptPart struct {
	key    string // team and parts up to this one
	tokens float64
}

// keptPart is a part in an engine's KV cache.
type keptPart struct {
	layers         backend.Layers
	tokens         float64
	usedAt, readAt time.Duration
}

func (k *keptPart) kv() float64 { return k.tokens * float64(k.layers.Len()) }

// session is a caller's series of requests through one VM. Each adds to the session's prompt.
type session struct {
	team, document, id string
	tokens             float64
}

// drawPrompt gives a call the prompt of one of its VM's sessions: the team's rules, one of the
// team's documents and what the session has said so far. An eighth of the calls begin a new
// session.
func (s *simulation) drawPrompt(c *call) {
	if s.prompts == nil {
		return
	}
	sessions := s.prompts.sessions[c.vm]
	i := s.rng.IntN(8)
	if i >= len(sessions) || s.rng.IntN(8) == 0 {
		se := &session{team: fmt.Sprint("team", s.rng.IntN(4)), document: fmt.Sprint("document", s.rng.IntN(50)), id: c.req.ID}
		i = min(i, len(sessions))
		sessions = append(sessions[:i], append([]*session{se}, sessions[min(i+1, len(sessions)):]...)...)
		s.prompts.sessions[c.vm] = sessions
	}
	se := sessions[i]
	se.tokens += 50 + s.rng.ExpFloat64()*250
	parts := []prefixcache.Part{{ID: "rules", Tokens: 600}, {ID: se.document, Tokens: 2000}, {ID: se.id, Tokens: se.tokens}}
	c.req.PromptTokens = 0
	key := se.team
	for _, p := range parts {
		key += "/" + p.ID
		c.parts = append(c.parts, promptPart{key: key, tokens: p.Tokens})
		c.req.PromptTokens += p.Tokens
	}
	c.req.Prompt = prefixcache.NewPrompt(model, se.team, parts)
}

// tokensToRead returns the prompt tokens that e has to read, and keeps the prompt.
func (s *simulation) tokensToRead(e *engineModel, c *call, layers backend.Layers) float64 {
	unread := c.req.PromptTokens
	if s.prompts == nil {
		return unread
	}
	for _, p := range c.parts {
		k := e.kept[p.key]
		if k == nil || k.readAt > s.now || s.now-k.usedAt > s.prompts.retention || !k.layers.Contains(layers) || !e.held.Contains(layers) {
			break
		}
		unread -= min(k.tokens, p.tokens)
	}
	s.prompts.read += unread * s.spec.LayerShare(layers.Len())
	s.prompts.kept += (c.req.PromptTokens - unread) * s.spec.LayerShare(layers.Len())
	readAt := max(e.prefillFreeAt, s.now) + s.spec.PrefillTime(e.accelerator, layers.Len(), unread)
	if e.kept == nil {
		e.kept = map[string]*keptPart{}
	}
	for _, p := range c.parts {
		k := e.kept[p.key]
		if k == nil || k.tokens < p.tokens || !k.layers.Contains(layers) {
			k = &keptPart{layers: layers, tokens: p.tokens, readAt: readAt}
			e.drop(p.key)
			e.kept[p.key] = k
			e.keptKV += k.kv()
		}
		k.usedAt = s.now
	}
	e.dropKept(s.spec.KVCapacity(e.accelerator, e.held.Len()) - e.usedKV)
	return unread
}

func (e *engineModel) drop(key string) {
	if k := e.kept[key]; k != nil {
		e.keptKV -= k.kv()
		delete(e.kept, key)
	}
}

// dropKept drops the parts used least recently until the others fit into free.
func (e *engineModel) dropKept(free float64) {
	if e.keptKV <= free {
		return
	}
	var keys []string
	for key := range e.kept {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		if d := e.kept[a].usedAt - e.kept[b].usedAt; d != 0 {
			return int(d)
		}
		return strings.Compare(b, a) // the last part of a run first
	})
	for _, key := range keys {
		if e.keptKV <= free {
			return
		}
		e.drop(key)
	}
}

// promptDay is the outcome of simulated days.
type promptDay struct {
	read, kept float64
	firstToken time.Duration // sum of the times to the first token
	served     int
	refusals   int // of callers' first tries and of their second ones
	tally      string
}

func (d *promptDay) add(s *simulation) {
	d.read, d.kept = d.read+s.prompts.read, d.kept+s.prompts.kept
	d.firstToken, d.served = d.firstToken+s.prompts.firstTokens, d.served+s.prompts.served
	d.refusals += s.tally.retried + s.tally.refused
	d.tally = s.tally.String()
}

func (d *promptDay) meanFirstToken() time.Duration { return d.firstToken / time.Duration(d.served) }

func (d *promptDay) String() string {
	return fmt.Sprintf("first token %v, tokens read %.0f, reused %.0f, refusals %d; last day: %s", d.meanFirstToken(), d.read, d.kept, d.refusals, d.tally)
}

// equalDomains is a deployment of equal accelerators, in which each range of layers has about
// four servers to choose from in each failure domain.
var equalDomains = []accelerators{{a100: 12}, {a100: 12}, {a100: 12}, {a100: 12}}

// runPrompts simulates days of 20 VMs in four failure domains, with requestsPerSecond in each,
// and engines that keep prompts. VMs take that into account if retention is set.
func runPrompts(t testing.TB, requestsPerSecond float64, retention time.Duration) *promptDay {
	d := &promptDay{}
	for seed := range uint64(3) {
		s := newSimulation(t, seed, 5, equalDomains, func(c *dispatch.Config) { c.Prompts.Retention = retention })
		s.prompts = &promptModel{retention: time.Minute, sessions: map[*vm][]*session{}}
		s.startTraffic(requestsPerSecond, 12*time.Second)
		s.run(30 * time.Second)
		d.add(s)
	}
	return d
}

// Guards against a preference for holders that costs more than it saves: on a calm day first
// tokens must come a tenth sooner, and with more requests than the servers can take, the
// preference must cause no more refusals and no later first tokens.
func TestHeldPromptsOnCalmAndCrowdedDays(t *testing.T) {
	for _, day := range []struct {
		name              string
		requestsPerSecond float64
		maxFirstToken     float64 // relative to the day without
		maxRead           float64
	}{{"calm", 60, 0.9, 0.8}, {"crowded", 100, 1, 0.98}} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			without, with := runPrompts(t, day.requestsPerSecond, 0), runPrompts(t, day.requestsPerSecond, time.Minute)
			t.Log("without:", without)
			t.Log("with:", with)
			require.Less(t, float64(with.meanFirstToken()), day.maxFirstToken*float64(without.meanFirstToken()))
			require.Less(t, with.read, day.maxRead*without.read)
			require.LessOrEqual(t, with.refusals, without.refusals)
			require.Equal(t, day.name == "crowded", without.refusals > 0, "the day is as crowded as its name says")
		})
	}
}
