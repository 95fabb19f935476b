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

// RecordCrash records that a target broke off a request that was sent to it at sentAt, and returns the request's status. Begun
// means that the target had begun to answer.
func (t *SharedTracker) RecordCrash(sentAt time.Time, content quarantine.Content, target string, begun bool) quarantine.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.tracker.Sweep(now)
	status := t.tracker.RecordCrash(now, content.Fingerprint, target)
	if !begun {
		t.tracker.RecordUnanswered(now, sentAt, content, target)
	}
	return status
}

// RecordUnanswered records that a target broke off a request before it began to answer, and attributes that to what the
// request shares with others only.
func (t *SharedTracker) RecordUnanswered(sentAt time.Time, content quarantine.Content, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.RecordUnanswered(time.Now(), sentAt, content, target)
}

// RecordBegun records that a target has begun to answer a request.
func (t *SharedTracker) RecordBegun(content quarantine.Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.RecordBegun(time.Now(), content)
}

// RecordCompletion records that a request ran to its end.
func (t *SharedTracker) RecordCompletion(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.RecordCompletion(fingerprint)
}

// Check returns the status of a request, and how long it remains quarantined if that is known.
func (t *SharedTracker) Check(content quarantine.Content) (quarantine.Status, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Check(time.Now(), content)
}

// TakeReport implements Tracker.
func (t *SharedTracker) TakeReport() (quarantine.Report, []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.TakeReport(time.Now()), t.tracker.TakeCleared()
}

// MergeReport implements Tracker.
func (t *SharedTracker) MergeReport(from string, report quarantine.Report) []quarantine.BlameReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.MergeReport(time.Now(), from, report)
}

// MergeStored implements Tracker.
func (t *SharedTracker) MergeStored(blame quarantine.BlameReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.MergeStored(time.Now(), blame)
}

// Blames implements Tracker.
func (t *SharedTracker) Blames() []quarantine.BlameReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Blames(time.Now())
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
