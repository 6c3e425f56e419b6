package dispatch

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/loads"
	"github.com/catkinstair/catkinstair/internal/poison"
)

const (
	// confirmTTL is how long a failure of a server waits for its confirmation. Links that are
	// cut may be up again later.
	confirmTTL = 250 * time.Millisecond
	// maxUnconfirmed bounds the failures that wait.
	maxUnconfirmed = 256
)

// unconfirmedFailure is a failure of a server that may be one of this VM's own links. It is
// confirmed once another server of the service has responded.
type unconfirmedFailure struct {
	key     loads.Key
	service string
	at      time.Duration
	crash   bool // the server cut a run; otherwise it failed a request
}

type unconfirmedFailures []unconfirmedFailure

func (u *unconfirmedFailures) add(f unconfirmedFailure) {
	if len(*u) < maxUnconfirmed {
		*u = append(*u, f)
	}
}

// confirmFailures acts on the failures after which another server has responded: other VMs
// hear of servers that fail, and crashes count as evidence. It returns what is blocked from
// now on.
func (c *Core) confirmFailures(now time.Duration) poison.Result {
	crashed := map[uint32]bool{}
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(f unconfirmedFailure) bool {
		switch {
		case now-f.at > confirmTTL:
		case !c.Reach.HeardSince(f.service, f.at):
			return false
		case f.crash:
			crashed[uint32(f.key)] = true
		default:
			c.Loads.RecordFailing(now, f.key)
		}
		return true
	})
	if len(crashed) == 0 {
		return poison.Result{}
	}
	return c.Poison.Confirm(now, func(server uint32) bool { return crashed[server] })
}
