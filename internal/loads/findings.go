package loads

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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

// standingFindings are findings that stay true. Each regular message carries them until they are
// shareFor old, so that a VM that missed the first message still receives them; they are kept for
// keepFor. The difference keeps VMs from renewing each other's findings without end, as the time of
// a finding grows by the delay of each transfer.
type standingFindings struct {
	shareFor, keepFor time.Duration
	at                map[Key]time.Duration
}

func newStandingFindings(cfg Config) standingFindings {
	return standingFindings{shareFor: cfg.LeavingShareFor, keepFor: cfg.LeavingKeepFor, at: map[Key]time.Duration{}}
}

// record records a finding of an age. It reports whether the finding is new, or so much newer than
// the known one that it has to be shared for longer.
func (f *standingFindings) record(now, age time.Duration, k Key) bool {
	at, known := f.at[k]
	if known && now-age < at+f.keepFor-f.shareFor {
		return false
	}
	f.at[k] = now - age
	return true
}

// maxSharedFindings bounds the findings in a message; the oldest are left out.
const maxSharedFindings = 256

// ages returns the ages of the findings to share that are at most maxAge old, and drops those that
// are older than keepFor.
func (f *standingFindings) ages(now, maxAge time.Duration) map[Key]time.Duration {
	out := map[Key]time.Duration{}
	for k, at := range f.at {
		switch age := now - at; {
		case age > f.keepFor:
			delete(f.at, k)
		case age <= min(maxAge, f.shareFor):
			out[k] = age
		}
	}
	if len(out) > maxSharedFindings {
		keys := slices.SortedFunc(maps.Keys(out), func(a, b Key) int { return cmp.Compare(out[a], out[b]) })
		for _, k := range keys[maxSharedFindings:] {
			delete(out, k)
		}
	}
	return out
}

// receive merges another VM's findings and returns the ages of those that are new.
func (f *standingFindings) receive(now time.Duration, ages map[Key]time.Duration) map[Key]time.Duration {
	out := map[Key]time.Duration{}
	for k, age := range ages {
		if age >= 0 && age <= f.shareFor && f.record(now, age, k) {
			out[k] = age
		}
	}
	return out
}
