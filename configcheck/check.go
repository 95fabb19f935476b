// Package configcheck finds mistakes in a configuration that the VMs would accept, and states what a change of it means for clients.
//
// The package does no I/O. It checks the table that the VMs use, so that a check and a VM never read a configuration differently.
package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// Section is a part of a configuration.
type Section uint8

// Sections.
const (
	Whole Section = iota
	Routes
	Services
	Accounts
	Limits
)

// Field is a field of an entry. The zero value means the whole entry.
type Field uint8

// Fields.
const (
	Entry Field = iota
	Version
	Host
	PathPrefix
	Split
	Timeout
	LatencyObjective
	EventGapObjective
	MaxAttempts
	Resumable
	Retention
	Burst
	Keys
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
)

// Place is where a finding is.
type Place struct {
	Section Section
	// Index is the position of a route in its section, and Name the name of a service or an account.
	Index int
	Name  string
	Field Field
}

// Finding is a mistake.
type Finding struct {
	Place   Place
	Message string
}

// Check returns the entries of a configuration that have no effect, and those that contradict each other.
func Check(t *routing.Table) []Finding {
	c := &checker{table: t}
	for i, r := range t.Routes {
		c.route = i
		c.checkMatch(r)
		c.checkSplit(r)
		c.checkTimes(r)
		c.checkAttempts(r)
	}
	c.checkServices()
	c.checkAccounts()
	return c.findings
}

type checker struct {
	table    *routing.Table
	route    int
	findings []Finding
}

func (c *checker) addRoute(field Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Place{Section: Routes, Index: c.route, Field: field}, fmt.Sprintf(format, args...)})
}

// checkMatch finds routes that no request can match.
func (c *checker) checkMatch(r *routing.Route) {
	if r.Host == "" {
		c.addRoute(Host, "route %q can never match: it has no host", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.addRoute(PathPrefix, "route %q can never match: path prefix %q does not begin with a slash", r.Name, r.PathPrefix)
	}
	for _, o := range c.table.Routes[:c.route] {
		if o.Host == r.Host && o.PathPrefix == r.PathPrefix {
			c.addRoute(PathPrefix, "route %q can never match: route %q has the same host and path prefix", r.Name, o.Name)
		}
		if o.Name == r.Name {
			c.addRoute(Entry, "route %q is defined twice; logs and metrics can't tell the two apart", r.Name)
		}
	}
}

func (c *checker) checkSplit(r *routing.Route) {
	if len(r.Services) == 0 {
		c.addRoute(Split, "route %q has no service; its requests are refused", r.Name)
		return
	}
	weights := 0.0
	for _, w := range r.Services {
		weights += max(w.Weight, 0)
		switch {
		case w.Weight < 0:
			c.addRoute(Split, "service %q of route %q has the negative weight %g, which counts as zero", w.Service, r.Name, w.Weight)
		case w.Weight == 0 && len(r.Services) > 1:
			c.addRoute(Split, "service %q of route %q gets no requests: its weight is zero", w.Service, r.Name)
		}
		if _, listed := c.table.Services[w.Service]; !listed && len(c.table.Services) > 0 {
			c.addRoute(Split, "service %q of route %q is not among the services, so that nothing is known of the connections and memory of its targets", w.Service, r.Name)
		}
	}
	if weights == 0 {
		c.addRoute(Split, "all weights of route %q are zero; all requests go to service %q", r.Name, r.Services[0].Service)
	}
}

func (c *checker) checkTimes(r *routing.Route) {
	shorter := func(field Field, name string, value time.Duration, other string, limit time.Duration) {
		if value > 0 && limit > 0 && value < limit {
			c.addRoute(field, "%s %s of route %q is shorter than its %s %s", name, value, r.Name, other, limit)
		}
	}
	if r.Kind == routing.Batch {
		shorter(Retention, "retention", r.Retention, "job objective", r.JobObjective)
		return
	}
	shorter(Timeout, "timeout", r.Timeout, "latency objective", r.LatencyObjective)
	if r.Kind == routing.Streaming {
		shorter(Timeout, "timeout", r.Timeout, "event gap objective", r.EventGapObjective)
	} else if r.EventGapObjective > 0 {
		c.addRoute(EventGapObjective, "event gap objective of route %q has no effect: its responses are not streams", r.Name)
	}
}

func (c *checker) checkAttempts(r *routing.Route) {
	if r.Resumable && r.Kind != routing.Streaming {
		c.addRoute(Resumable, "route %q is resumable without effect: its responses are not streams", r.Name)
	}
	if r.MaxAttempts > 1 && r.Kind != routing.Batch && !r.Retryable() {
		c.addRoute(MaxAttempts, "%d attempts of route %q have no effect: its requests may not run twice", r.MaxAttempts, r.Name)
	}
	if r.MaxAttempts == 1 && r.Retryable() {
		c.addRoute(MaxAttempts, "route %q allows one attempt; its requests are not repeated although they may be", r.Name)
	}
}

func (c *checker) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(c.table.Services)) {
		if !slices.ContainsFunc(c.table.Routes, func(r *routing.Route) bool { return r.Uses(name) }) {
			c.findings = append(c.findings, Finding{Place{Section: Services, Name: name}, fmt.Sprintf("no route sends requests to service %q", name)})
		}
	}
}

func (c *checker) checkAccounts() {
	add := func(name string, field Field, format string, args ...any) {
		c.findings = append(c.findings, Finding{Place{Section: Accounts, Name: name, Field: field}, fmt.Sprintf(format, args...)})
	}
	for _, e := range c.table.Accounts.Entries() {
		a := e.Account
		if len(e.Keys) == 0 {
			add(a.Name, Keys, "client account %q has no key; none of its requests are accepted", a.Name)
		}
		if a.Limit.Burst > 0 && !a.Limit.Limited() {
			add(a.Name, Burst, "burst %g of client account %q has no effect: it has no rate", a.Limit.Burst, a.Name)
		}
		if a.Limit.Limited() && a.Limit.Burst < 1 {
			add(a.Name, Burst, "client account %q has a rate of %g requests per second and no burst", a.Name, a.Limit.PerSecond)
		}
	}
	if c.table.Accounts == nil {
		return
	}
	for i, r := range c.table.Routes {
		if r.Kind == routing.Batch && r.Public {
			c.route = i
			c.addRoute(Entry, "batch route %q is public: anybody may read and end its jobs", r.Name)
		}
	}
}

// limitText describes a usage limit.
func limitText(l account.Limit) string {
	if !l.Limited() {
		return "no limit"
	}
	return fmt.Sprintf("%g requests per second and a burst of %g", l.PerSecond, l.Burst)
}
