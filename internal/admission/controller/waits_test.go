package controller

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// A burst of requests at one VM outnumbers the targets while batch work holds all slots. Each request may wait for
// one batch cancellation, not for several in sequence.
func TestBurstWaitsForOneBatchCancellation(t *testing.T) {
	const vms, engineCount, slots = 3, 2, 6
	runFleet(t, vms, engines(engineCount, slots), func(f *fleet) {
		for _, n := range f.nodes {
			n.startBatch(100)
		}
		time.Sleep(4 * time.Second)
		// A VM that owns no target has to request every credit from another VM.
		var requester *node
		for _, n := range f.nodes {
			owns := false
			for _, info := range n.Targets() {
				owns = owns || info.Owner == n.vm
			}
			if !owns {
				requester = n
			}
		}
		qt.Assert(t, requester, qt.IsNotNil)
		var requests sync.WaitGroup
		for range engineCount * 3 {
			requests.Go(func() {
				start := time.Now()
				grant, err := requester.acquire("a", time.Minute)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, time.Since(start) <= maxOnlineWait, qt.IsTrue, qt.Commentf("waited %s", time.Since(start)))
				time.Sleep(time.Second)
				grant.Release(completed)
			})
		}
		requests.Wait()
	})
}

// A holder whose credit call budget is used up keeps unused credits, and their owner does not know about it.
func TestUnusedCreditsAreRecalled(t *testing.T) {
	// recallBound allows for a credit request, a recall, the return and the response, and for a recall that arrives
	// too early.
	const recallBound = minRecallInterval + 8*oneWayDelay
	const slots = 4
	runFleet(t, 3, []*settings.Target{engine("t1", "az-a", slots)}, func(f *fleet) {
		owner := f.ownerOf("t1")
		var others []*node
		for _, n := range f.nodes {
			if n != owner {
				others = append(others, n)
			}
		}
		holder, requester := others[0], others[1]
		for range 3 {
			var requests sync.WaitGroup
			for range slots {
				requests.Go(func() {
					grant, err := holder.acquire("a", time.Minute)
					qt.Check(t, err, qt.IsNil)
					time.Sleep(2100 * time.Millisecond)
					holder.creditCalls.AllowN(time.Now(), holder.creditCalls.Burst())
					grant.Release(completed)
				})
			}
			requests.Wait()
			start := time.Now()
			grant, err := requester.acquire("a", time.Minute)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, time.Since(start) <= recallBound, qt.IsTrue, qt.Commentf("waited %s", time.Since(start)))
			grant.Release(completed)
			time.Sleep(10 * time.Second)
		}
	})
}

// setAllStates sets the state of all members and waits until the controllers have applied it.
func (f *fleet) setAllStates(state member.State) {
	members := slices.Clone(f.members)
	for i := range members {
		members[i].State = state
	}
	f.setMembers(members)
	time.Sleep(time.Second)
}

func TestLastVMServesWhileLeaving(t *testing.T) {
	runFleet(t, 1, engines(1, 4), func(f *fleet) {
		f.setAllStates(member.Leaving)
		start := time.Now()
		grant, err := f.node("vm-1").acquire("a", 30*time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		grant.Release(completed)
	})
}

func TestUnownedTargetsAreRefusedImmediately(t *testing.T) {
	runFleet(t, 1, engines(1, 4), func(f *fleet) {
		f.setAllStates(member.Dead)
		start := time.Now()
		_, err := f.node("vm-1").acquire("a", 30*time.Second)
		var refusal *verdict.Error
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
		qt.Check(t, refusal.Verdict, qt.Equals, verdict.NotRun)
		qt.Check(t, refusal.RetryAfter > 0, qt.IsTrue)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

// The credit request for a suspect returns credits that were free when the candidate targets were computed. The
// request queued behind the suspect must not use one of them.
func TestRequestBehindSuspectTakesNoReturnedCredit(t *testing.T) {
	runFleet(t, 2, []*settings.Target{engine("t1", "az-a", 4)}, func(f *fleet) {
		var requester *node
		for _, n := range f.nodes {
			if n != f.ownerOf("t1") {
				requester = n
			}
		}
		requester.creditCalls.AllowN(time.Now(), requester.creditCalls.Burst())
		grant, err := requester.acquire("a", time.Minute)
		qt.Assert(t, err, qt.IsNil)
		requester.creditCalls.AllowN(time.Now(), requester.creditCalls.Burst())
		grant.Release(completed)

		c := requester.Controller
		c.mu.Lock()
		defer c.mu.Unlock()
		now := time.Now()
		state := c.targets["t1"]
		qt.Assert(t, state.holder.Free(now), qt.Equals, 1)
		// With a fresh call budget, the requester returns each unused credit with its next credit request.
		c.creditCalls = rate.NewLimiter(rate.Limit(c.config.CreditCallRate), c.config.CreditCallBurst)
		const suspect = 7
		c.quarantine.RecordCrash(now, suspect, "another target")
		p := state.pool
		granted := 0
		waiters := []*waiter{
			c.newWaiter(p, admission.Request{ID: "suspect", Client: "a", Model: "m", Fingerprint: suspect, Deadline: now.Add(time.Second)}, now),
			c.newWaiter(p, admission.Request{ID: "other", Client: "a", Model: "m", Fingerprint: 8, Deadline: now.Add(time.Minute)}, now),
		}
		for _, w := range waiters {
			p.queue.Push(w.item)
		}
		c.grantWaiting(p, now)
		for _, w := range waiters {
			granted += len(w.result)
		}
		qt.Assert(t, state.holder.RequestPending(), qt.IsTrue)
		qt.Check(t, state.holder.InUse(), qt.Equals, granted)
	})
}
