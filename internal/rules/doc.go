// Package rules checks, from the outside, that a core kept what must always
// hold. A checker sees every event and action of one process, live or from a
// trace, and knows nothing of the core's state. It is written from the users'
// rules alone, so that a fault in a slice is not repeated in its check.
package rules
