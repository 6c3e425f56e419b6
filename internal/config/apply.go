package config

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ApplyConfig holds the parameters of Apply.
type ApplyConfig struct {
	// Deadline is the time from ApplyBegin after which an undecided application ends.
	// Default 20 s.
	Deadline time.Duration `json:"deadline_ns"`
	// RetryWait is the delay before the service is retried. Default 200 ms.
	RetryWait time.Duration `json:"retry_wait_ns"`
	// RetiredVersions is the number of versions for which a part is kept after it is no
	// longer in force, so that a slow reader of an older head still finds it. Default 16.
	RetiredVersions uint64 `json:"retired_versions"`
	// RecentSheets is the number of accepted sheets listed in the head. Default 32.
	RecentSheets int `json:"recent_sheets"`
}

// DefaultApplyConfig returns the defaults.
func DefaultApplyConfig() ApplyConfig {
	return ApplyConfig{Deadline: 20 * time.Second, RetryWait: 200 * time.Millisecond, RetiredVersions: 16, RecentSheets: 32}
}

// Validate reports every invalid field.
func (c ApplyConfig) Validate() error {
	var err error
	if c.Deadline <= 0 {
		err = errors.Join(err, errors.Newf("Deadline is %s, must be positive", c.Deadline))
	}
	if c.RetryWait <= 0 {
		err = errors.Join(err, errors.Newf("RetryWait is %s, must be positive", c.RetryWait))
	}
	if c.RecentSheets < 1 {
		err = errors.Join(err, errors.Newf("RecentSheets is %d, must be positive", c.RecentSheets))
	}
	return err
}

type applyPhase uint8

const (
	phaseIdle applyPhase = iota
	phaseLoadHead
	phaseLoadParts
	phaseStoreParts
	phaseSwapHead
	phaseWait
	phaseDone
)

// Apply is the state machine that applies one sheet.
type Apply struct {
	cfg      ApplyConfig
	sheet    Sheet
	operator string
	texts    map[PartHash]string // known parts by hash

	phase         applyPhase
	startedAt     time.Duration
	wakeAt        time.Duration
	head          Head
	revision      uint64
	next          Snapshot // the version to be swapped in
	changes       []Change
	swapSent      bool
	created       bool // next is known to be in force
	lostRace      bool
	lostRaceTo    string
	failureReason string
}

// NewApply returns an Apply for sheet. known holds parts that the process already has, by
// hash; they are not read again.
func NewApply(cfg ApplyConfig, sheet Sheet, operator string, known map[PartHash]string) (*Apply, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if sheet.Hash == "" {
		return nil, errors.New("the sheet was not parsed by ParseSheet")
	}
	texts := map[PartHash]string{}
	for hash, text := range known {
		texts[hash] = text
	}
	return &Apply{cfg: cfg, sheet: sheet, operator: operator, texts: texts}, nil
}

// Result returns the snapshot that this application put in force, if any, for the Spread
// of the same VM.
func (a *Apply) Result() (Snapshot, bool) { return a.next, a.created }

// Step processes one event.
func (a *Apply) Step(now time.Duration, ev ApplyEvent) []ApplyAction {
	if a.phase == phaseDone {
		return nil
	}
	if a.phase != phaseIdle && now-a.startedAt >= a.cfg.Deadline {
		return a.giveUp()
	}
	switch ev := ev.(type) {
	case ApplyBegin:
		a.startedAt = now
		return a.loadHead()
	case HeadLoaded:
		return a.headLoaded(now, ev)
	case PartsLoaded:
		return a.partsLoaded(now, ev)
	case PartsStored:
		return a.partsStored()
	case HeadSwapped:
		return a.headSwapped()
	case HeadConflict:
		return a.headConflict()
	case ServiceFailed:
		return a.retryLater(now, ev.Reason)
	case ApplyTick:
		if a.phase == phaseWait && now >= a.wakeAt {
			return a.loadHead()
		}
	}
	return nil
}

func (a *Apply) loadHead() []ApplyAction {
	a.phase = phaseLoadHead
	return []ApplyAction{LoadHead{}, WakeApply{At: a.startedAt + a.cfg.Deadline}}
}

// retryLater starts again after RetryWait by reading the head, which shows whether a write
// with a lost reply took effect.
func (a *Apply) retryLater(now time.Duration, failureReason string) []ApplyAction {
	a.failureReason = failureReason
	a.phase = phaseWait
	a.wakeAt = now + a.cfg.RetryWait
	return []ApplyAction{WakeApply{At: a.wakeAt}}
}

func (a *Apply) headLoaded(now time.Duration, ev HeadLoaded) []ApplyAction {
	if a.phase != phaseLoadHead {
		return nil
	}
	a.head, a.revision = ev.Head, ev.Revision
	if a.lostRace {
		a.lostRaceTo = ev.Head.Operator
	}
	if accepted, ok := findAccepted(a.head, a.sheet.Hash); ok {
		return a.alreadyAccepted(accepted)
	}
	missing := MissingParts(a.head, a.texts)
	if len(missing) == 0 {
		return a.evaluate(now)
	}
	a.phase = phaseLoadParts
	return []ApplyAction{LoadParts{Hashes: missing}}
}

// alreadyAccepted ends an application whose sheet is already listed in the head, either by
// its own swap whose reply was lost or by another application.
func (a *Apply) alreadyAccepted(by AcceptedSheet) []ApplyAction {
	if a.swapSent && by.Operator == a.operator {
		a.created = by.Version == a.next.Head.Version && by.Version == a.head.Version
		return a.finish(Outcome{Kind: OutcomeAccepted, Version: by.Version, Changes: a.changes})
	}
	return a.finish(Outcome{
		Kind: OutcomeUnchanged, Version: by.Version,
		Detail: fmt.Sprintf("the same sheet was accepted as version %d, applied by %s", by.Version, by.Operator),
	})
}

func (a *Apply) partsLoaded(now time.Duration, ev PartsLoaded) []ApplyAction {
	if a.phase != phaseLoadParts {
		return nil
	}
	for hash, text := range ev.Texts {
		if HashPart(text) == hash {
			a.texts[hash] = text
		}
	}
	if len(MissingParts(a.head, a.texts)) > 0 {
		return a.retryLater(now, "the service lacks parts that its head names")
	}
	return a.evaluate(now)
}

func (a *Apply) evaluate(now time.Duration) []ApplyAction {
	accepted := State{}
	if a.head.Version > 0 {
		snapshot, err := Assemble(a.head, a.texts, State{})
		if err != nil {
			return a.retryLater(now, err.Error())
		}
		accepted = snapshot.State
	}
	next, faults := Evaluate(accepted, a.head.Day, a.sheet)
	if len(faults) > 0 {
		return a.finish(Outcome{Kind: OutcomeRefused, Version: a.head.Version, Faults: faults, LostRaceTo: a.lostRaceTo})
	}
	if a.head.Version > 0 && next.Equal(accepted) {
		return a.finish(Outcome{Kind: OutcomeUnchanged, Version: a.head.Version, LostRaceTo: a.lostRaceTo, Detail: "every row is in force already"})
	}
	a.changes = Diff(accepted, next)
	a.next = a.newVersion(next)
	return a.storeParts()
}

func (a *Apply) partsStored() []ApplyAction {
	if a.phase != phaseStoreParts {
		return nil
	}
	a.phase = phaseSwapHead
	a.swapSent = true
	return []ApplyAction{SwapHead{Head: a.next.Head, Expect: a.revision}}
}

func (a *Apply) headSwapped() []ApplyAction {
	if a.phase != phaseSwapHead {
		return nil
	}
	a.created = true
	actions := a.finish(Outcome{Kind: OutcomeAccepted, Version: a.next.Head.Version, Changes: a.changes, LostRaceTo: a.lostRaceTo})
	if expired := a.expired(); len(expired) > 0 {
		actions = append(actions, DeleteParts{Hashes: expired})
	}
	return actions
}

// headConflict evaluates the sheet again against the head that won the race.
func (a *Apply) headConflict() []ApplyAction {
	if a.phase != phaseSwapHead {
		return nil
	}
	a.lostRace = true
	return a.loadHead()
}

func (a *Apply) giveUp() []ApplyAction {
	kind, detail := OutcomeUnavailable, "the key-value service did not answer; nothing was changed"
	if a.swapSent {
		kind, detail = OutcomeUnknown, "the key-value service took the change but its reply was lost; apply the same sheet again to learn the outcome"
	}
	if a.failureReason != "" {
		detail += " (" + a.failureReason + ")"
	}
	return a.finish(Outcome{Kind: kind, Version: a.head.Version, Detail: detail})
}

func (a *Apply) finish(outcome Outcome) []ApplyAction {
	a.phase = phaseDone
	return []ApplyAction{Applied{Outcome: outcome}}
}
