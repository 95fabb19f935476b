// Package routing holds the operator's configuration and decides which route serves a request and
// which service runs it.
//
// The package does no I/O. A Table is immutable.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
)

// Kind determines how the requests of a route are served, and whether they may be retried.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once. It is the zero value, so that an unknown kind is never retried.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming responses are streams of events.
	Streaming
	// Batch routes accept jobs whose items run later.
	Batch
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how the requests for one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the timeout of a request. Zero means the default of the ingress.
	Timeout time.Duration
	// LatencyObjective is the latency objective: for the complete response, for the first event of a stream, or for
	// the acceptance of a job.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between events of a stream that meets the objective.
	EventGapObjective time.Duration
	// MaxAttempts is the maximum number of targets that may run one request, or one item of a job.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Resumable streams may be continued by another target.
	Resumable bool
	// Services are the services that the requests are split between.
	Services []WeightedService
	// JobObjective is the longest time from the submission of a job to its last result that meets the objective.
	JobObjective time.Duration
	// Retention is the time from the submission of a job after which its items may be abandoned.
	Retention time.Duration
	// TokenQuota limits the tokens of the items that wait on a batch route. Zero means no limit.
	TokenQuota int64
	// Public routes accept requests without an API key.
	Public bool
}

// Retryable reports whether a request may be sent to a second target after the first one may have run it.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service is a group of targets that run the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is the maximum number of connections that all VMs together may have to one target.
	MaxConns int
	// Slots is the number of requests that an engine of the service runs concurrently, if it is known.
	Slots int
	// MemoryTokens is the number of tokens that the requests on one target may hold together, if it is known.
	MemoryTokens int
}

// Limits restrict what a client may send.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. Nil means that requests need no key.
	Accounts *account.Directory
}

// Source provides the configuration in force, or nil if none is known yet.
type Source interface{ Current() *Table }

// UsesService reports whether the configuration has a service, in its list or in a route.
func (t *Table) UsesService(name string) bool {
	if _, listed := t.Services[name]; listed {
		return true
	}
	return slices.ContainsFunc(t.Routes, func(r *Route) bool {
		return slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == name })
	})
}

// Match returns the route of a host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// HasPublicBatch reports whether a host has a batch route that needs no key.
func (t *Table) HasPublicBatch(host string) bool {
	return slices.ContainsFunc(t.Routes, func(r *Route) bool { return r.Host == host && r.Kind == Batch && r.Public })
}

// Pick returns the service for one request, given a random number in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, w := range r.Services {
		total += max(w.Weight, 0)
	}
	if total == 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	remaining := random * total
	for _, w := range r.Services {
		if remaining -= max(w.Weight, 0); remaining < 0 {
			return w.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Uses reports whether the route may send requests to a service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 })
}
