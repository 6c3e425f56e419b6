// Package audit keeps the trail of changes: who changed what, when, from which
// sheet, with which verdict.
//
// Records are gathered into batches, written to the key-value service under keys
// ordered by time, and given out as JSON lines. A batch that could not be written
// is written again under the same key, so that a lost reply doubles nothing.
// While the service is down at most MaxPending records wait; then the oldest are
// dropped and a record says how many.
package audit
