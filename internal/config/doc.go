// Package config decides which limits are in force: it reads the morning
// sheet, judges it against what was accepted before, accepts it whole by one
// compare-and-swap, and spreads the accepted version to every VM.
//
// The accepted state is a join semilattice: a limit only grows, so merging two
// states takes the larger value of each limit, and a late or repeated message
// can never take a limit back. A version is a head record (version, day,
// hashes of the parts) and its content-addressed parts, each well under the
// megabyte that a value of the key-value service may hold.
//
// Three state machines, none of which holds a socket or a clock:
//
//   - Apply takes one sheet through reading the head, judging, writing parts
//     and the compare-and-swap of the head. A lost reply is read back before
//     anything is said; a lost race is judged again against what won.
//   - Spread runs on every VM. Two watchers in each failure domain follow the
//     head record; everybody pushes new version numbers to a few peers, and
//     pulls the parts it lacks. It never adopts an older version.
//   - ParseSheet and Judge are plain functions that name every fault at once.
package config
