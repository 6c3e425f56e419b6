package config

// AttemptedSnapshot returns the snapshot that this application tried to swap in, if it has
// the given version.
func (a *Apply) AttemptedSnapshot(version uint64) (Snapshot, bool) {
	return a.next, a.swapSent && a.next.Head.Version == version
}
