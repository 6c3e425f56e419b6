// Package audit keeps the audit trail of changes: who changed what, when, from which
// sheet, and with which verdict.
//
// Records are batched and written to the key-value service as JSON lines, under keys
// ordered by time. A failed write is retried under the same key, so a lost reply creates
// no duplicate. While the service is down at most MaxPending records are queued; beyond
// that the oldest are dropped, and a record states how many.
package audit
