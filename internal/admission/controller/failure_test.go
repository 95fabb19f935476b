package controller

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/batchslots"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// maxLeaveDelay is how long after its announcement a leaving target may still be given new work.
const maxLeaveDelay = 3 * time.Second

// engines returns n engines, spread over three availability zones.
func engines(n, slots int) []*settings.Target {
	var list []*settings.Target
	for i := range n {
		list = append(list, engine(fmt.Sprint("t", i), fmt.Sprintf("az-%c", 'a'+i%3), slots))
	}
	return list
}

func TestUnresponsiveOwnerDoesNotDelayRequests(t *testing.T) {
	runFleet(t, 3, engines(3, 8), func(f *fleet) {
		// The VM's failure has not been detected yet.
		f.mu.Lock()
		f.unreachable["vm-1"] = true
		f.mu.Unlock()
		for range 10 {
			start := time.Now()
			_, err := f.nodes["vm-2"].acquire("a", time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, time.Since(start) <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
		}
	})
}

func TestLongQueueDoesNotStarveOtherEntries(t *testing.T) {
	runFleet(t, 2, engines(1, 8), func(f *fleet) {
		var served [2]atomic.Int64
		var clients sync.WaitGroup
		startClients := func(vm, n int) {
			for range n {
				clients.Go(func() {
					for f.ctx.Err() == nil {
						grant, err := f.nodes[fmt.Sprint("vm-", vm+1)].acquire("a", time.Hour)
						if err != nil {
							return
						}
						time.Sleep(200 * time.Millisecond)
						grant.Release(admission.Outcome{End: admission.EndCompleted})
						served[vm].Add(1)
					}
				})
			}
		}
		startClients(0, 60)
		time.Sleep(5 * time.Second)
		startClients(1, 20)
		time.Sleep(2 * time.Second)
		before := [2]int64{served[0].Load(), served[1].Load()}
		time.Sleep(10 * time.Second)
		first, second := served[0].Load()-before[0], served[1].Load()-before[1]
		qt.Assert(t, second >= 2*first/3, qt.IsTrue, qt.Commentf("%d and %d", first, second))
		qt.Assert(t, first >= 2*second/3, qt.IsTrue, qt.Commentf("%d and %d", first, second))
		qt.Assert(t, first+second >= 360, qt.IsTrue, qt.Commentf("served %d of at most 400", first+second))
	})
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	remaining := []*settings.Target{engine("t1", "az-b", 8)}
	leaveSignals := map[string]func(f *fleet){
		"removed from the settings": func(f *fleet) { f.setTargets(remaining...) },
		"listed as leaving by the platform": func(f *fleet) {
			f.listAsLeaving("127.0.0.1:9000")
		},
		"refusing requests": func(f *fleet) {
			f.nodes["vm-1"].refuseUntilEjected("t0")
		},
	}
	for name, signal := range leaveSignals {
		t.Run(name, func(t *testing.T) {
			targets := engines(2, 8)
			targets[0].Address = "127.0.0.1:9000"
			runFleet(t, 3, targets, func(f *fleet) {
				f.probesSucceed = false
				time.Sleep(4 * time.Second)
				workers := []*batchWorker{f.ownerOf("t0").startBatch(4)}
				signal(f)
				time.Sleep(maxLeaveDelay)
				granted := workers[0].grantedOn("t0")
				for i := range 12 {
					grant, err := f.nodes[fmt.Sprint("vm-", i%3+1)].acquire("a", time.Second)
					if err != nil {
						break
					}
					qt.Assert(t, grant.Target.Name, qt.Equals, "t1")
				}
				time.Sleep(2 * time.Second)
				qt.Assert(t, workers[0].grantedOn("t0"), qt.Equals, granted)
			})
		})
	}
}

func TestDrainRefusesRequestsAndRevokesBatchSlots(t *testing.T) {
	runFleet(t, 1, engines(1, 4), func(f *fleet) {
		time.Sleep(4 * time.Second)
		n := f.nodes["vm-1"]
		batch := n.startBatch(10)
		grant, err := n.acquire("a", time.Second)
		qt.Assert(t, err, qt.IsNil)
		n.Drain()
		time.Sleep(time.Second)
		qt.Assert(t, batch.running(), qt.Equals, 0)
		_, err = n.acquire("a", time.Second)
		qt.Assert(t, errorContains(err, "entry_leaving (not-run)"), qt.IsTrue)
		grant.Release(completed)
	})
}

func TestDisconnectedBatchProcessFreesSlots(t *testing.T) {
	runFleet(t, 1, engines(1, 4), func(f *fleet) {
		time.Sleep(4 * time.Second)
		n := f.nodes["vm-1"]
		first := n.startBatch(10)
		time.Sleep(time.Second)
		qt.Assert(t, first.running(), qt.Equals, 4)
		first.stop()
		second := n.startBatch(10)
		time.Sleep(time.Second)
		qt.Assert(t, second.running(), qt.Equals, 4)
	})
}

func TestClientsShareSlotsByWeight(t *testing.T) {
	runFleet(t, 1, engines(1, 2), func(f *fleet) {
		f.setClient(&settings.Client{Name: "heavy", Weight: 3})
		f.setClient(&settings.Client{Name: "light", Weight: 1})
		time.Sleep(time.Second)
		n := f.nodes["vm-1"]
		var served sync.Map
		count := func(client string) *atomic.Int64 {
			counter, _ := served.LoadOrStore(client, new(atomic.Int64))
			return counter.(*atomic.Int64)
		}
		for _, client := range []string{"light", "heavy"} {
			for range 40 {
				go func() {
					if grant, err := n.acquire(client, time.Hour); err == nil {
						time.Sleep(100 * time.Millisecond)
						grant.Release(admission.Outcome{End: admission.EndCompleted})
						count(client).Add(1)
					}
				}()
			}
		}
		time.Sleep(2050 * time.Millisecond)
		heavy, light := count("heavy").Load(), count("light").Load()
		qt.Assert(t, heavy >= 28 && light >= 9 && heavy+light >= 39, qt.IsTrue, qt.Commentf("%d and %d", heavy, light))
	})
}

func TestSuspectsRunApartAndSecondCrashQuarantines(t *testing.T) {
	runFleet(t, 3, engines(4, 8), func(f *fleet) {
		// Four requests run together, and one of them crashes their target.
		n := f.nodes["vm-1"]
		for fingerprint := uint64(1); fingerprint <= 4; fingerprint++ {
			grant, err := n.acquireFingerprint(fingerprint, nil)
			qt.Assert(t, err, qt.IsNil)
			grant.Release(admission.Outcome{End: admission.EndInterrupted})
			f.shareEvidence(n)
		}
		for _, n := range f.nodes {
			qt.Assert(t, n.QuarantineStatus(1), qt.Equals, quarantine.Suspect)
		}
		// They are retried through all entries. No two of them may run on the same target at the same time.
		var mu sync.Mutex
		running := make(map[string]int)
		var retries sync.WaitGroup
		for fingerprint := uint64(1); fingerprint <= 4; fingerprint++ {
			retries.Go(func() {
				entry := f.nodes[fmt.Sprint("vm-", fingerprint%3+1)]
				grant, err := entry.acquireFingerprint(fingerprint, nil)
				if err != nil {
					t.Errorf("suspect %d was refused: %v", fingerprint, err)
					return
				}
				mu.Lock()
				running[grant.Target.Name]++
				if running[grant.Target.Name] > 1 {
					t.Errorf("two suspects are running on %s", grant.Target.Name)
				}
				mu.Unlock()
				time.Sleep(time.Second)
				mu.Lock()
				running[grant.Target.Name]--
				mu.Unlock()
				if fingerprint == 1 {
					grant.Release(admission.Outcome{End: admission.EndInterrupted})
				} else {
					grant.Release(completed)
				}
				f.shareEvidence(entry)
			})
		}
		retries.Wait()
		for _, n := range f.nodes {
			_, err := n.acquireFingerprint(1, nil)
			qt.Assert(t, errorContains(err, "request_quarantined (not-run)"), qt.IsTrue, qt.Commentf("%v", err))
			for fingerprint := uint64(2); fingerprint <= 4; fingerprint++ {
				qt.Assert(t, n.QuarantineStatus(fingerprint), qt.Equals, quarantine.Clear)
			}
		}
	})
}

// A target runs a cancelled request until it notices. If the request crashes it meanwhile, only the requests that ran
// beside it are broken off.
func TestRequestCancelledAroundACrashIsSuspected(t *testing.T) {
	cancelled, interrupted := admission.Outcome{End: admission.EndCancelled}, admission.Outcome{End: admission.EndInterrupted}
	for _, test := range []struct {
		name          string
		first, second admission.Outcome
		between       time.Duration
		want          quarantine.Status
	}{
		{"cancelled just before the crash", cancelled, interrupted, 100 * time.Millisecond, quarantine.Suspect},
		{"cancelled just after the crash", interrupted, cancelled, 100 * time.Millisecond, quarantine.Suspect},
		{"cancelled long before the crash", cancelled, interrupted, 2 * time.Second, quarantine.Clear},
		{"cancelled long after the crash", interrupted, cancelled, 2 * time.Second, quarantine.Clear},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 1, engines(1, 8), func(f *fleet) {
				time.Sleep(4 * time.Second)
				n := f.nodes["vm-1"]
				first, err := n.acquireFingerprint(1001, nil)
				qt.Assert(t, err, qt.IsNil)
				second, err := n.acquireFingerprint(1002, nil)
				qt.Assert(t, err, qt.IsNil)
				batch := n.startBatch(2)
				time.Sleep(time.Second)
				qt.Assert(t, batch.running(), qt.Equals, 2)
				first.Release(test.first)
				batch.release(1, test.first)
				time.Sleep(test.between)
				second.Release(test.second)
				batch.release(2, test.second)
				time.Sleep(time.Millisecond)
				synctest.Wait()
				request, item := uint64(1001), uint64(1)
				if test.second == cancelled {
					request, item = 1002, 2
				}
				qt.Assert(t, n.QuarantineStatus(request), qt.Equals, test.want)
				qt.Assert(t, n.QuarantineStatus(item), qt.Equals, test.want)
				qt.Assert(t, batch.isSuspected(item), qt.Equals, test.want == quarantine.Suspect)
			})
		})
	}
}

// A suspect that was preempted leaves its target to the next one, which may crash it.
func TestCancelledSuspectIsNotQuarantined(t *testing.T) {
	runFleet(t, 1, engines(1, 8), func(f *fleet) {
		time.Sleep(4 * time.Second)
		n := f.nodes["vm-1"]
		cancelled, err := n.acquireFingerprint(1001, nil)
		qt.Assert(t, err, qt.IsNil)
		crashing, err := n.acquireFingerprint(1002, nil)
		qt.Assert(t, err, qt.IsNil)
		cancelled.Release(admission.Outcome{End: admission.EndCancelled})
		crashing.Release(admission.Outcome{End: admission.EndInterrupted})
		qt.Assert(t, n.QuarantineStatus(1001), qt.Equals, quarantine.Suspect)
		time.Sleep(3 * time.Second)
		n.mu.Lock()
		n.recordCancellation(n.targets["t0"], 1001, time.Now())
		n.recordCrash(n.targets["t0"], 1003, time.Now())
		n.mu.Unlock()
		qt.Assert(t, n.QuarantineStatus(1001), qt.Equals, quarantine.Suspect)
	})
}

func TestSuspectBatchItemsRunOnePerTarget(t *testing.T) {
	runFleet(t, 1, engines(2, 8), func(f *fleet) {
		time.Sleep(4 * time.Second)
		batch := f.nodes["vm-1"].startBatch(0)
		batch.sendDemand(batchslots.Want{Model: "m", Slots: 4, Suspects: []uint64{11, 12, 13}})
		time.Sleep(time.Second)
		suspectSlots := batch.suspectSlots()
		qt.Assert(t, len(suspectSlots) <= 2 && len(suspectSlots) > 0, qt.IsTrue)
		for _, slot := range suspectSlots {
			batch.release(slot, admission.Outcome{End: admission.EndCompleted})
		}
		time.Sleep(time.Second)
		qt.Assert(t, len(batch.suspectSlots()) > 0, qt.IsTrue)
		qt.Assert(t, batch.running()-len(batch.suspectSlots()), qt.Equals, 4)
	})
}

func TestStaleSettingsAndExpiredDeadlinesAreRefused(t *testing.T) {
	runFleet(t, 1, engines(1, 1), func(f *fleet) {
		n := f.nodes["vm-1"]
		_, err := n.acquire("a", time.Second)
		qt.Assert(t, err, qt.IsNil)
		_, err = n.acquire("a", 100*time.Millisecond)
		qt.Assert(t, errorContains(err, "deadline_exceeded (not-run)"), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
		f.fresh = false
		_, err = n.acquire("a", time.Second)
		qt.Assert(t, errorContains(err, "stale_settings (not-run)"), qt.IsTrue, qt.Commentf("%v", err))
	})
}
