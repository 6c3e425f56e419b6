package rules

import (
	"fmt"
	"time"
)

// Checker watches one process.
type Checker interface {
	// Name is the rule's short name.
	Name() string
	// Observe sees an event and the actions that it brought about.
	Observe(now time.Duration, event any, actions []any)
	// Finish judges what only the end shows.
	Finish()
	// Violations lists what broke the rule, in order.
	Violations() []string
	// Judged counts what was held to the rule: zero means that nothing was.
	Checked() int
}

// Entry returns a checker for each rule that an entry process is held to.
func EntryCheckers() []Checker {
	return []Checker{newLayers(), newAnswers(), newNotRun(), newOnce(), newLeaving(), newDrain(), newConfig()}
}

// Control returns a checker for each rule that a control process is held to.
func ControlCheckers() []Checker {
	return []Checker{newConfig()}
}

// base gathers violations. Its methods serve every checker.
type base struct {
	name       string
	violations []string
	judged     int
}

// Name implements Checker.
func (b *base) Name() string { return b.name }

// Violations implements Checker.
func (b *base) Violations() []string { return b.violations }

// Judged implements Checker.
func (b *base) Checked() int { return b.judged }

// Finish implements Checker.
func (b *base) Finish() {}

// maxViolations bounds what one checker lists.
const maxViolations = 20

func (b *base) broke(now time.Duration, format string, args ...any) {
	if len(b.violations) < maxViolations {
		b.violations = append(b.violations, fmt.Sprintf("%s at %s: ", b.name, now)+fmt.Sprintf(format, args...))
	}
}
