package load

import (
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
)

// addressesTimeout bounds one request for addresses.
const addressesTimeout = 2 * time.Second

// addressesResponse is the body of a response to GET /v1/addresses.
type addressesResponse struct {
	Addresses []struct {
		VM            string `json:"vm"`
		Addr          string `json:"addr"`
		FailureDomain string `json:"failure_domain"`
	} `json:"addresses"`
	LifetimeMillis int64  `json:"lifetime_ms"`
	KeyPrefix      string `json:"key_prefix"`
}

// addressCache holds the entry addresses and the key prefix that one caller uses.
type addressCache struct {
	client *httpcall.Client
	team   string
	seeds  []string

	mu sync.Mutex
	// refreshMu lets one request refresh the cache while the others wait.
	refreshMu sync.Mutex
	random    *rand.Rand
	addrs     []string
	index     int
	expires   time.Time
	keyPrefix string
}

func newAddressCache(client *httpcall.Client, team string, seeds []string, random *rand.Rand) *addressCache {
	return &addressCache{client: client, team: team, seeds: seeds, random: random}
}

// get returns the address to use and the key prefix. It fetches addresses if there are
// none or they have expired.
func (c *addressCache) get() (addr, keyPrefix string, err error) {
	if addr, keyPrefix, ok := c.cached(); ok {
		return addr, keyPrefix, nil
	}
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	if addr, keyPrefix, ok := c.cached(); ok {
		return addr, keyPrefix, nil
	}
	for _, entry := range c.refreshOrder() {
		if err = c.fetch(entry); err == nil {
			break
		}
	}
	if err != nil {
		return "", "", err
	}
	addr, keyPrefix, _ = c.cached()
	return addr, keyPrefix, nil
}

func (c *addressCache) cached() (addr, keyPrefix string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) == 0 || time.Now().After(c.expires) {
		return "", "", false
	}
	return c.addrs[c.index%len(c.addrs)], c.keyPrefix, true
}

// refreshOrder lists the known addresses first, then the seeds, each in random order.
func (c *addressCache) refreshOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs := append([]string(nil), c.addrs...)
	seeds := append([]string(nil), c.seeds...)
	c.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	c.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(addrs, seeds...)
}

func (c *addressCache) fetch(entry string) error {
	var body addressesResponse
	uri := "/v1/addresses?team=" + url.QueryEscape(c.team)
	if err := c.client.JSON(entry, "GET", uri, nil, &body, httpcall.Within(addressesTimeout)); err != nil {
		return err
	}
	if len(body.Addresses) == 0 || body.LifetimeMillis <= 0 {
		return errNoAddresses
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs = c.addrs[:0]
	for _, a := range body.Addresses {
		c.addrs = append(c.addrs, a.Addr)
	}
	c.index = c.random.IntN(len(c.addrs))
	c.expires = time.Now().Add(time.Duration(body.LifetimeMillis) * time.Millisecond)
	c.keyPrefix = body.KeyPrefix
	return nil
}

// expire makes the next get fetch addresses again.
func (c *addressCache) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// advance selects the next address if addr is still the current one.
func (c *addressCache) advance(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addrs) > 0 && c.addrs[c.index%len(c.addrs)] == addr {
		c.index++
	}
}
