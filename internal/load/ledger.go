package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/report"
	"github.com/catkinstair/catkinstair/internal/standin"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

const (
	ledgerTimeout = 20 * time.Second
	// ledgerBytes bounds the ledger's size.
	ledgerBytes = 256 << 20
)

// reservation is what the caller was told of one reservation at last.
type reservation struct {
	key      string
	bodyHash string
	// last is the last refusal, nil for a confirmed reservation.
	last *refusal
	// neverSent says that every attempt was refused as not run.
	neverSent bool
}

// record keeps what has to be compared with the ledger at the end.
type record struct {
	mu           sync.Mutex
	reservations []reservation
	// refused are the prompts that were refused as not run on every attempt.
	refused []string
}

func (r *record) reserved(one reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservations = append(r.reservations, one)
}

func (r *record) refusedPrompt(hash string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, hash)
}

// readLedger reads what really ran at the stand-ins.
func readLedger(control string) (standin.Ledger, error) {
	cfg := httpcall.DefaultConfig()
	cfg.MaxBodyBytes = ledgerBytes
	calls, err := httpcall.New(cfg)
	if err != nil {
		return standin.Ledger{}, err
	}
	defer calls.Close()
	var ledger standin.Ledger
	err = calls.JSON(control, "GET", "/ledger", nil, &ledger, httpcall.Within(ledgerTimeout))
	return ledger, err
}

// compare checks the record against the ledger.
func (r *record) compare(ledger standin.Ledger, checks *report.Checks) {
	r.mu.Lock()
	defer r.mu.Unlock()
	executed := map[string]int{}
	for _, e := range ledger.Calls {
		executed[e.Key+" "+e.BodyHash] += e.Count
	}
	for _, one := range r.reservations {
		compareOne(one, executed[one.key+" "+one.bodyHash], checks)
	}
	for _, hash := range r.refused {
		if ledger.Prefills[hash] > 0 {
			checks.WrongNotRun++
			sample(checks, "completion refused as not run was prefilled: prompt "+hash)
		}
	}
}

// compareOne checks one reservation that was executed so many times.
func compareOne(one reservation, executed int, checks *report.Checks) {
	checks.Reservations++
	if executed > 1 {
		checks.Doubled++
		sample(checks, fmt.Sprintf("reservation %s was executed %d times", one.key, executed))
	}
	switch {
	case one.last == nil && executed == 0:
		checks.Lost++
		sample(checks, fmt.Sprintf("reservation %s was confirmed and is not in the ledger", one.key))
	case one.last == nil:
	case one.refusedAsNotRun() && executed > 0:
		checks.WrongNotRun++
		sample(checks, fmt.Sprintf("reservation %s was refused as not run (%s, every attempt: %t) and was executed",
			one.key, one.last.cause, one.neverSent))
	case !one.refusedAsNotRun():
		checks.Unresolved++
	}
}

// refusedAsNotRun says whether the caller may take it that the reservation was
// not executed: the last answer said so, or every attempt came to nothing
// before a byte was sent.
func (r reservation) refusedAsNotRun() bool {
	if r.last.answered {
		return r.last.verdict == verdict.NotRun
	}
	return r.neverSent
}
