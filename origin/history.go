package origin

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/routing"
)

// History holds the versions of each service that are registered or were so within Retention.
type History struct {
	// since is when the registry was first read.
	since time.Time
	// lastSeen holds, by service and version, when a target was last registered. It is zero for those that still are.
	lastSeen map[Origin]time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{lastSeen: map[Origin]time.Time{}} }

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

// Sole returns the only version of a service within Retention, if there is one. It is certain once the history covers
// Retention: before that, streams may have begun at a version that was gone when the registry was first read.
func (h *History) Sole(now time.Time, service string) (version string, sole, certain bool) {
	n := 0
	for o, at := range h.lastSeen {
		if o.Service == service && (at.IsZero() || now.Sub(at) <= Retention) {
			version = o.Version
			n++
		}
	}
	return version, n == 1, n == 1 && now.Sub(h.since) > Retention
}
