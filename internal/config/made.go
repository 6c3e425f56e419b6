package config

// Made returns the snapshot that this application made, if version is the one
// that it swapped in.
func (a *Apply) CreatedSnapshot(version uint64) (Snapshot, bool) {
	return a.next, a.swapped && a.next.Head.Version == version
}
