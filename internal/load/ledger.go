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
	// maxLedgerBytes bounds the size of the ledger's response body.
	maxLedgerBytes = 256 << 20
)

// reservation is the final outcome of one reservation as the caller saw it.
type reservation struct {
	idempotencyKey string
	bodyHash       string
	// lastRefusal is nil for a confirmed reservation.
	lastRefusal *refusal
	// allNotRun is true if the verdict of every attempt was not-run.
	allNotRun bool
}

// outcomeLog collects the outcomes that are compared with the ledger at the end.
type outcomeLog struct {
	mu           sync.Mutex
	reservations []reservation
	// notRunPrompts are the hashes of prompts refused as not run on every attempt.
	notRunPrompts []string
}

func (l *outcomeLog) addReservation(res reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservations = append(l.reservations, res)
}

func (l *outcomeLog) addNotRunPrompt(hash string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRunPrompts = append(l.notRunPrompts, hash)
}

// fetchLedger fetches the stand-ins' record of the calls and prefills that they executed.
func fetchLedger(controlAddr string) (standin.Ledger, error) {
	cfg := httpcall.DefaultConfig()
	cfg.MaxBodyBytes = maxLedgerBytes
	client, err := httpcall.New(cfg)
	if err != nil {
		return standin.Ledger{}, err
	}
	defer client.Close()
	var ledger standin.Ledger
	err = client.JSON(controlAddr, "GET", "/ledger", nil, &ledger, httpcall.Within(ledgerTimeout))
	return ledger, err
}

// compare counts in checks where the logged outcomes contradict the ledger.
func (l *outcomeLog) compare(ledger standin.Ledger, checks *report.Checks) {
	l.mu.Lock()
	defer l.mu.Unlock()
	executed := map[string]int{}
	for _, e := range ledger.Calls {
		executed[e.Key+" "+e.BodyHash] += e.Count
	}
	for _, res := range l.reservations {
		checkReservation(res, executed[res.idempotencyKey+" "+res.bodyHash], checks)
	}
	for _, hash := range l.notRunPrompts {
		if ledger.Prefills[hash] > 0 {
			checks.WrongNotRun++
			addSample(checks, "completion refused as not run was prefilled: prompt "+hash)
		}
	}
}

// checkReservation checks one reservation; executed is its count in the ledger.
func checkReservation(res reservation, executed int, checks *report.Checks) {
	checks.Reservations++
	if executed > 1 {
		checks.Doubled++
		addSample(checks, fmt.Sprintf("reservation %s was executed %d times", res.idempotencyKey, executed))
	}
	switch {
	case res.lastRefusal == nil && executed == 0:
		checks.Lost++
		addSample(checks, fmt.Sprintf("reservation %s was confirmed and is not in the ledger", res.idempotencyKey))
	case res.lastRefusal == nil:
	case res.refusedAsNotRun() && executed > 0:
		checks.WrongNotRun++
		addSample(checks, fmt.Sprintf("reservation %s was refused as not run (%s, every attempt: %t) and was executed",
			res.idempotencyKey, res.lastRefusal.cause, res.allNotRun))
	case !res.refusedAsNotRun():
		checks.Unresolved++
	}
}

// refusedAsNotRun reports whether the caller may assume that the reservation was not
// executed: the last answer's verdict was not-run or, if the last attempt got no answer,
// every attempt was refused as not run or failed before a byte was sent.
func (r reservation) refusedAsNotRun() bool {
	if r.lastRefusal.answered {
		return r.lastRefusal.verdict == verdict.NotRun
	}
	return r.allNotRun
}
