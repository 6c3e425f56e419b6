package httpcall

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errMemoryBudget is the cause of a call whose response was given up because responses in
// progress hold too much memory.
var errMemoryBudget = errors.New("response exceeds its share of the memory for responses")

const (
	// guaranteedBytes is what each response may hold regardless of the others, in bytes.
	guaranteedBytes = 16 << 10
	// freeShare is the divisor of the free memory that one response may hold beyond that.
	// A response without an end is thus given up before it takes the memory from others.
	freeShare = 4
)

// memoryBudget bounds the bytes that all responses in progress hold together. It is safe
// for concurrent use.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reservation is what one response holds of a budget, in bytes.
type reservation struct {
	budget *memoryBudget
	held   int64
}

// grow reserves n more bytes or returns errMemoryBudget.
func (r *reservation) grow(n int) error {
	used := r.budget.used.Add(int64(n))
	r.held += int64(n)
	if r.held > guaranteedBytes && r.held > (r.budget.limit-used)/freeShare {
		return errMemoryBudget
	}
	return nil
}

// set reserves n bytes in place of what is held, or returns errMemoryBudget.
func (r *reservation) set(n int) error {
	if more := int64(n) - r.held; more <= 0 {
		r.budget.used.Add(more)
		r.held = int64(n)
		return nil
	}
	return r.grow(n - int(r.held))
}

// release returns everything that is held.
func (r *reservation) release() {
	r.budget.used.Add(-r.held)
	r.held = 0
}
