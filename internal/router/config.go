package router

import (
	"os"
	"time"

	"github.com/catkinstair/catkinstair/internal/changefeed"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/leader"
	"github.com/catkinstair/catkinstair/internal/placement"
)

// Config holds the settings of a Router beside those of the platform's file.
type Config struct {
	Dispatch  dispatch.Config
	Duty      leader.Config
	Placement placement.Config
	Follow    changefeed.Config
	Line      dispatch.WaitQueueConfig

	// WatchWait is how long a watch of the store waits for an event. A store that
	// has fallen silent is found when the answer is due, so the wait is a part of the
	// bounds. Default 1.5 s.
	WatchWait time.Duration
	// WatchPause is the pause between two watches: what changes meanwhile comes in
	// one answer. It is a part of the drain and configuration bounds. Default
	// 250 ms.
	WatchPause time.Duration
	// StoreTimeout bounds a call to the store, beside its wait. Default 700 ms.
	StoreTimeout time.Duration
	// StoreRetry is the pause after a failed call to the store; a random part of
	// it is added, and it doubles with each further one up to StoreRetryMost. Default
	// 200 ms.
	StoreRetry time.Duration
	// StoreRetryMost bounds that pause: it is a part of the drain and configuration
	// bounds when the store is back. Default 600 ms.
	StoreRetryMost time.Duration
	// Settle is how long no new backend server may have come before the first plan
	// of an empty fleet: a plan for the first few would be made of too little.
	// Default 1.2 s.
	Settle time.Duration
	// PlanEvery is the interval at which the giver of orders looks at the layers.
	// Default 100 ms.
	PlanEvery time.Duration
	// OrdersAtOnce is the number of orders under way. Default 64: 3,000 orders of 3 ms
	// each are sent in a seventh of a second.
	OrdersAtOnce int
	// OrderTimeout bounds one order. Default 1 s.
	OrderTimeout time.Duration
	// Stalled is how long a stream may be silent before its first backend server
	// is asked whether it waits for another. Default 300 ms.
	Stalled time.Duration
	// ReportAge is how old a server's report may be to answer another stream's
	// question. Default 200 ms: the engine's own lag.
	ReportAge time.Duration
	// LeaveSlow is how many times slower than its card a server has to be for streams
	// that wait for their first event to be moved off it. Default 3.
	LeaveSlow float64
	// DialTimeout bounds a new connection to a backend server. Default 500 ms.
	DialTimeout time.Duration
	// KeptFor is how long after its last answer a connection may carry a request
	// that may be repeated; other requests get a new one. Default 1 s.
	KeptFor time.Duration
	// ListenAfterStop is how long a stopping process still takes connections:
	// callers hold its address for the directory's lifetime. Default 3 s.
	ListenAfterStop time.Duration
	// StopMargin is how long before the platform's kill a stopping process ends.
	// Default 500 ms.
	StopMargin time.Duration
	// AddressLifetime is the lifetime of a directory's answer, at most the
	// platform's. Default 2 s.
	AddressLifetime time.Duration
	// SettingsFile is the platform's settings file, "" where it is not read again. It
	// may change with a signal (Hangup) or without.
	SettingsFile string
	// Hangup receives the signals to read it again.
	Hangup <-chan os.Signal
	// SettingsEvery is how often the file is looked at without a signal. Default 5 s.
	SettingsEvery time.Duration
	// MetricsPort is the port of the metrics; 0 for none.
	MetricsPort int
	// LogLevel is the least level of log lines. Default info.
	LogLevel string
	// Workers bounds the blocking calls of duties. Default 64.
	Workers int
}

// DefaultConfig returns the defaults that Config names.
func DefaultConfig() Config {
	return Config{
		Dispatch: dispatch.DefaultConfig(), Duty: leader.DefaultConfig(), Placement: placement.DefaultConfig(), Follow: changefeed.DefaultConfig(),
		Line:      dispatch.DefaultWaitQueueConfig(),
		WatchWait: 1500 * time.Millisecond, WatchPause: 250 * time.Millisecond, StoreTimeout: 700 * time.Millisecond,
		StoreRetry: 200 * time.Millisecond, StoreRetryMost: 600 * time.Millisecond, Settle: 1200 * time.Millisecond, PlanEvery: 100 * time.Millisecond,
		OrdersAtOnce: 64, OrderTimeout: time.Second, Stalled: 300 * time.Millisecond, ReportAge: 200 * time.Millisecond, LeaveSlow: 3, DialTimeout: 500 * time.Millisecond,
		KeptFor: time.Second, ListenAfterStop: 3 * time.Second, StopMargin: 500 * time.Millisecond,
		AddressLifetime: 2 * time.Second, SettingsEvery: 5 * time.Second, LogLevel: "info", Workers: 64,
	}
}
