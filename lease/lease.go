// Package lease decides whether the holder of a lease still has it.
//
// Holder and watcher each use their own monotonic clock and compare no times with each other. The
// holder counts from before it sent the renewal, the watcher from when it saw the renewal, so the
// holder's view always ends first (Gray and Cheriton, "Leases", 1989). A lease only saves work:
// what a holder may commit is decided by a fencing token.
package lease

import "time"

// Holder is the view of the process that holds a lease.
type Holder struct {
	term    time.Duration
	renewed time.Time
	held    bool
}

// NewHolder returns a holder without a lease, whose renewals each last for term.
func NewHolder(term time.Duration) *Holder { return &Holder{term: term} }

// Renewed records a renewal that took effect and was sent at the time sent.
func (h *Holder) Renewed(sent time.Time) {
	if !h.held || sent.After(h.renewed) {
		h.renewed = sent
		h.held = true
	}
}

// Valid reports whether the lease is held at the time now.
func (h *Holder) Valid(now time.Time) bool { return h.held && now.Before(h.renewed.Add(h.term)) }

// Watcher is the view of a process that waits for others' leases to end.
type Watcher struct {
	seen map[string]sighting
}

type sighting struct {
	version uint64
	term    time.Duration
	at      time.Time
	last    time.Time
}

// NewWatcher returns a watcher that has seen no lease.
func NewWatcher() *Watcher { return &Watcher{seen: map[string]sighting{}} }

// Observe records that the holder's row had the version at the time now. A row that does not exist has version zero.
func (w *Watcher) Observe(holder string, version uint64, term time.Duration, now time.Time) {
	s, ok := w.seen[holder]
	if !ok || s.version != version {
		s = sighting{version: version, term: term, at: now}
	}
	s.last = now
	w.seen[holder] = s
}

// Expired reports whether the holder's lease has ended. A holder that was never seen has not
// expired, since the watcher cannot know when it last renewed. The row must have been read
// again after the term: an old sighting says nothing about renewals since.
func (w *Watcher) Expired(holder string) bool {
	s, ok := w.seen[holder]
	return ok && s.last.Sub(s.at) >= s.term
}

// NeedsRead reports whether the holder's row was never read, or not since gap before now.
func (w *Watcher) NeedsRead(holder string, gap time.Duration, now time.Time) bool {
	s, ok := w.seen[holder]
	return !ok || now.Sub(s.last) >= gap
}

// Forget drops holders that were last seen before the cutoff.
func (w *Watcher) Forget(cutoff time.Time) {
	for holder, s := range w.seen {
		if s.last.Before(cutoff) {
			delete(w.seen, holder)
		}
	}
}
