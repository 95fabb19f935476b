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

// Compare states what clients notice when a configuration replaces the one in force, in the order routes, services, accounts, limits.
func Compare(inForce, next *routing.Table) []string {
	var effects []string
	add := func(format string, args ...any) { effects = append(effects, fmt.Sprintf(format, args...)) }
	compareRoutes(inForce, next, add)
	compareServices(inForce, next, add)
	compareAccounts(inForce, next, add)
	if a, b := inForce.Limits, next.Limits; a != b {
		add("limits of requests change from %+v to %+v", a, b)
	}
	return effects
}

// CheckVersion finds a version that the VMs would ignore.
func CheckVersion(inForce, next *routing.Table) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Place{Field: Version}, fmt.Sprintf("version %d is not later than version %d in force; the VMs ignore it", next.Version, inForce.Version)}}
}

func byName(t *routing.Table) map[string]*routing.Route {
	routes := map[string]*routing.Route{}
	for _, r := range t.Routes {
		routes[r.Name] = r
	}
	return routes
}

func compareRoutes(inForce, next *routing.Table, add func(string, ...any)) {
	before, after := byName(inForce), byName(next)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		r := before[name]
		if after[name] != nil {
			compareRoute(r, after[name], add)
			continue
		}
		if by := next.Match(r.Host, r.PathPrefix); by != nil {
			add("route %q is removed; its requests are served by route %q", name, by.Name)
		} else {
			add("route %q is removed; requests to %s%s get status 404", name, r.Host, r.PathPrefix)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if r := after[name]; before[name] == nil {
			if by := inForce.Match(r.Host, r.PathPrefix); by != nil {
				add("route %q is added; it takes requests to %s%s from route %q", name, r.Host, r.PathPrefix, by.Name)
			} else {
				add("route %q is added for %s%s", name, r.Host, r.PathPrefix)
			}
		}
	}
}

func compareRoute(a, b *routing.Route, add func(string, ...any)) {
	if a.Host != b.Host || a.PathPrefix != b.PathPrefix {
		add("route %q moves from %s%s to %s%s", a.Name, a.Host, a.PathPrefix, b.Host, b.PathPrefix)
	}
	if !slices.Equal(a.Services, b.Services) {
		add("requests of route %q go to %s instead of %s", a.Name, splitText(b), splitText(a))
	}
	if a.Kind != b.Kind || a.Retryable() != b.Retryable() {
		add("requests of route %q %s; before, they %s", a.Name, repeatText(b), repeatText(a))
	}
	for _, d := range []struct {
		name          string
		before, after time.Duration
	}{
		{"timeout", a.Timeout, b.Timeout},
		{"latency objective", a.LatencyObjective, b.LatencyObjective},
		{"event gap objective", a.EventGapObjective, b.EventGapObjective},
		{"job objective", a.JobObjective, b.JobObjective},
		{"retention", a.Retention, b.Retention},
	} {
		if d.before != d.after {
			add("%s of route %q changes from %s to %s", d.name, a.Name, d.before, d.after)
		}
	}
	if a.MaxAttempts != b.MaxAttempts {
		add("requests of route %q get at most %d attempts instead of %d", a.Name, b.MaxAttempts, a.MaxAttempts)
	}
	if a.Priority != b.Priority {
		add("priority of route %q changes from %d to %d (0 is the highest)", a.Name, a.Priority, b.Priority)
	}
	if a.TokenQuota != b.TokenQuota {
		add("token quota of route %q changes from %d to %d (0 is no limit)", a.Name, a.TokenQuota, b.TokenQuota)
	}
	if a.Public != b.Public {
		add("requests of route %q %s", a.Name, map[bool]string{true: "need no key any more", false: "need a key"}[b.Public])
	}
}

func splitText(r *routing.Route) string {
	if len(r.Services) == 0 {
		return "no service"
	}
	total := 0.0
	for _, w := range r.Services {
		total += max(w.Weight, 0)
	}
	parts := make([]string, len(r.Services))
	for i, w := range r.Services {
		parts[i] = fmt.Sprintf("%q", w.Service)
		if total > 0 && len(r.Services) > 1 {
			parts[i] += fmt.Sprintf(" (%.0f%%)", 100*max(w.Weight, 0)/total)
		}
	}
	return strings.Join(parts, ", ")
}

func repeatText(r *routing.Route) string {
	switch {
	case r.Kind == routing.Batch:
		return "are jobs whose items run later"
	case r.Kind == routing.Streaming && r.Resumable:
		return "are streams that another target may continue"
	case r.Kind == routing.Streaming:
		return "are streams that run at most once"
	case r.Kind == routing.Idempotent:
		return "may run again after a failure"
	default:
		return "run at most once"
	}
}

func compareServices(inForce, next *routing.Table, add func(string, ...any)) {
	for _, name := range slices.Sorted(maps.Keys(inForce.Services)) {
		a := inForce.Services[name]
		b, kept := next.Services[name]
		switch {
		case !kept && !next.UsesService(name):
			add("service %q is removed; its targets get no more requests", name)
		case kept && a != b:
			add("service %q changes from %+v to %+v", name, a, b)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		if _, known := inForce.Services[name]; !known {
			add("service %q is added", name)
		}
	}
}

func compareAccounts(inForce, next *routing.Table, add func(string, ...any)) {
	switch {
	case inForce.Accounts == nil && next.Accounts != nil:
		add("requests need a key, except those of public routes; before, none did")
	case inForce.Accounts != nil && next.Accounts == nil:
		add("requests need no key any more, and are not limited")
	}
	after := map[string]account.Entry{}
	for _, e := range next.Accounts.Entries() {
		after[e.Account.Name] = e
	}
	for _, a := range inForce.Accounts.Entries() {
		b, kept := after[a.Account.Name]
		delete(after, a.Account.Name)
		if !kept {
			if next.Accounts != nil {
				add("client account %q is removed; requests with its keys get status 401", a.Account.Name)
			}
			continue
		}
		compareAccount(a, b, add)
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		add("client account %q is added with %d keys and %s", name, len(after[name].Keys), limitText(after[name].Account.Limit))
	}
}

func compareAccount(a, b account.Entry, add func(string, ...any)) {
	missing := func(of, from []account.Digest) int {
		return len(slices.DeleteFunc(slices.Clone(of), func(d account.Digest) bool { return slices.Contains(from, d) }))
	}
	if n := missing(a.Keys, b.Keys); n > 0 {
		add("%d keys of client account %q are removed; requests with them get status 401", n, a.Account.Name)
	}
	if n := missing(b.Keys, a.Keys); n > 0 {
		add("%d keys of client account %q are added", n, a.Account.Name)
	}
	if a.Account.Limit != b.Account.Limit {
		add("client account %q gets %s instead of %s", a.Account.Name, limitText(b.Account.Limit), limitText(a.Account.Limit))
	}
	if p, q := priorityText(a.Account.Priority), priorityText(b.Account.Priority); p != q {
		add("priority of client account %q changes from %s to %s (0 is the highest)", a.Account.Name, p, q)
	}
}

func priorityText(p *int) string {
	if p == nil {
		return "that of the route"
	}
	return fmt.Sprint(*p)
}
