package evidence

import (
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// SharedTracker wraps a quarantine.Tracker and is safe for concurrent use.
type SharedTracker struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
}

var _ Tracker = (*SharedTracker)(nil)

// NewSharedTracker returns a tracker without evidence.
func NewSharedTracker(config quarantine.Config) *SharedTracker {
	return &SharedTracker{tracker: quarantine.NewTracker(config)}
}

// RecordCrash records that a target broke the connection of a running request.
func (t *SharedTracker) RecordCrash(now time.Time, fingerprint uint64, target string) quarantine.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Sweep(now)
	return t.tracker.RecordCrash(now, fingerprint, target)
}

// RecordCompletion records that a request ran to its end.
func (t *SharedTracker) RecordCompletion(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.RecordCompletion(fingerprint)
}

// TakeEvidence implements Tracker.
func (t *SharedTracker) TakeEvidence() []quarantine.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.TakeEvidence(time.Now())
}

// MergeEvidence implements Tracker.
func (t *SharedTracker) MergeEvidence(evidence []quarantine.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		t.tracker.Merge(time.Now(), e)
	}
}

// QuarantineStatus implements Tracker.
func (t *SharedTracker) QuarantineStatus(fingerprint uint64) quarantine.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Status(fingerprint)
}
