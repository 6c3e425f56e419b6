package router

import (
	"os"
	"time"

	"github.com/catkinstair/catkinstair/internal/changefeed"
	"github.com/catkinstair/catkinstair/internal/detector"
	"github.com/catkinstair/catkinstair/internal/dispatch"
	"github.com/catkinstair/catkinstair/internal/leader"
	"github.com/catkinstair/catkinstair/internal/placement"
	"github.com/catkinstair/catkinstair/internal/shutdown"
)

// Config holds the settings of a Router that the platform's settings file does not set.
type Config struct {
	Dispatch   dispatch.Config
	Leader     leader.Config
	Placement  placement.Config
	Changefeed changefeed.Config
	WaitQueue  dispatch.WaitQueueConfig
	// Detector holds the settings of the failure detector.
	Detector detector.Config

	// WatchTimeout is how long the store holds a watch without an event. An unresponsive
	// store is detected only when the response is due, so this time counts toward the
	// platform's bounds. Default 1.5 s.
	WatchTimeout time.Duration
	// WatchPause is the pause between two watches, so that changes arrive in batches.
	// It counts toward the drain and configuration bounds. Default 250 ms.
	WatchPause time.Duration
	// StoreTimeout bounds a call to the store; a watch gets WatchTimeout on top.
	// Default 700 ms.
	StoreTimeout time.Duration
	// StateWait is how long a request waits for the first configuration after a start, or
	// for the store to be read again after a pause of the process. Default 1.5 s.
	StateWait time.Duration
	// ReadAllTimeout bounds a read of one page of all keys, provided that bytes keep
	// arriving within StoreTimeout. After a loss of power, all VMs read a configuration of
	// some hundred kB at once over the store's link. Default 5 s.
	ReadAllTimeout time.Duration
	// StoreRetryDelay is the pause after a failed call to the store. It doubles with
	// each further failure, up to MaxStoreRetryDelay, and up to half is added as jitter.
	// Default 200 ms.
	StoreRetryDelay time.Duration
	// MaxStoreRetryDelay bounds the doubled StoreRetryDelay. It delays changes once
	// the store is back, so it counts toward the drain and configuration bounds.
	// Default 600 ms.
	MaxStoreRetryDelay time.Duration
	// OwnTryInterval is how often a VM tries to reach a store that is down for the calls
	// that others' tries can stand in for: its lease, and its reads if it has a watcher.
	// Default 2 s.
	OwnTryInterval time.Duration
	// SettleTime is how long no new backend server may have registered before the first
	// placement when no layers are held yet: a plan for the first few servers would
	// ignore the rest. Default 1.2 s.
	SettleTime time.Duration
	// PlanInterval is the interval at which the leader checks the placement of layers.
	// Default 100 ms.
	PlanInterval time.Duration
	// MaxConcurrentOrders bounds the orders in flight. Default 64: 3,000 orders of 3 ms
	// each are sent in a seventh of a second.
	MaxConcurrentOrders int
	// OrderTimeout bounds the call of one order. Default 1 s.
	OrderTimeout time.Duration
	// StallTimeout is how long a stream may be silent, beyond its expected time to the
	// first token, before its first backend server is asked whether it waits for another
	// one. Default 300 ms.
	StallTimeout time.Duration
	// PeerStallTimeout is how long a stream that was passed on may be silent before it is
	// resumed through another VM. Default 1.2 s.
	PeerStallTimeout time.Duration
	// PartialEventTimeout is how long an event may take to arrive completely. Engines write
	// events whole, so a longer one comes from a server that will not complete it. Default
	// 1 s.
	PartialEventTimeout time.Duration
	// MaxReportAge is how long a server's report is reused for other streams. Default
	// 200 ms, the engine's own report lag.
	MaxReportAge time.Duration
	// ClearanceTimeout is how long a request that was cut with its server's crash waits until
	// other requests with its shared parts have made progress; without that it is not sent
	// again. Default 300 ms.
	ClearanceTimeout time.Duration
	// SuspectWait is how long a plain request that may have crashed a server waits until it
	// may be sent. Default 800 ms.
	SuspectWait time.Duration
	// SlowdownThreshold is the least slowdown factor of a server at which streams that
	// wait for their first event are moved off it. Default 3.
	SlowdownThreshold float64
	// DialTimeout bounds a new connection to a backend server. Default 500 ms.
	DialTimeout time.Duration
	// BindOutgoing opens connections from the VM's own address, on machines that have
	// several. Default false.
	BindOutgoing bool
	// ConnReuseTimeout is how long an idle connection may be reused for a retryable
	// request; other requests get a new connection. Default 1 s.
	ConnReuseTimeout time.Duration
	// Shutdown holds the times of a planned stop.
	Shutdown shutdown.Config
	// AddressLifetime is the lifetime of the directory's responses; the platform's limit
	// applies if it is lower. Default 2 s.
	AddressLifetime time.Duration
	// SettingsFile is the path of the platform's settings file, which is read again on a
	// signal (Hangup) and at each SettingsInterval; "" disables reloading.
	SettingsFile string
	// Hangup receives the signals that trigger a reload.
	Hangup <-chan os.Signal
	// SettingsInterval is the interval of reloads without a signal. Default 5 s.
	SettingsInterval time.Duration
	// ReceiveTimeout is how long a request may take from its first byte until it has been read
	// whole. The time that its caller states applies to the body if it is shorter. Default 30 s.
	ReceiveTimeout time.Duration
	// BodyMemoryMB is what the bodies of all requests, and of all responses that are being
	// written, may hold together, in MB. Default 0: a share of the VM's memory (bodybudget.Limit).
	BodyMemoryMB int
	// MetricsPort is the port of the metrics endpoint. Default 0, which disables it.
	MetricsPort int
	// LogLevel is the minimum level of log lines. Default info.
	LogLevel string
	// Workers bounds the concurrent background calls to backend servers. Default 64.
	Workers int
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{
		Dispatch: dispatch.DefaultConfig(), Leader: leader.DefaultConfig(), Placement: placement.DefaultConfig(), Changefeed: changefeed.DefaultConfig(),
		WaitQueue:    dispatch.DefaultWaitQueueConfig(),
		Detector:     detector.DefaultConfig(),
		WatchTimeout: 1500 * time.Millisecond, WatchPause: 250 * time.Millisecond, StoreTimeout: 700 * time.Millisecond, ReadAllTimeout: 5 * time.Second, StateWait: 1500 * time.Millisecond,
		StoreRetryDelay: 200 * time.Millisecond, MaxStoreRetryDelay: 600 * time.Millisecond, OwnTryInterval: 2 * time.Second, SettleTime: 1200 * time.Millisecond, PlanInterval: 100 * time.Millisecond,
		MaxConcurrentOrders: 64, OrderTimeout: time.Second, StallTimeout: 300 * time.Millisecond, PeerStallTimeout: 1200 * time.Millisecond, PartialEventTimeout: time.Second, MaxReportAge: 200 * time.Millisecond, SlowdownThreshold: 3, ClearanceTimeout: 300 * time.Millisecond, SuspectWait: 800 * time.Millisecond, DialTimeout: 500 * time.Millisecond,
		ConnReuseTimeout: time.Second, Shutdown: shutdown.DefaultConfig(),
		ReceiveTimeout: 30 * time.Second, AddressLifetime: 2 * time.Second, SettingsInterval: 5 * time.Second, LogLevel: "info", Workers: 64,
	}
}
