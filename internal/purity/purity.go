// Package purity enforces that the core packages are pure state machines, which get the
// time, their input and the random seed as arguments. Its test parses their sources and
// fails if they use goroutines, the wall clock, sockets, locks or a global random source.
package purity

// Cores lists the core packages, relative to the repository root.
var Cores = []string{
	"internal/admission",
	"internal/audit",
	"internal/backend",
	"internal/backpressure",
	"internal/call",
	"internal/changefeed",
	"internal/classes",
	"internal/config",
	"internal/detector",
	"internal/configcheck",
	"internal/dispatch",
	"internal/engine",
	"internal/entrylist",
	"internal/featurelevel",
	"internal/leader",
	"internal/lease",
	"internal/limits",
	"internal/loads",
	"internal/membership",
	"internal/moves",
	"internal/node",
	"internal/orders",
	"internal/paths",
	"internal/placement",
	"internal/poison",
	"internal/prefixcache",
	"internal/reach",
	"internal/relay",
	"internal/retry",
	"internal/routes",
	"internal/routing",
	"internal/shutdown",
	"internal/store",
	"internal/stream",
	"internal/verdict",
	"internal/wire",
}
