package config

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ApplyConfig sets how a sheet is applied.
type ApplyConfig struct {
	// Deadline ends an application that could not be decided, in time since the
	// application began. Default 20 s.
	Deadline time.Duration `json:"deadline_ns"`
	// RetryWait is the wait before the service is asked again. Default 200 ms.
	RetryWait time.Duration `json:"retry_wait_ns"`
	// RetiredVersions is for how many versions a part outlives its force, so
	// that a slow reader of an older head still finds it. Default 16.
	RetiredVersions uint64 `json:"retired_versions"`
	// RecentSheets is how many accepted sheets the head remembers. Default 32.
	RecentSheets int `json:"recent_sheets"`
}

// DefaultApplyConfig returns the defaults.
func DefaultApplyConfig() ApplyConfig {
	return ApplyConfig{Deadline: 20 * time.Second, RetryWait: 200 * time.Millisecond, RetiredVersions: 16, RecentSheets: 32}
}

// Validate names every faulty field.
func (c ApplyConfig) Validate() error {
	var err error
	if c.Deadline <= 0 {
		err = errors.Join(err, errors.Newf("Deadline is %s, want more than 0", c.Deadline))
	}
	if c.RetryWait <= 0 {
		err = errors.Join(err, errors.Newf("RetryWait is %s, want more than 0", c.RetryWait))
	}
	if c.RecentSheets < 1 {
		err = errors.Join(err, errors.Newf("RecentSheets is %d, want 1 or more", c.RecentSheets))
	}
	return err
}

type applyPhase uint8

const (
	phaseIdle applyPhase = iota
	phaseHead
	phaseParts
	phaseStore
	phaseSwap
	phaseWait
	phaseDone
)

// Apply takes one sheet through acceptance.
type Apply struct {
	cfg      ApplyConfig
	sheet    Sheet
	operator string
	texts    map[PartHash]string

	phase    applyPhase
	began    time.Duration
	wakeAt   time.Duration
	head     Head
	revision uint64
	next     Snapshot
	changes  []Change
	swapped  bool
	made     bool
	lostRace bool
	raced    string
	reason   string
}

// NewApply prepares the application of sheet. known holds parts that the
// process has already, by hash; they aren't read again.
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

// Result is the version that this application made, for the Spread of the VM
// that ran it.
func (a *Apply) Result() (Snapshot, bool) { return a.next, a.made }

// Step takes one event.
func (a *Apply) Step(now time.Duration, ev ApplyEvent) []ApplyAction {
	if a.phase == phaseDone {
		return nil
	}
	if a.phase != phaseIdle && now-a.began >= a.cfg.Deadline {
		return a.giveUp()
	}
	switch ev := ev.(type) {
	case ApplyBegin:
		a.began = now
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
		return a.wait(now, ev.Reason)
	case ApplyTick:
		if a.phase == phaseWait && now >= a.wakeAt {
			return a.loadHead()
		}
	}
	return nil
}

func (a *Apply) loadHead() []ApplyAction {
	a.phase = phaseHead
	return []ApplyAction{LoadHead{}, WakeApply{At: a.began + a.cfg.Deadline}}
}

// wait asks the service again after a pause. Whatever had been written is read
// back from the head first.
func (a *Apply) wait(now time.Duration, reason string) []ApplyAction {
	a.reason = reason
	a.phase = phaseWait
	a.wakeAt = now + a.cfg.RetryWait
	return []ApplyAction{WakeApply{At: a.wakeAt}}
}

func (a *Apply) headLoaded(now time.Duration, ev HeadLoaded) []ApplyAction {
	if a.phase != phaseHead {
		return nil
	}
	a.head, a.revision = ev.Head, ev.Revision
	if a.lostRace {
		a.raced = ev.Head.Operator
	}
	if accepted, ok := findAccepted(a.head, a.sheet.Hash); ok {
		return a.accepted(accepted)
	}
	lacking := MissingParts(a.head, a.texts)
	if len(lacking) == 0 {
		return a.judge(now)
	}
	a.phase = phaseParts
	return []ApplyAction{LoadParts{Hashes: lacking}}
}

// accepted ends an application whose sheet the head names already: by an
// earlier swap of this one whose reply was lost, or by somebody else's.
func (a *Apply) accepted(by AcceptedSheet) []ApplyAction {
	if a.swapped && by.Operator == a.operator {
		a.made = by.Version == a.next.Head.Version && by.Version == a.head.Version
		return a.done(Outcome{Kind: OutcomeAccepted, Version: by.Version, Changes: a.changes})
	}
	return a.done(Outcome{
		Kind: OutcomeUnchanged, Version: by.Version,
		Detail: fmt.Sprintf("the same sheet was accepted as version %d, applied by %s", by.Version, by.Operator),
	})
}

func (a *Apply) partsLoaded(now time.Duration, ev PartsLoaded) []ApplyAction {
	if a.phase != phaseParts {
		return nil
	}
	for hash, text := range ev.Texts {
		if HashPart(text) == hash {
			a.texts[hash] = text
		}
	}
	if len(MissingParts(a.head, a.texts)) > 0 {
		return a.wait(now, "the service lacks parts of the head that it gave")
	}
	return a.judge(now)
}

func (a *Apply) judge(now time.Duration) []ApplyAction {
	accepted := State{}
	if a.head.Version > 0 {
		snapshot, err := Assemble(a.head, a.texts, State{})
		if err != nil {
			return a.wait(now, err.Error())
		}
		accepted = snapshot.State
	}
	next, faults := Evaluate(accepted, a.head.Day, a.sheet)
	if len(faults) > 0 {
		return a.done(Outcome{Kind: OutcomeRefused, Version: a.head.Version, Faults: faults, LostRaceTo: a.raced})
	}
	if a.head.Version > 0 && next.Equal(accepted) {
		return a.done(Outcome{Kind: OutcomeUnchanged, Version: a.head.Version, LostRaceTo: a.raced, Detail: "every row is in force already"})
	}
	a.changes = Diff(accepted, next)
	a.next = a.newVersion(next)
	return a.storeParts()
}

func (a *Apply) partsStored() []ApplyAction {
	if a.phase != phaseStore {
		return nil
	}
	a.phase = phaseSwap
	a.swapped = true
	return []ApplyAction{SwapHead{Head: a.next.Head, Expect: a.revision}}
}

func (a *Apply) headSwapped() []ApplyAction {
	if a.phase != phaseSwap {
		return nil
	}
	a.made = true
	actions := a.done(Outcome{Kind: OutcomeAccepted, Version: a.next.Head.Version, Changes: a.changes, LostRaceTo: a.raced})
	if expired := a.expired(); len(expired) > 0 {
		actions = append(actions, DeleteParts{Hashes: expired})
	}
	return actions
}

// headConflict judges the sheet again against the head that won.
func (a *Apply) headConflict() []ApplyAction {
	if a.phase != phaseSwap {
		return nil
	}
	a.lostRace = true
	return a.loadHead()
}

func (a *Apply) giveUp() []ApplyAction {
	kind, detail := OutcomeUnavailable, "the key-value service did not answer; nothing was changed"
	if a.swapped {
		kind, detail = OutcomeUnknown, "the key-value service took the change but its reply was lost; apply the same sheet again to learn the outcome"
	}
	if a.reason != "" {
		detail += " (" + a.reason + ")"
	}
	return a.done(Outcome{Kind: kind, Version: a.head.Version, Detail: detail})
}

func (a *Apply) done(outcome Outcome) []ApplyAction {
	a.phase = phaseDone
	return []ApplyAction{Applied{Outcome: outcome}}
}
