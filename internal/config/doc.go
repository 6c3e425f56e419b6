// Package config decides which limits are in force: it parses the morning sheet, evaluates
// it against the accepted limits, accepts all of its rows by one compare-and-swap, and
// distributes the accepted version to every VM.
//
// The accepted state is a join semilattice: a limit only grows, and merging two states
// keeps the larger value of each limit. So a late or duplicate message can never lower a
// limit. A version is a head record (version, day, hashes of the parts) and its
// content-addressed parts, each well below the 1 MiB value limit of the key-value service.
//
// The package consists of pure code without I/O or clocks:
//
//   - Apply is the state machine that applies one sheet: read the head, evaluate, write the
//     parts, compare-and-swap the head. After a lost reply it reads the head again before
//     it reports an outcome; after a lost race it evaluates the sheet against the new head.
//   - Spread is the state machine that runs on every VM. Two watchers in each failure
//     domain follow the head record; every VM pushes new version numbers to a few peers
//     and pulls missing parts from them. It never adopts an older version.
//   - ParseSheet and Evaluate are plain functions that report the faults of all rows of a
//     sheet, not only the first one.
package config
