package call

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/catkinstair/catkinstair/internal/ident"
)

const (
	keyScheme = "ck1"
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
)

// KeyPrefix returns the prefix "ck1.<vm>.<incarnation>.<issue second>." that home issues at
// issueSecond (wall clock, Unix seconds). Callers append their own part to form an
// idempotency key. A VM's name contains no dot.
func KeyPrefix(home ident.Instance, issueSecond int64) string {
	return fmt.Sprintf("%s.%s.%d.%d.", keyScheme, home.VM, home.Incarnation, issueSecond)
}

// Key is an idempotency key with an issued prefix.
type Key struct {
	// Home is the only VM and incarnation that sends calls with this key.
	Home ident.Instance
	// IssueSecond is the home's wall clock, in Unix seconds, when it issued the prefix.
	IssueSecond int64
	// Suffix is the part that the caller chose.
	Suffix string
}

// ParseKey parses a key with an issued prefix. It returns false for a key that the caller
// chose freely.
func ParseKey(text string) (Key, bool) {
	fields := strings.SplitN(text, ".", 5)
	if len(fields) != 5 || fields[0] != keyScheme || fields[1] == "" || fields[4] == "" {
		return Key{}, false
	}
	incarnation, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Key{}, false
	}
	issued, err := strconv.ParseInt(fields[3], 10, 64)
	if err != nil {
		return Key{}, false
	}
	home := ident.Instance{VM: ident.VM(fields[1]), Incarnation: ident.Incarnation(incarnation)}
	if KeyPrefix(home, issued)+fields[4] != text {
		return Key{}, false
	}
	return Key{Home: home, IssueSecond: issued, Suffix: fields[4]}, true
}
