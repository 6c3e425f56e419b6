package loads

import "time"

// findingTimes maps servers to the time of the last finding about them.
type findingTimes map[Key]time.Duration

// record records a finding at now. It reports whether the finding is new, that is, whether
// the last one is older than ttl or there was none.
func (f findingTimes) record(now, ttl time.Duration, k Key) bool {
	at, known := f[k]
	f[k] = now
	return !known || now-at > ttl
}

// fresh returns the ages of the findings within ttl and drops the others.
func (f findingTimes) fresh(now, ttl time.Duration) map[Key]time.Duration {
	out := map[Key]time.Duration{}
	for k, at := range f {
		if now-at > ttl {
			delete(f, k)
			continue
		}
		out[k] = now - at
	}
	return out
}

// receive merges another VM's findings, given by their ages, and returns the new ones.
func (f findingTimes) receive(now, ttl time.Duration, ages map[Key]time.Duration) []Key {
	var out []Key
	for k, age := range ages {
		at, known := f[k]
		if age >= 0 && age <= ttl && (!known || now-at > ttl) {
			f[k] = now - age
			out = append(out, k)
		}
	}
	return out
}
