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

// KeyPrefix is the start of the idempotency keys that a caller makes up with an
// answer of home given at issueSecond (wall clock, seconds):
// "ck1.<vm>.<incarnation>.<issue second>.". A VM's name holds no dot.
func KeyPrefix(home ident.Instance, issueSecond int64) string {
	return fmt.Sprintf("%s.%s.%d.%d.", keyScheme, home.VM, home.Incarnation, issueSecond)
}

// Key is an idempotency key that the system issued the prefix of.
type Key struct {
	// Home is the only VM, in the only life, that sends the key.
	Home ident.Instance
	// IssueSecond is the home's wall clock when it issued the prefix.
	IssueSecond int64
	// Suffix is the caller's own part.
	Suffix string
}

// ParseKey reads a key with an issued prefix. It reports false for a key that
// the caller chose freely.
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
