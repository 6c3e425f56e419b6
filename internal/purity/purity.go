// Package purity holds the rule that the deciding packages are plain state
// machines: time, input and seed are handed in. Its test reads their sources
// and fails on a goroutine, a wall clock, a socket, a lock or a global random
// source.
package purity

// Cores are the deciding packages, relative to the repository's root.
var Cores = []string{
	"internal/admission",
	"internal/audit",
	"internal/call",
	"internal/config",
	"internal/dispatch",
	"internal/leader",
	"internal/engine",
	"internal/entrylist",
	"internal/backend",
	"internal/changefeed",
	"internal/lease",
	"internal/limits",
	"internal/loads",
	"internal/membership",
	"internal/node",
	"internal/orders",
	"internal/paths",
	"internal/placement",
	"internal/relay",
	"internal/retry",
	"internal/routes",
	"internal/routing",
	"internal/store",
	"internal/stream",
	"internal/verdict",
}
