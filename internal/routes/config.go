package routes

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/engine"
)

// Kind says what of a request may be repeated.
type Kind uint8

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests may run once.
	AtMostOnce
	// Stream answers are series of events; they run at most once unless the
	// route's Resumable is set.
	Stream
)

// Config is one version of the operators' configuration. It is not changed
// after it was made.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	// IdleTimeout is how long a caller may leave a connection idle.
	IdleTimeout time.Duration
	// MaxHeaderBytes and MaxBodyBytes bound what a caller may send.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is how long a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth.
	TargetLatency time.Duration
	// Priority is the rank; 0 goes first.
	Priority int
	Split    []Share
	// Attempts is how many backend servers a request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued on another backend server.
	Resumable bool
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is what one backend server accepts from all callers together.
	MaxConns int
	// Engine is nil for plain services.
	Engine *engine.Spec
}

// Team is who a key belongs to.
type Team struct {
	Name string
	Keys []string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}
