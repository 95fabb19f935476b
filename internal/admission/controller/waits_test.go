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

// Requests that arrive together at one VM outnumber the targets, and batch work has all slots.
func TestRequestsThatArriveTogetherWaitForOneCancelledItem(t *testing.T) {
	const vms, engineCount, slots = 3, 2, 6
	runFleet(t, vms, engines(engineCount, slots), func(f *fleet) {
		for _, n := range f.nodes {
			n.startBatch(100)
		}
		time.Sleep(4 * time.Second)
		// A VM that owns no target has to ask for every credit.
		var asker *node
		for _, n := range f.nodes {
			owns := false
			for _, info := range n.Targets() {
				owns = owns || info.Owner == n.vm
			}
			if !owns {
				asker = n
			}
		}
		qt.Assert(t, asker, qt.IsNotNil)
		var requests sync.WaitGroup
		for range engineCount * 3 {
			requests.Go(func() {
				began := time.Now()
				grant, err := asker.acquire("a", time.Minute)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, time.Since(began) <= maxOnlineWait, qt.IsTrue, qt.Commentf("waited %s", time.Since(began)))
				time.Sleep(time.Second)
				grant.Release(completed)
			})
		}
		requests.Wait()
	})
}

// A holder that exchanges too many messages keeps credits that it does not use, and its owner does not know.
func TestCreditsThatAreKeptUnusedAreRecalledForAnotherVM(t *testing.T) {
	// recallBound allows for an ask, a recall, the return and the answer, and for a recall that comes too early.
	const recallBound = recallPause + 8*oneWay
	const slots = 4
	runFleet(t, 3, []*settings.Target{engine("t1", "az-a", slots)}, func(f *fleet) {
		owner := f.ownerOf("t1")
		var others []*node
		for _, n := range f.nodes {
			if n != owner {
				others = append(others, n)
			}
		}
		keeper, asker := others[0], others[1]
		for range 3 {
			var requests sync.WaitGroup
			for range slots {
				requests.Go(func() {
					grant, err := keeper.acquire("a", time.Minute)
					qt.Check(t, err, qt.IsNil)
					time.Sleep(2100 * time.Millisecond)
					keeper.exchanges.AllowN(time.Now(), keeper.exchanges.Burst())
					grant.Release(completed)
				})
			}
			requests.Wait()
			began := time.Now()
			grant, err := asker.acquire("a", time.Minute)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, time.Since(began) <= recallBound, qt.IsTrue, qt.Commentf("waited %s", time.Since(began)))
			grant.Release(completed)
			time.Sleep(10 * time.Second)
		}
	})
}

// becomeAll puts all members into one state, and waits until the controllers have seen it.
func (f *fleet) becomeAll(state member.State) {
	members := slices.Clone(f.members)
	for i := range members {
		members[i].State = state
	}
	f.setMembers(members)
	time.Sleep(time.Second)
}

func TestTheLastVMServesWhileItLeaves(t *testing.T) {
	runFleet(t, 1, engines(1, 4), func(f *fleet) {
		f.becomeAll(member.Leaving)
		began := time.Now()
		grant, err := f.node("vm-1").acquire("a", 30*time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
		grant.Release(completed)
	})
}

func TestARequestForTargetsThatNobodyOwnsIsRefusedAtOnce(t *testing.T) {
	runFleet(t, 1, engines(1, 4), func(f *fleet) {
		f.becomeAll(member.Dead)
		began := time.Now()
		_, err := f.node("vm-1").acquire("a", 30*time.Second)
		var refusal *verdict.Error
		qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
		qt.Check(t, refusal.Verdict, qt.Equals, verdict.NotRun)
		qt.Check(t, refusal.RetryAfter > 0, qt.IsTrue)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}

// The ask for a suspect returns credits that were free when the targets were looked at.
func TestARequestBehindASuspectTakesNoCreditThatHasBeenReturned(t *testing.T) {
	runFleet(t, 2, []*settings.Target{engine("t1", "az-a", 4)}, func(f *fleet) {
		var asker *node
		for _, n := range f.nodes {
			if n != f.ownerOf("t1") {
				asker = n
			}
		}
		asker.exchanges.AllowN(time.Now(), asker.exchanges.Burst())
		grant, err := asker.acquire("a", time.Minute)
		qt.Assert(t, err, qt.IsNil)
		asker.exchanges.AllowN(time.Now(), asker.exchanges.Burst())
		grant.Release(completed)

		c := asker.Controller
		c.mu.Lock()
		defer c.mu.Unlock()
		now := time.Now()
		state := c.targets["t1"]
		qt.Assert(t, state.holder.Free(now), qt.Equals, 1)
		// The asker has messages to spare again, and returns each unused credit with its next ask.
		c.exchanges = rate.NewLimiter(rate.Limit(c.config.ExchangeRate), c.config.ExchangeBurst)
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
		c.placeWaiting(p, now)
		for _, w := range waiters {
			granted += len(w.granted)
		}
		qt.Assert(t, state.holder.RequestPending(), qt.IsTrue)
		qt.Check(t, state.holder.InUse(), qt.Equals, granted)
	})
}
