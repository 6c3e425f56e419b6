package stream

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Way names one way to resume a stream after a stage died.
type Way string

// The ways.
const (
	// WayImport imports the last exported KV cache into the replacement and
	// replays the inputs kept since its position.
	WayImport Way = "import"
	// WayReplay replays every kept input of the dead stage's boundary.
	WayReplay Way = "replay"
	// WayPrefill gives all stages the prompt and the tokens so far as a new
	// prompt, in one step per stage.
	WayPrefill Way = "prefill"
	// WayStartOver drives the prompt and every token through all stages again
	// and compares them with what the caller had. It is for models whose
	// answer a prefill of its first part would change.
	WayStartOver Way = "start-over"
)

// Config holds the settings of a Table.
type Config struct {
	// MaxStreams bounds the open streams. Default 20000.
	MaxStreams int
	// MaxTokens bounds the tokens of one answer. Default 32768.
	MaxTokens int
	// StepTimeout is the longest wait for one step before its reply counts as
	// lost. Default 1 s.
	StepTimeout time.Duration
	// MinStepTimeout is the least wait for a step that is sent for the first
	// time; in between it is several times the usual. Default 250 ms.
	MinStepTimeout time.Duration
	// PrefillTimeout is the longest wait for token 0, whose step runs the
	// whole prompt; a quarter of it for the first send. Default 10 s.
	PrefillTimeout time.Duration
	// Resends is the number of times that a step whose reply was lost is sent
	// again on a new connection before its stage counts as dead. Default 1.
	Resends int
	// FullRetries is the number of times that a step of a running stream is
	// offered again to a full stage before the stage is left. Default 20.
	FullRetries int
	// Backoff is the wait before a full stage, or the search for a
	// replacement, is tried again. Default 50 ms.
	Backoff time.Duration
	// ReplacementWait is how long a stream that lost a stage tries for an
	// answer of another before it is cut. Default 5 s.
	ReplacementWait time.Duration
	// MaxLosses bounds the stages that one stream may lose after something was
	// sent to them. Default 16.
	MaxLosses int
	// Resume lists the allowed ways. The one with the least expected time is
	// taken, the earlier one where two are equal. Default import, replay,
	// prefill.
	Resume []Way
	// PrefillShare is the time of one token in a prefill as a share of its
	// time in a step of its own. Default 0.03.
	PrefillShare float64
	// CheckpointEvery is the number of tokens between two exports of a stage's
	// KV cache; 0 asks for none. Default 0.
	CheckpointEvery int
	// KeepBytesPerStream bounds the inputs kept for replay and the exported
	// caches of one stream, in bytes. Default 4 MiB.
	KeepBytesPerStream int
	// KeepBytes bounds them over all streams, in bytes. Default 256 MiB.
	KeepBytes int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		MaxStreams:         20000,
		MaxTokens:          32768,
		StepTimeout:        time.Second,
		MinStepTimeout:     250 * time.Millisecond,
		PrefillTimeout:     10 * time.Second,
		Resends:            1,
		FullRetries:        20,
		Backoff:            50 * time.Millisecond,
		ReplacementWait:    5 * time.Second,
		MaxLosses:          16,
		Resume:             []Way{WayImport, WayReplay, WayPrefill},
		PrefillShare:       0.03,
		KeepBytesPerStream: 4 << 20,
		KeepBytes:          256 << 20,
	}
}

// Validate names every faulty field at once.
func (c Config) Validate() error {
	var faults error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = errors.Join(faults, errors.Newf(format, args...))
		}
	}
	check(c.MaxStreams > 0, "MaxStreams is %d: want at least 1", c.MaxStreams)
	check(c.MaxTokens > 0, "MaxTokens is %d: want at least 1", c.MaxTokens)
	check(c.StepTimeout > 0, "StepTimeout is %s: want more than 0", c.StepTimeout)
	check(c.MinStepTimeout > 0 && c.MinStepTimeout <= c.StepTimeout,
		"MinStepTimeout is %s: want more than 0 and at most StepTimeout", c.MinStepTimeout)
	check(c.PrefillTimeout > 0, "PrefillTimeout is %s: want more than 0", c.PrefillTimeout)
	check(c.Resends >= 0, "Resends is %d: want 0 or more", c.Resends)
	check(c.FullRetries >= 0, "FullRetries is %d: want 0 or more", c.FullRetries)
	check(c.Backoff > 0, "Backoff is %s: want more than 0", c.Backoff)
	check(c.ReplacementWait > 0, "ReplacementWait is %s: want more than 0", c.ReplacementWait)
	check(c.MaxLosses > 0, "MaxLosses is %d: want at least 1", c.MaxLosses)
	check(c.PrefillShare >= 0, "PrefillShare is %g: want 0 or more", c.PrefillShare)
	check(c.CheckpointEvery >= 0, "CheckpointEvery is %d: want 0 (none) or more", c.CheckpointEvery)
	check(c.KeepBytesPerStream >= 0, "KeepBytesPerStream is %d: want 0 or more", c.KeepBytesPerStream)
	check(c.KeepBytes >= 0, "KeepBytes is %d: want 0 or more", c.KeepBytes)
	for _, way := range c.Resume {
		known := way == WayImport || way == WayReplay || way == WayPrefill || way == WayStartOver
		check(known, "Resume names %q: want %q, %q, %q or %q", way, WayImport, WayReplay, WayPrefill, WayStartOver)
	}
	return faults
}
