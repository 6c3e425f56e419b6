package stream

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ResumeMethod is a method to resume a stream after the loss of a stage.
type ResumeMethod string

// The resume methods.
const (
	// ResumeImport imports the last exported KV cache into the replacement and replays
	// the inputs kept since its position.
	ResumeImport ResumeMethod = "import"
	// ResumeReplay replays every kept input of the lost stage.
	ResumeReplay ResumeMethod = "replay"
	// ResumePrefill gives all stages the prompt and the tokens so far as a new prompt, in
	// one step per stage.
	ResumePrefill ResumeMethod = "prefill"
	// ResumeStartOver runs the prompt and every token through all stages again and
	// compares the tokens with those the caller already has. It is for models whose
	// answer changes if its first part is prefilled.
	ResumeStartOver ResumeMethod = "start-over"
)

// Config holds the settings of a Table.
type Config struct {
	// MaxStreams is the maximum number of open streams. Default 20000.
	MaxStreams int
	// MaxTokens is the maximum number of tokens in one answer. Default 32768.
	MaxTokens int
	// StepTimeout is the longest wait for one step before its reply counts as lost.
	// Default 1 s.
	StepTimeout time.Duration
	// MinStepTimeout is the shortest wait for the first send of a step. The actual wait
	// is a multiple of the stage's average step time, at most StepTimeout. Default 250
	// ms.
	MinStepTimeout time.Duration
	// PrefillTimeout is the longest wait for token 0, whose step runs the whole prompt.
	// The first send waits a quarter of it. Default 10 s.
	PrefillTimeout time.Duration
	// Resends is how often a step whose reply was lost is sent again on a new connection
	// before its server is replaced. Default 1.
	Resends int
	// FullRetries is how often a step of a running stream is sent again to a full server
	// before the server is replaced. Default 20.
	FullRetries int
	// Backoff is the wait before a step is sent again to a full server, and before a
	// replacement is requested again. Default 50 ms.
	Backoff time.Duration
	// ReplacementWait is how long a stream that dropped a server may go without an
	// answered step before it is cut. Default 5 s.
	ReplacementWait time.Duration
	// MaxLosses is the maximum number of servers that one stream may lose after something
	// was sent to them. Default 16.
	MaxLosses int
	// Resume lists the allowed methods. The one with the least expected time is used, the
	// earlier in the list if two are equal. Default import, replay, prefill.
	Resume []ResumeMethod
	// PrefillShare is the time of one token in a prefill as a fraction of its time in a
	// step of its own. Default 0.03.
	PrefillShare float64
	// CheckpointEvery is the number of tokens between two exports of a stage's KV cache;
	// 0 disables exports. Default 0.
	CheckpointEvery int
	// KeepBytesPerStream is the maximum size, in bytes, of the inputs kept for replay and
	// the exported caches of one stream. Default 4 MiB.
	KeepBytesPerStream int
	// KeepBytes is the same limit for all streams together, in bytes. Default 256 MiB.
	KeepBytes int
}

// DefaultConfig returns the default settings.
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
		Resume:             []ResumeMethod{ResumeImport, ResumeReplay, ResumePrefill},
		PrefillShare:       0.03,
		KeepBytesPerStream: 4 << 20,
		KeepBytes:          256 << 20,
	}
}

// Validate returns one error that names every invalid field.
func (c Config) Validate() error {
	var errs error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = errors.Join(errs, errors.Newf(format, args...))
		}
	}
	check(c.MaxStreams > 0, "MaxStreams is %d, must be at least 1", c.MaxStreams)
	check(c.MaxTokens > 0, "MaxTokens is %d, must be at least 1", c.MaxTokens)
	check(c.StepTimeout > 0, "StepTimeout is %s, must be positive", c.StepTimeout)
	check(c.MinStepTimeout > 0 && c.MinStepTimeout <= c.StepTimeout,
		"MinStepTimeout is %s, must be positive and at most StepTimeout", c.MinStepTimeout)
	check(c.PrefillTimeout > 0, "PrefillTimeout is %s, must be positive", c.PrefillTimeout)
	check(c.Resends >= 0, "Resends is %d, must be at least 0", c.Resends)
	check(c.FullRetries >= 0, "FullRetries is %d, must be at least 0", c.FullRetries)
	check(c.Backoff > 0, "Backoff is %s, must be positive", c.Backoff)
	check(c.ReplacementWait > 0, "ReplacementWait is %s, must be positive", c.ReplacementWait)
	check(c.MaxLosses > 0, "MaxLosses is %d, must be at least 1", c.MaxLosses)
	check(c.PrefillShare >= 0, "PrefillShare is %g, must be at least 0", c.PrefillShare)
	check(c.CheckpointEvery >= 0, "CheckpointEvery is %d, must be 0 (none) or more", c.CheckpointEvery)
	check(c.KeepBytesPerStream >= 0, "KeepBytesPerStream is %d, must be at least 0", c.KeepBytesPerStream)
	check(c.KeepBytes >= 0, "KeepBytes is %d, must be at least 0", c.KeepBytes)
	for _, method := range c.Resume {
		known := method == ResumeImport || method == ResumeReplay || method == ResumePrefill || method == ResumeStartOver
		check(known, "Resume contains %q, must be %q, %q, %q or %q", method, ResumeImport, ResumeReplay, ResumePrefill, ResumeStartOver)
	}
	return errs
}
