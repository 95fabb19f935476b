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
	outbreakEntries = 3
	outbreakTargets = 6
	outbreakSlots   = 4
	// poison is the fingerprint that crashes every target that runs it.
	poison = 1
	// resends is how often the caller of the poison request sends it.
	resends = 10
	// crashBound is the number of targets that it may take down.
	crashBound = 2
)

// policy says which parts of the defence are in use.
type policy struct {
	track bool
	apart bool
}

// outbreak is a fleet under load in which one caller resends a poison request through different entries.
type outbreak struct {
	t        *rapid.T
	policy   policy
	now      time.Time
	trackers []*Tracker
	running  [outbreakTargets][]*attempt
	down     [outbreakTargets]time.Time
	waiting  []*attempt
	answered map[uint64]bool
	sent     int
	crashes  int
	next     uint64
}

// attempt is a request at an entry.
type attempt struct {
	fingerprint uint64
	entry       int
	tried       []int
	suspect     bool
	// retries is the number of times that the entry has sent it again.
	retries int
}

func newOutbreak(t *rapid.T, p policy) *outbreak {
	o := &outbreak{t: t, policy: p, now: time.Unix(1000, 0), answered: make(map[uint64]bool), next: poison + 1}
	for range outbreakEntries {
		o.trackers = append(o.trackers, NewTracker(Config{}))
	}
	return o
}

func (o *outbreak) inject(fingerprint uint64, entry int) {
	if fingerprint != poison {
		o.answered[fingerprint] = false
	}
	o.waiting = append(o.waiting, &attempt{fingerprint: fingerprint, entry: entry})
}

// place sends waiting requests to targets, as the entries' admission does.
func (o *outbreak) place() {
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

func (o *outbreak) refuse(a *attempt) {
	if a.fingerprint != poison {
		o.t.Fatalf("bystander %d is refused as quarantined", a.fingerprint)
	}
	o.resend()
}

// resend lets the caller send the poison request again, through another entry.
func (o *outbreak) resend() {
	if o.sent < resends {
		o.inject(poison, o.sent%outbreakEntries)
		o.sent++
	}
}

func (o *outbreak) start(a *attempt) bool {
	a.suspect = o.policy.track && o.trackers[a.entry].Status(a.fingerprint) == Suspect
	target := o.choose(a)
	if target < 0 {
		return false
	}
	o.running[target] = append(o.running[target], a)
	return true
}

func (o *outbreak) choose(a *attempt) int {
	if a.suspect && o.policy.apart {
		return o.chooseApart(a)
	}
	offset := rapid.IntRange(0, outbreakTargets-1).Draw(o.t, "target")
	for i := range outbreakTargets {
		if target := (offset + i) % outbreakTargets; o.accepts(target, a) {
			return target
		}
	}
	return -1
}

func (o *outbreak) accepts(target int, a *attempt) bool {
	return !o.now.Before(o.down[target]) && len(o.running[target]) < outbreakSlots && !slices.Contains(a.tried, target)
}

// chooseApart returns the one target for the fingerprint, if no other suspect runs there.
func (o *outbreak) chooseApart(a *attempt) int {
	best := -1
	var bestRank uint64
	for target := range outbreakTargets {
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

// end ends one running request; the poison request ends by crashing its target.
func (o *outbreak) end(target, index int) {
	a := o.running[target][index]
	if a.fingerprint == poison {
		o.crash(target)
		return
	}
	o.running[target] = slices.Delete(o.running[target], index, index+1)
	o.answered[a.fingerprint] = true
	o.trackers[a.entry].RecordCompletion(a.fingerprint)
	o.publish()
}

func (o *outbreak) crash(target int) {
	o.crashes++
	o.down[target] = o.now.Add(10 * time.Second)
	cut := o.running[target]
	o.running[target] = nil
	for _, a := range cut {
		o.trackers[a.entry].RecordCrash(o.now, a.fingerprint, fmt.Sprint(target))
	}
	// Evidence reaches the other entries before any caller gets its answer.
	o.publish()
	for _, a := range cut {
		a.tried = append(a.tried, target)
		if a.fingerprint == poison && a.retries > 0 {
			o.resend()
			continue
		}
		a.retries++
		o.waiting = append(o.waiting, a)
	}
}

func (o *outbreak) publish() {
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

func (o *outbreak) step() {
	o.now = o.now.Add(50 * time.Millisecond)
	o.place()
	target := rapid.IntRange(0, outbreakTargets-1).Draw(o.t, "ending target")
	if n := len(o.running[target]); n > 0 {
		o.end(target, rapid.IntRange(0, n-1).Draw(o.t, "ending request"))
	}
	if o.crashes > crashBound {
		o.t.Fatalf("the poison request took down %d targets", o.crashes)
	}
}

func (o *outbreak) idle() bool {
	running := 0
	for _, attempts := range o.running {
		running += len(attempts)
	}
	return running+len(o.waiting) == 0
}

// settle lets everything that still waits or runs come to its end.
func (o *outbreak) settle() {
	for range 2000 {
		if o.idle() {
			break
		}
		o.step()
	}
	for fingerprint, answered := range o.answered {
		if !answered {
			o.t.Fatalf("bystander %d got no answer", fingerprint)
		}
	}
	if o.sent != resends {
		o.t.Fatalf("the caller got only %d answers", o.sent)
	}
}

func outbreakOf(p policy) func(*rapid.T) {
	return func(t *rapid.T) {
		o := newOutbreak(t, p)
		o.resend()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				o.inject(o.next, rapid.IntRange(0, outbreakEntries-1).Draw(t, "entry"))
				o.next++
			}
			o.step()
		}
		o.settle()
	}
}

func TestAPoisonRequestTakesDownAtMostTwoTargetsAndBystandersAreAnswered(t *testing.T) {
	rapid.Check(t, outbreakOf(policy{track: true, apart: true}))
}

func TestNaiveWaysOfRetryingFail(t *testing.T) {
	t.Run("retrying anywhere takes down more targets", func(t *testing.T) {
		rapidtest.MustFail(t, outbreakOf(policy{}))
	})
	t.Run("suspects that meet get bystanders quarantined", func(t *testing.T) {
		rapidtest.MustFail(t, outbreakOf(policy{track: true}))
	})
}
