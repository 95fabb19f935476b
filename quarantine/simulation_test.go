package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

const (
	entryCount     = 3
	targetCount    = 6
	slotsPerTarget = 4
	// poisonFingerprint is the fingerprint that crashes every target that runs it.
	poisonFingerprint = 1
	// sendCount is the number of times that the caller sends the poison request.
	sendCount = 10
	// maxCrashes is the number of targets that the poison request may crash.
	maxCrashes = 2
)

// policy selects the parts of the protection that are in use.
type policy struct {
	track   bool
	isolate bool
}

// simulation simulates a fleet under load in which one caller resends a poison request through different entries.
type simulation struct {
	t               *rapid.T
	policy          policy
	now             time.Time
	trackers        []*Tracker
	running         [targetCount][]*attempt
	downUntil       [targetCount]time.Time
	waiting         []*attempt
	answered        map[uint64]bool
	poisonSent      int
	crashes         int
	nextFingerprint uint64
}

// attempt is a request that an entry is handling.
type attempt struct {
	fingerprint uint64
	entry       int
	tried       []int
	suspect     bool
	// retries is the number of times that the entry has retried the request.
	retries int
}

func newSimulation(t *rapid.T, p policy) *simulation {
	s := &simulation{t: t, policy: p, now: time.Unix(1000, 0), answered: make(map[uint64]bool), nextFingerprint: poisonFingerprint + 1}
	for range entryCount {
		s.trackers = append(s.trackers, NewTracker(Config{}))
	}
	return s
}

func (s *simulation) inject(fingerprint uint64, entry int) {
	if fingerprint != poisonFingerprint {
		s.answered[fingerprint] = false
	}
	s.waiting = append(s.waiting, &attempt{fingerprint: fingerprint, entry: entry})
}

// place sends waiting requests to targets, like the admission of the entries.
func (s *simulation) place() {
	waiting := s.waiting
	s.waiting = nil
	for _, a := range waiting {
		switch {
		case s.policy.track && s.trackers[a.entry].Status(a.fingerprint) == Quarantined:
			s.refuse(a)
		case !s.start(a):
			s.waiting = append(s.waiting, a)
		}
	}
}

func (s *simulation) refuse(a *attempt) {
	if a.fingerprint != poisonFingerprint {
		s.t.Fatalf("unrelated request %d was refused as quarantined", a.fingerprint)
	}
	s.resend()
}

// resend makes the caller send the poison request again, through another entry.
func (s *simulation) resend() {
	if s.poisonSent < sendCount {
		s.inject(poisonFingerprint, s.poisonSent%entryCount)
		s.poisonSent++
	}
}

func (s *simulation) start(a *attempt) bool {
	a.suspect = s.policy.track && s.trackers[a.entry].Status(a.fingerprint) == Suspect
	target := s.choose(a)
	if target < 0 {
		return false
	}
	s.running[target] = append(s.running[target], a)
	return true
}

func (s *simulation) choose(a *attempt) int {
	if a.suspect && s.policy.isolate {
		return s.chooseIsolated(a)
	}
	offset := rapid.IntRange(0, targetCount-1).Draw(s.t, "target")
	for i := range targetCount {
		if target := (offset + i) % targetCount; s.accepts(target, a) {
			return target
		}
	}
	return -1
}

func (s *simulation) accepts(target int, a *attempt) bool {
	return !s.now.Before(s.downUntil[target]) && len(s.running[target]) < slotsPerTarget && !slices.Contains(a.tried, target)
}

// chooseIsolated returns the target with the highest rank for the fingerprint, or -1 if another suspect runs there.
func (s *simulation) chooseIsolated(a *attempt) int {
	best := -1
	var bestRank uint64
	for target := range targetCount {
		rank := dispatch.BlockRank(a.fingerprint, fmt.Sprint(target))
		if s.accepts(target, a) && (best < 0 || rank > bestRank) {
			best, bestRank = target, rank
		}
	}
	if best >= 0 && slices.ContainsFunc(s.running[best], func(b *attempt) bool { return b.suspect }) {
		return -1
	}
	return best
}

// end ends one running request. The poison request ends by crashing its target.
func (s *simulation) end(target, index int) {
	a := s.running[target][index]
	if a.fingerprint == poisonFingerprint {
		s.crash(target)
		return
	}
	s.running[target] = slices.Delete(s.running[target], index, index+1)
	s.answered[a.fingerprint] = true
	s.trackers[a.entry].RecordCompletion(a.fingerprint)
	s.publish()
}

func (s *simulation) crash(target int) {
	s.crashes++
	s.downUntil[target] = s.now.Add(10 * time.Second)
	interrupted := s.running[target]
	s.running[target] = nil
	for _, a := range interrupted {
		s.trackers[a.entry].RecordCrash(s.now, a.fingerprint, fmt.Sprint(target))
	}
	// Evidence reaches the other entries before any caller receives its response.
	s.publish()
	for _, a := range interrupted {
		a.tried = append(a.tried, target)
		if a.fingerprint == poisonFingerprint && a.retries > 0 {
			s.resend()
			continue
		}
		a.retries++
		s.waiting = append(s.waiting, a)
	}
}

func (s *simulation) publish() {
	for from, tracker := range s.trackers {
		for _, evidence := range tracker.TakeEvidence(s.now) {
			for to, other := range s.trackers {
				if to != from {
					other.Merge(s.now, evidence)
				}
			}
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(50 * time.Millisecond)
	s.place()
	target := rapid.IntRange(0, targetCount-1).Draw(s.t, "ending target")
	if n := len(s.running[target]); n > 0 {
		s.end(target, rapid.IntRange(0, n-1).Draw(s.t, "ending request"))
	}
	if s.crashes > maxCrashes {
		s.t.Fatalf("the poison request crashed %d targets", s.crashes)
	}
}

func (s *simulation) idle() bool {
	running := 0
	for _, attempts := range s.running {
		running += len(attempts)
	}
	return running+len(s.waiting) == 0
}

// runToEnd runs until no request is waiting or running.
func (s *simulation) runToEnd() {
	for range 2000 {
		if s.idle() {
			break
		}
		s.step()
	}
	for fingerprint, answered := range s.answered {
		if !answered {
			s.t.Fatalf("unrelated request %d got no response", fingerprint)
		}
	}
	if s.poisonSent != sendCount {
		s.t.Fatalf("the caller sent the poison request only %d times", s.poisonSent)
	}
}

func simulationProperty(p policy) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(t, p)
		s.resend()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				s.inject(s.nextFingerprint, rapid.IntRange(0, entryCount-1).Draw(t, "entry"))
				s.nextFingerprint++
			}
			s.step()
		}
		s.runToEnd()
	}
}

func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, simulationProperty(policy{track: true, isolate: true}))
}

func TestNaiveRetriesFail(t *testing.T) {
	t.Run("retrying anywhere crashes more targets", func(t *testing.T) {
		rapidtest.MustFail(t, simulationProperty(policy{}))
	})
	t.Run("suspects on the same target get unrelated requests quarantined", func(t *testing.T) {
		rapidtest.MustFail(t, simulationProperty(policy{track: true}))
	})
}
