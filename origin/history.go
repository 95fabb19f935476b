package origin

import (
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/routing"
)

// History holds the versions of each service that are registered or were so within Retention, as far as this process and
// the record in the store know.
type History struct {
	// started is when the process started.
	started time.Time
	// since is when the registry was first read.
	since time.Time
	// lastSeen holds, by service and version, when a target was last registered. It is zero for those that still are.
	lastSeen map[Origin]time.Time
	// loaded says which services' records were read, and what they held when the process started.
	loaded map[string]firstRecord
}

// firstRecord is what the record of a service, when this process first read it, says of the time before the process.
type firstRecord struct {
	// version is the only version at which streams began before, if sole is true.
	version string
	sole    bool
	// absent means that there was no record.
	absent bool
}

// NewHistory returns an empty history of a process that starts now.
func NewHistory(now time.Time) *History {
	return &History{started: now, lastSeen: map[Origin]time.Time{}, loaded: map[string]firstRecord{}}
}

// SetTargets records the registered targets.
func (h *History) SetTargets(now time.Time, targets []routing.Target) {
	if h.since.IsZero() {
		h.since = now
	}
	registered := map[Origin]bool{}
	for _, t := range targets {
		o := Origin{Service: t.Service, Version: t.Version}
		registered[o] = true
		h.lastSeen[o] = time.Time{}
	}
	for o, at := range h.lastSeen {
		switch {
		case registered[o]:
		case at.IsZero():
			h.lastSeen[o] = now
		case now.Sub(at) > Retention:
			delete(h.lastSeen, o)
		}
	}
}

// LoadAbsent records that the store has no record of a service yet.
func (h *History) LoadAbsent(service string) {
	if _, known := h.loaded[service]; !known {
		h.loaded[service] = firstRecord{absent: true}
	}
}

// Load adds the record of a service. storeNow is the store's clock when it was read, at some time between asked and now.
func (h *History) Load(asked, now time.Time, service string, r Record, storeNow time.Duration) {
	if _, known := h.loaded[service]; !known {
		version, sole := r.SoleBefore(storeNow-asked.Sub(h.started), storeNow)
		h.loaded[service] = firstRecord{version: version, sole: sole}
	}
	for _, v := range r.Versions {
		o := Origin{Service: service, Version: v.Version}
		gone := now
		if v.GoneAt != 0 {
			gone = now.Add(-max(storeNow-v.GoneAt, 0))
		}
		if seen, known := h.lastSeen[o]; !known || !seen.IsZero() && gone.After(seen) {
			h.lastSeen[o] = gone
		}
	}
}

// Sole returns the only version of a service within Retention, if there is one. It is certain if an earlier process
// had left a record, or once the history covers Retention: before that, streams may have begun at a version that was gone when
// the registry was first read.
func (h *History) Sole(now time.Time, service string) (version string, sole, certain bool) {
	versions := h.recent(now, service)
	if len(versions) != 1 {
		return "", false, false
	}
	first, loaded := h.loaded[service]
	return versions[0], true, !h.since.IsZero() && (loaded && !first.absent || now.Sub(h.since) > Retention)
}

// SoleAtStart returns the version at which all streams of a service began that are older than this process, if there was a
// single one.
func (h *History) SoleAtStart(now time.Time, service string) (string, bool) {
	first := h.loaded[service]
	return first.version, first.sole && now.Sub(h.started) <= Retention
}

// Mixed reports whether a stream that can still be resumed may have begun at one of several versions.
func (h *History) Mixed(now time.Time, service string) bool { return len(h.recent(now, service)) > 1 }

// Registered returns the versions of a service that have registered targets, and those that have had none for at least
// the given time, each sorted.
func (h *History) Registered(now time.Time, service string, absent time.Duration) (registered, gone []string) {
	for o, at := range h.lastSeen {
		switch {
		case o.Service != service:
		case at.IsZero():
			registered = append(registered, o.Version)
		case now.Sub(at) >= absent:
			gone = append(gone, o.Version)
		}
	}
	slices.Sort(registered)
	slices.Sort(gone)
	return registered, gone
}

func (h *History) recent(now time.Time, service string) []string {
	var versions []string
	for o, at := range h.lastSeen {
		if o.Service == service && (at.IsZero() || now.Sub(at) <= Retention) {
			versions = append(versions, o.Version)
		}
	}
	return versions
}
