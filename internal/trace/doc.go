// Package trace records the events and actions of a core as JSON lines and replays them
// through the current core.
//
// The first line is a Header: the core's name, its configuration, and the outcomes that
// every replay must produce. Each further line is a Step: the time, the event and the
// actions. Cores are pure state machines, so replaying the same events at the same times
// is deterministic.
package trace
