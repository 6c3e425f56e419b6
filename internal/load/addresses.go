package load

import (
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
)

// askTimeout bounds the question for addresses.
const askTimeout = 2 * time.Second

// addressesBody is the answer to the question for addresses.
type addressesBody struct {
	Addresses []struct {
		VM            string `json:"vm"`
		Addr          string `json:"addr"`
		FailureDomain string `json:"failure_domain"`
	} `json:"addresses"`
	LifetimeMillis int64  `json:"lifetime_ms"`
	KeyPrefix      string `json:"key_prefix"`
}

// addressBook is what one caller knows of the system's addresses.
type addressBook struct {
	calls *httpcall.Client
	team  string
	seeds []string

	mu sync.Mutex
	// asking lets one request ask while others wait.
	asking  sync.Mutex
	random  *rand.Rand
	known   []string
	next    int
	expires time.Time
	prefix  string
}

func newAddressBook(calls *httpcall.Client, team string, seeds []string, random *rand.Rand) *addressBook {
	return &addressBook{calls: calls, team: team, seeds: seeds, random: random}
}

// current returns the address to use and the key prefix. It asks for addresses
// when there are none or their lifetime is over.
func (b *addressBook) current() (addr, prefix string, err error) {
	if addr, prefix, ok := b.look(); ok {
		return addr, prefix, nil
	}
	b.asking.Lock()
	defer b.asking.Unlock()
	if addr, prefix, ok := b.look(); ok {
		return addr, prefix, nil
	}
	for _, entry := range b.whomToAsk() {
		if err = b.ask(entry); err == nil {
			break
		}
	}
	if err != nil {
		return "", "", err
	}
	addr, prefix, _ = b.look()
	return addr, prefix, nil
}

func (b *addressBook) look() (addr, prefix string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.known) == 0 || time.Now().After(b.expires) {
		return "", "", false
	}
	return b.known[b.next%len(b.known)], b.prefix, true
}

// whomToAsk lists the known addresses first, then the seeds, each in random
// order.
func (b *addressBook) whomToAsk() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := append([]string(nil), b.known...)
	seeds := append([]string(nil), b.seeds...)
	b.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	b.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(known, seeds...)
}

func (b *addressBook) ask(entry string) error {
	var body addressesBody
	uri := "/v1/addresses?team=" + url.QueryEscape(b.team)
	if err := b.calls.JSON(entry, "GET", uri, nil, &body, httpcall.Within(askTimeout)); err != nil {
		return err
	}
	if len(body.Addresses) == 0 || body.LifetimeMillis <= 0 {
		return errNoAddresses
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = b.known[:0]
	for _, a := range body.Addresses {
		b.known = append(b.known, a.Addr)
	}
	b.next = b.random.IntN(len(b.known))
	b.expires = time.Now().Add(time.Duration(body.LifetimeMillis) * time.Millisecond)
	b.prefix = body.KeyPrefix
	return nil
}

// askAgain ends the lifetime of what is known.
func (b *addressBook) askAgain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expires = time.Time{}
}

// leave turns to the next address if addr is still the current one.
func (b *addressBook) leave(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.known) > 0 && b.known[b.next%len(b.known)] == addr {
		b.next++
	}
}
