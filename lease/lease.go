// Package lease determines whether a lease is still held.
//
// Holder and watcher each use their own monotonic clock and do not exchange timestamps. The holder counts
// from before it sent the renewal, the watcher from when it observed the renewal, so the lease always ends
// first for the holder (Gray and Cheriton, "Leases", 1989). A lease only avoids duplicate work: a fencing
// token decides what a holder may commit.
package lease

import "time"

// Holder tracks a lease on the process that holds it.
type Holder struct {
	term    time.Duration
	renewed time.Time
	held    bool
}

// NewHolder returns a holder without a lease. Each renewal lasts for term.
func NewHolder(term time.Duration) *Holder { return &Holder{term: term} }

// Renewed records a successful renewal that was sent at the given time.
func (h *Holder) Renewed(sent time.Time) {
	if !h.held || sent.After(h.renewed) {
		h.renewed = sent
		h.held = true
	}
}

// Valid reports whether the lease is held at the given time.
func (h *Holder) Valid(now time.Time) bool { return h.held && now.Before(h.renewed.Add(h.term)) }

// Watcher tracks the leases of other processes to detect their expiry.
type Watcher struct {
	observations map[string]observation
}

type observation struct {
	version   uint64
	term      time.Duration
	firstSeen time.Time
	lastRead  time.Time
}

// NewWatcher returns a watcher without observations.
func NewWatcher() *Watcher { return &Watcher{observations: map[string]observation{}} }

// Observe records the version of the holder's row as of now. A row that does not exist has version zero.
func (w *Watcher) Observe(holder string, version uint64, term time.Duration, now time.Time) {
	o, ok := w.observations[holder]
	if !ok || o.version != version {
		o = observation{version: version, term: term, firstSeen: now}
	}
	o.lastRead = now
	w.observations[holder] = o
}

// Expired reports whether the holder's lease has expired. A holder that was never observed has not
// expired, since the watcher cannot know when it last renewed. The row must have been read again at least
// one term after the version was first seen: an older read says nothing about renewals since.
func (w *Watcher) Expired(holder string) bool {
	o, ok := w.observations[holder]
	return ok && o.lastRead.Sub(o.firstSeen) >= o.term
}

// NeedsRead reports whether the holder's row has never been read, or not within maxAge.
func (w *Watcher) NeedsRead(holder string, maxAge time.Duration, now time.Time) bool {
	o, ok := w.observations[holder]
	return !ok || now.Sub(o.lastRead) >= maxAge
}

// Forget removes holders that were last read before the cutoff.
func (w *Watcher) Forget(cutoff time.Time) {
	for holder, o := range w.observations {
		if o.lastRead.Before(cutoff) {
			delete(w.observations, holder)
		}
	}
}
