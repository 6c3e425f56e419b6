package routes

import (
	"time"

	"github.com/catkinstair/catkinstair/internal/engine"
)

// Kind states whether the requests of a route may run more than once.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests must not run more than once.
	AtMostOnce
	// Stream requests are answered by a series of events. They run at most once unless
	// Route.Resumable is set.
	Stream
)

const (
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a request, whatever the
	// configuration says.
	MaxHeaderBytes = 32 << 10
	MaxBodyBytes   = 8 << 20
)

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	// IdleTimeout limits how long a caller's connection may be idle.
	IdleTimeout time.Duration
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request's header and body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout limits the time for receiving a request's header.
	HeaderTimeout time.Duration
}

// Route determines where the requests of a host and path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits how long a request may wait for its answer.
	Timeout time.Duration
	// TargetLatency is the latency objective; an answer after it counts as late.
	TargetLatency time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Split distributes the requests over services.
	Split []Share
	// MaxAttempts limits the number of backend servers that a request is sent to.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may be continued on another backend server.
	Resumable bool
	// MaxGap is the longest acceptable pause between the events of a stream.
	MaxGap time.Duration
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is the relative weight of a service in a route's traffic split.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one backend server accepts in total.
	MaxConns int
	// Engine is nil for plain services.
	Engine *engine.Spec
}

// Team holds the keys and the priority of a team.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}
