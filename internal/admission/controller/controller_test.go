package controller

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

var completed = admission.Outcome{End: admission.EndCompleted, FirstToken: 100 * time.Millisecond, Duration: time.Second, Tokens: 10}

func TestAllEntriesAcquireFromOneOwner(t *testing.T) {
	runFleet(t, 3, []*settings.Target{engine("t1", "az-a", 6)}, func(f *fleet) {
		for vm, n := range f.nodes {
			start := time.Now()
			grant, err := n.acquire("a", time.Second)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", vm))
			qt.Assert(t, grant.Target.Name, qt.Equals, "t1")
			qt.Assert(t, time.Since(start) <= 2*oneWayDelay, qt.IsTrue)
			grant.Release(completed)
		}
	})
}

func TestAcquireWaitsForReleasedSlot(t *testing.T) {
	runFleet(t, 3, []*settings.Target{engine("t1", "az-a", 2)}, func(f *fleet) {
		first, err := f.nodes["vm-1"].acquire("a", time.Second)
		qt.Assert(t, err, qt.IsNil)
		_, err = f.nodes["vm-2"].acquire("a", time.Second)
		qt.Assert(t, err, qt.IsNil)
		time.AfterFunc(300*time.Millisecond, func() { first.Release(completed) })
		start := time.Now()
		_, err = f.nodes["vm-3"].acquire("a", 5*time.Second)
		qt.Assert(t, err, qt.IsNil)
		waited := time.Since(start)
		qt.Assert(t, waited >= 300*time.Millisecond && waited < 310*time.Millisecond, qt.IsTrue, qt.Commentf("%s", waited))
	})
}

func TestBatchYieldsSlotsToOnlineRequests(t *testing.T) {
	runFleet(t, 3, []*settings.Target{engine("t1", "az-a", 8)}, func(f *fleet) {
		time.Sleep(4 * time.Second)
		batch := f.ownerOf("t1").startBatch(100)
		time.Sleep(time.Second)
		qt.Assert(t, batch.running(), qt.Equals, 8)
		for range 2 {
			for vm, n := range f.nodes {
				start := time.Now()
				_, err := n.acquire("a", time.Second)
				qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", vm))
				qt.Assert(t, time.Since(start) <= 2*oneWayDelay+cancelDelay, qt.IsTrue, qt.Commentf("%s waited %s", vm, time.Since(start)))
			}
		}
		synctest.Wait()
		qt.Assert(t, batch.running() <= 2, qt.IsTrue)
	})
}

func TestUnmeetableDeadlineIsRefusedImmediately(t *testing.T) {
	runFleet(t, 1, []*settings.Target{engine("t1", "az-a", 2)}, func(f *fleet) {
		n := f.nodes["vm-1"]
		warm, err := n.acquire("a", time.Second)
		qt.Assert(t, err, qt.IsNil)
		warm.Release(admission.Outcome{End: admission.EndCompleted, FirstToken: 100 * time.Millisecond, Duration: 10 * time.Second})
		for range 2 {
			_, err := n.acquire("a", time.Second)
			qt.Assert(t, err, qt.IsNil)
		}
		start := time.Now()
		_, err = n.acquire("a", time.Second)
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
		var refusal *verdict.Error
		qt.Assert(t, err, qt.ErrorAs, &refusal)
		qt.Assert(t, refusal.Verdict, qt.Equals, verdict.NotRun)
		qt.Assert(t, refusal.RetryAfter >= 4*time.Second, qt.IsTrue)
	})
}

func TestOwnershipMovesWhenOwnerIsLost(t *testing.T) {
	runFleet(t, 3, []*settings.Target{engine("t1", "az-a", 4)}, func(f *fleet) {
		f.failVM("vm-1")
		for _, vm := range []string{"vm-2", "vm-3"} {
			_, err := f.nodes[vm].acquire("a", 2*time.Second)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", vm))
		}
	})
}

func TestModelWithoutTargetIsRefused(t *testing.T) {
	runFleet(t, 1, nil, func(f *fleet) {
		_, err := f.nodes["vm-1"].acquire("a", time.Second)
		qt.Assert(t, errorContains(err, "no_target_available (not-run)"), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func TestAcquireAppliesNewSettingsRevision(t *testing.T) {
	runFleet(t, 1, nil, func(f *fleet) {
		time.Sleep(time.Second)
		f.setTargets(engine("t1", "az-a", 1))
		_, err := f.nodes["vm-1"].acquire("a", 2*time.Second)
		qt.Assert(t, err, qt.IsNil)
	})
}
