package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func TestSecondCrashOnAnotherTargetQuarantines(t *testing.T) {
	tracker := NewTracker(Config{})
	qt.Assert(t, tracker.RecordCrash(start, 7, "a"), qt.Equals, Suspect)
	qt.Assert(t, tracker.RecordCrash(start, 7, "a"), qt.Equals, Suspect)
	qt.Assert(t, tracker.RecordCrash(start, 7, "b"), qt.Equals, Quarantined)
	qt.Assert(t, tracker.Targets(7), qt.DeepEquals, []string{"a", "b"})
	tracker.RecordCompletion(7)
	qt.Assert(t, tracker.Status(7), qt.Equals, Quarantined)
}

func TestSecondCrashOfSameTargetCountsAfterMassFailureWindow(t *testing.T) {
	tracker, other := NewTracker(Config{}), NewTracker(Config{})
	tracker.RecordCrash(start, 7, "a")
	qt.Assert(t, tracker.RecordCrash(start.Add(time.Second), 7, "a"), qt.Equals, Suspect)
	qt.Assert(t, tracker.RecordCrash(start.Add(time.Minute), 7, "a"), qt.Equals, Quarantined)
	once := Evidence{Fingerprint: 7, Targets: []string{"a"}}
	other.Merge(start, once)
	qt.Assert(t, other.Merge(start, once), qt.Equals, Suspect)
	qt.Assert(t, other.Merge(start, Evidence{Fingerprint: 7, Targets: []string{"a", "a"}}), qt.Equals, Quarantined)
}

func TestCompletionClearsSuspect(t *testing.T) {
	tracker, other := NewTracker(Config{}), NewTracker(Config{})
	tracker.RecordCrash(start, 7, "a")
	for _, evidence := range tracker.TakeEvidence(start) {
		qt.Assert(t, other.Merge(start, evidence), qt.Equals, Suspect)
	}
	tracker.RecordCompletion(7)
	qt.Assert(t, tracker.Status(7), qt.Equals, Clear)
	for _, evidence := range tracker.TakeEvidence(start) {
		qt.Assert(t, other.Merge(start, evidence), qt.Equals, Clear)
	}
}

func TestEvidenceOfTwoVMsAddsUp(t *testing.T) {
	tracker := NewTracker(Config{})
	tracker.RecordCrash(start, 7, "a")
	qt.Assert(t, tracker.Merge(start, Evidence{Fingerprint: 7, Targets: []string{"b"}}), qt.Equals, Quarantined)
}

// A crash counted twice at a VM that learned of it from another one before it observed it, so that two targets sufficed to quarantine a
// request where three have to crash.
func TestCrashThatAnotherVMReportedFirstCountsOnce(t *testing.T) {
	tracker := NewTracker(Config{CrashThreshold: 3})
	tracker.Merge(start, Evidence{Fingerprint: 7, Targets: []string{"a"}})
	tracker.RecordCrash(start.Add(15*time.Millisecond), 7, "a")
	qt.Assert(t, tracker.Targets(7), qt.DeepEquals, []string{"a"})
	qt.Assert(t, tracker.RecordCrash(start.Add(100*time.Millisecond), 7, "b"), qt.Equals, Suspect)
	qt.Assert(t, tracker.RecordCrash(start.Add(time.Minute), 7, "a"), qt.Equals, Quarantined)
}

func TestMassFailureCreatesNoSuspects(t *testing.T) {
	tracker := NewTracker(Config{})
	for i, target := range []string{"a", "b", "c", "d"} {
		tracker.RecordCrash(start, uint64(i+1), target)
	}
	for fingerprint := uint64(1); fingerprint <= 4; fingerprint++ {
		qt.Assert(t, tracker.Status(fingerprint), qt.Equals, Clear)
	}
	later := start.Add(3 * time.Second)
	qt.Assert(t, tracker.RecordCrash(later, 9, "e"), qt.Equals, Suspect)
}

func TestMemoryIsBoundedAndOldestIsEvicted(t *testing.T) {
	tracker := NewTracker(Config{MaxSuspects: 10, MaxQuarantined: 10})
	for i := range uint64(100) {
		now := start.Add(time.Duration(i) * time.Minute)
		tracker.RecordCrash(now, 2*i+1, "a")
		tracker.RecordCrash(now, 2*i+2, "a")
		tracker.RecordCrash(now.Add(time.Second), 2*i+2, "b")
	}
	qt.Assert(t, len(tracker.suspects) <= 10, qt.IsTrue)
	qt.Assert(t, len(tracker.quarantined), qt.Equals, 10)
	qt.Assert(t, len(tracker.outbox) <= 10, qt.IsTrue)
	qt.Assert(t, tracker.Status(200), qt.Equals, Quarantined)
	tracker.Sweep(start.Add(48 * time.Hour))
	qt.Assert(t, tracker.Status(200), qt.Equals, Clear)
}

func TestEvidenceIsRateLimitedMostCrashesFirst(t *testing.T) {
	tracker := NewTracker(Config{PublishRate: 1, PublishBurst: 2})
	for i := range uint64(5) {
		tracker.RecordCrash(start, i+1, "a")
	}
	tracker.RecordCrash(start, 5, "b")
	due := tracker.TakeEvidence(start)
	qt.Assert(t, due, qt.HasLen, 2)
	qt.Assert(t, due[0], qt.DeepEquals, Evidence{Fingerprint: 5, Targets: []string{"a", "b"}})
	qt.Assert(t, tracker.TakeEvidence(start), qt.HasLen, 0)
	qt.Assert(t, tracker.TakeEvidence(start.Add(time.Second)), qt.HasLen, 1)
}

func TestFingerprintDependsOnEachPart(t *testing.T) {
	base := Fingerprint("client", "model", []byte("body"))
	qt.Assert(t, Fingerprint("client", "model", []byte("body")), qt.Equals, base)
	qt.Assert(t, Fingerprint("clientm", "odel", []byte("body")), qt.Not(qt.Equals), base)
	qt.Assert(t, Fingerprint("client", "model", []byte("bodies")), qt.Not(qt.Equals), base)
}

func BenchmarkFingerprint4KiB(b *testing.B) {
	body := make([]byte, 4096)
	b.SetBytes(int64(len(body)))
	for range b.N {
		Fingerprint("client", "model", body)
	}
}

func BenchmarkStatus(b *testing.B) {
	tracker := NewTracker(Config{})
	for i := range uint64(4000) {
		tracker.Merge(start, Evidence{Fingerprint: i + 1, Targets: []string{"a"}})
	}
	b.ResetTimer()
	for i := range b.N {
		tracker.Status(uint64(i))
	}
}
