// Package obs provides the observability of every program: logs as JSON lines, metrics,
// health and readiness.
package obs
