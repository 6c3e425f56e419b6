package rules

import (
	"fmt"
	"time"
)

// Checker checks one rule for one process.
type Checker interface {
	// Name is the rule's short name.
	Name() string
	// Observe processes an event and the actions that it caused.
	Observe(now time.Duration, event any, actions []any)
	// Finish runs the checks that need all events of a run. Call it after the last
	// Observe.
	Finish()
	// Violations lists the violations of the rule in the order of observation, at
	// most maxViolations.
	Violations() []string
	// Checked counts the checks; zero means that the rule was never exercised.
	Checked() int
}

// EntryCheckers returns a checker for each rule that applies to an entry process.
func EntryCheckers() []Checker {
	return []Checker{newLayerChecker(), newAnswerChecker(), newNotRunChecker(), newAtMostOnceChecker(),
		newLeavingChecker(), newPlannedStopChecker(), newConfigChecker()}
}

// ControlCheckers returns a checker for each rule that applies to a control process.
func ControlCheckers() []Checker {
	return []Checker{newConfigChecker()}
}

// checkerBase implements the methods common to all checkers.
type checkerBase struct {
	name       string
	violations []string
	checked    int
}

// Name implements Checker.
func (b *checkerBase) Name() string { return b.name }

// Violations implements Checker.
func (b *checkerBase) Violations() []string { return b.violations }

// Checked implements Checker.
func (b *checkerBase) Checked() int { return b.checked }

// Finish implements Checker.
func (b *checkerBase) Finish() {}

// maxViolations is the maximum number of violations that one checker lists.
const maxViolations = 20

// addViolation records a violation, up to maxViolations of them.
func (b *checkerBase) addViolation(now time.Duration, format string, args ...any) {
	if len(b.violations) < maxViolations {
		b.violations = append(b.violations, fmt.Sprintf("%s at %s: ", b.name, now)+fmt.Sprintf(format, args...))
	}
}
