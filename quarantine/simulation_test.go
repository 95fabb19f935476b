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
	o := &simulation{t: t, policy: p, now: time.Unix(1000, 0), answered: make(map[uint64]bool), nextFingerprint: poisonFingerprint + 1}
	for range entryCount {
		o.trackers = append(o.trackers, NewTracker(Config{}))
	}
	return o
}

func (o *simulation) inject(fingerprint uint64, entry int) {
	if fingerprint != poisonFingerprint {
		o.answered[fingerprint] = false
	}
	o.waiting = append(o.waiting, &attempt{fingerprint: fingerprint, entry: entry})
}

// place sends waiting requests to targets, like the admission of the entries.
func (o *simulation) place() {
	waiting := o.waiting
	o.waiting = nil
	for _, a := range waiting {
		switch {
		case o.policy.track && o.trackers[a.entry].Status(a.fingerprint) == Quarantined:
			o.refuse(a)
		case !o.start(a):
			o.waiting = append(o.waiting, a)
		}
	}
}

func (o *simulation) refuse(a *attempt) {
	if a.fingerprint != poisonFingerprint {
		o.t.Fatalf("unrelated request %d was refused as quarantined", a.fingerprint)
	}
	o.resend()
}

// resend makes the caller send the poison request again, through another entry.
func (o *simulation) resend() {
	if o.poisonSent < sendCount {
		o.inject(poisonFingerprint, o.poisonSent%entryCount)
		o.poisonSent++
	}
}

func (o *simulation) start(a *attempt) bool {
	a.suspect = o.policy.track && o.trackers[a.entry].Status(a.fingerprint) == Suspect
	target := o.choose(a)
	if target < 0 {
		return false
	}
	o.running[target] = append(o.running[target], a)
	return true
}

func (o *simulation) choose(a *attempt) int {
	if a.suspect && o.policy.isolate {
		return o.chooseIsolated(a)
	}
	offset := rapid.IntRange(0, targetCount-1).Draw(o.t, "target")
	for i := range targetCount {
		if target := (offset + i) % targetCount; o.accepts(target, a) {
			return target
		}
	}
	return -1
}

func (o *simulation) accepts(target int, a *attempt) bool {
	return !o.now.Before(o.downUntil[target]) && len(o.running[target]) < slotsPerTarget && !slices.Contains(a.tried, target)
}

// chooseIsolated returns the target with the highest rank for the fingerprint, or -1 if another suspect runs there.
func (o *simulation) chooseIsolated(a *attempt) int {
	best := -1
	var bestRank uint64
	for target := range targetCount {
		rank := dispatch.BlockRank(a.fingerprint, fmt.Sprint(target))
		if o.accepts(target, a) && (best < 0 || rank > bestRank) {
			best, bestRank = target, rank
		}
	}
	if best >= 0 && slices.ContainsFunc(o.running[best], func(b *attempt) bool { return b.suspect }) {
		return -1
	}
	return best
}

// end ends one running request. The poison request ends by crashing its target.
func (o *simulation) end(target, index int) {
	a := o.running[target][index]
	if a.fingerprint == poisonFingerprint {
		o.crash(target)
		return
	}
	o.running[target] = slices.Delete(o.running[target], index, index+1)
	o.answered[a.fingerprint] = true
	o.trackers[a.entry].RecordCompletion(a.fingerprint)
	o.publish()
}

func (o *simulation) crash(target int) {
	o.crashes++
	o.downUntil[target] = o.now.Add(10 * time.Second)
	interrupted := o.running[target]
	o.running[target] = nil
	for _, a := range interrupted {
		o.trackers[a.entry].RecordCrash(o.now, a.fingerprint, fmt.Sprint(target))
	}
	// Evidence reaches the other entries before any caller receives its response.
	o.publish()
	for _, a := range interrupted {
		a.tried = append(a.tried, target)
		if a.fingerprint == poisonFingerprint && a.retries > 0 {
			o.resend()
			continue
		}
		a.retries++
		o.waiting = append(o.waiting, a)
	}
}

func (o *simulation) publish() {
	for from, tracker := range o.trackers {
		for _, evidence := range tracker.TakeEvidence(o.now) {
			for to, other := range o.trackers {
				if to != from {
					other.Merge(o.now, evidence)
				}
			}
		}
	}
}

func (o *simulation) step() {
	o.now = o.now.Add(50 * time.Millisecond)
	o.place()
	target := rapid.IntRange(0, targetCount-1).Draw(o.t, "ending target")
	if n := len(o.running[target]); n > 0 {
		o.end(target, rapid.IntRange(0, n-1).Draw(o.t, "ending request"))
	}
	if o.crashes > maxCrashes {
		o.t.Fatalf("the poison request crashed %d targets", o.crashes)
	}
}

func (o *simulation) idle() bool {
	running := 0
	for _, attempts := range o.running {
		running += len(attempts)
	}
	return running+len(o.waiting) == 0
}

// runToEnd runs until no request is waiting or running.
func (o *simulation) runToEnd() {
	for range 2000 {
		if o.idle() {
			break
		}
		o.step()
	}
	for fingerprint, answered := range o.answered {
		if !answered {
			o.t.Fatalf("unrelated request %d got no response", fingerprint)
		}
	}
	if o.poisonSent != sendCount {
		o.t.Fatalf("the caller sent the poison request only %d times", o.poisonSent)
	}
}

func simulationProperty(p policy) func(*rapid.T) {
	return func(t *rapid.T) {
		o := newSimulation(t, p)
		o.resend()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				o.inject(o.nextFingerprint, rapid.IntRange(0, entryCount-1).Draw(t, "entry"))
				o.nextFingerprint++
			}
			o.step()
		}
		o.runToEnd()
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
