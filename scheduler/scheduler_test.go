package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/ratelimit"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const service = "llm"

// latencyObjective is the latency objective of the online requests.
const latencyObjective = 240 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newScheduler(targets, slots int) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 2)))
	s.SetTargets(epoch, fleet(targets, slots))
	return s
}

func fleet(targets, slots int) []routing.Target {
	list := make([]routing.Target, targets)
	for i := range list {
		list[i] = routing.Target{ID: fmt.Sprintf("t%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:1", i), AvailabilityZone: "a", Slots: slots}
	}
	return list
}

func ticket(n int) scheduler.Ticket { return scheduler.Ticket{VM: "vm", Sequence: uint64(n)} }

func online(n int, now time.Time) scheduler.Request {
	return scheduler.Request{Ticket: ticket(n), Class: scheduler.Online, Service: service, AvailabilityZone: "a", StartBy: now.Add(latencyObjective), Expires: now.Add(latencyObjective)}
}

func item(n int, due time.Time) scheduler.Request {
	return scheduler.Request{Ticket: ticket(n), Class: scheduler.Item, Service: service, AvailabilityZone: "a", StartBy: due, Expires: due, Expected: 4 * time.Second}
}

func granted(t *testing.T, actions []scheduler.Action, n int) scheduler.Grant {
	t.Helper()
	for _, a := range actions {
		if g, ok := a.(scheduler.Grant); ok && g.Ticket == ticket(n) {
			return g
		}
	}
	t.Fatalf("request %d has no grant in %v", n, actions)
	return scheduler.Grant{}
}

func refused(actions []scheduler.Action, n int) (scheduler.Refuse, bool) {
	for _, a := range actions {
		if r, ok := a.(scheduler.Refuse); ok && r.Ticket == ticket(n) {
			return r, true
		}
	}
	return scheduler.Refuse{}, false
}

func preemptions(actions []scheduler.Action) []scheduler.Ticket {
	var tickets []scheduler.Ticket
	for _, a := range actions {
		if p, ok := a.(scheduler.Preempt); ok {
			tickets = append(tickets, p.Ticket)
		}
	}
	return tickets
}

func TestOnlineRequestPreemptsItemWithMostSlack(t *testing.T) {
	s := newScheduler(1, 2)
	granted(t, s.Submit(epoch, item(1, at(9*time.Second))), 1)
	granted(t, s.Submit(epoch, item(2, at(30*time.Second))), 2)
	actions := s.Submit(epoch, online(3, epoch))
	granted(t, actions, 3)
	qt.Assert(t, preemptions(actions), qt.DeepEquals, []scheduler.Ticket{ticket(2)})
}

func TestNearlyDueItemIsNotPreempted(t *testing.T) {
	s := newScheduler(2, 1)
	granted(t, s.Submit(epoch, item(1, at(5*time.Second))), 1)
	granted(t, s.Submit(epoch, online(2, epoch)), 2)
	actions := s.Submit(epoch, online(3, epoch))
	qt.Assert(t, preemptions(actions), qt.HasLen, 0)
}

func TestNearlyDueItemsAreProtectedUpToTheirShare(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range 4 {
		granted(t, s.Submit(epoch, item(n, at(5*time.Second))), n)
	}
	for n := 4; n < 6; n++ {
		granted(t, s.Submit(epoch, online(n, epoch)), n)
	}
	actions := s.Submit(epoch, online(6, epoch))
	qt.Assert(t, preemptions(actions), qt.HasLen, 0)
}

func TestItemThatMissesItsDueTimeIsGrantedLast(t *testing.T) {
	s := newScheduler(1, 1)
	granted(t, s.Submit(epoch, online(0, epoch)), 0)
	s.Submit(epoch, item(1, at(time.Second)))
	s.Submit(epoch, item(2, at(20*time.Second)))
	granted(t, s.Release(at(time.Millisecond), ticket(0), scheduler.Finished, 0), 2)
}

func TestDrainingTargetGetsNoNewRuns(t *testing.T) {
	t.Run("according to the registry", func(t *testing.T) {
		s := newScheduler(1, 2)
		targets := fleet(1, 2)
		targets[0].Draining = true
		s.SetTargets(at(time.Second), targets)
		refusal, ok := refused(s.Submit(at(time.Second), online(1, at(time.Second))), 1)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, refusal.Reason, qt.Equals, scheduler.NoTarget)
	})
	// A coordinator whose requests the store rejected granted slots of targets that the other VMs knew to be draining.
	t.Run("according to another VM, while the registry is outdated", func(t *testing.T) {
		s := newScheduler(2, 2)
		first := granted(t, s.Submit(epoch, online(1, epoch)), 1)
		s.Release(epoch, ticket(1), scheduler.Draining, 0)
		s.SetTargets(at(time.Second), fleet(2, 2))
		for n := 2; n < 4; n++ {
			qt.Assert(t, granted(t, s.Submit(at(time.Second), online(n, at(time.Second))), n).Target, qt.Not(qt.Equals), first.Target)
		}
	})
}

func TestRestartedTargetHasNoRuns(t *testing.T) {
	s := newScheduler(1, 1)
	granted(t, s.Submit(epoch, online(1, epoch)), 1)
	targets := fleet(1, 1)
	targets[0].StartedUnixMilli = 7
	s.SetTargets(at(time.Second), targets)
	granted(t, s.Submit(at(time.Second), online(2, at(time.Second))), 2)
}

// A target that was ejected before it started again under its ID stayed ejected, and statements of its former process, which
// arrive later, limited it again.
func TestRestartedTargetKeepsNoHistory(t *testing.T) {
	s := newScheduler(2, 1)
	grants := map[string]int{}
	for n := 1; n <= 2; n++ {
		grants[granted(t, s.Submit(epoch, online(n, epoch)), n).Target] = n
	}
	s.ObserveRateLimit(epoch, "t0", ratelimit.Statement{PerSecond: 0.1, At: epoch})
	s.Release(epoch, ticket(grants["t0"]), scheduler.Unreachable, 0)
	s.ReportDraining("t0", 0)
	targets := fleet(2, 1)
	targets[0].StartedUnixMilli = 7
	s.SetTargets(at(100*time.Millisecond), targets)
	got := granted(t, s.Submit(at(100*time.Millisecond), online(3, at(100*time.Millisecond))), 3)
	qt.Assert(t, got.Target, qt.Equals, "t0")
	qt.Assert(t, got.RateLimit.PerSecond, qt.Equals, 0.0)
	_, changed := s.ObserveRateLimit(at(2*time.Second), "t0", ratelimit.Statement{PerSecond: 0.1, At: at(50 * time.Millisecond)})
	qt.Assert(t, changed, qt.IsFalse)
	_, changed = s.ObserveRateLimit(at(2*time.Second), "t0", ratelimit.Statement{PerSecond: 0.1, At: at(time.Second)})
	qt.Assert(t, changed, qt.IsTrue)
}

func TestRepeatedSubmissionGetsTheSameSlot(t *testing.T) {
	s := newScheduler(3, 1)
	first := granted(t, s.Submit(epoch, online(1, epoch)), 1)
	again := granted(t, s.Submit(at(time.Millisecond), online(1, epoch)), 1)
	qt.Assert(t, again, qt.Equals, first)
}

func TestReportedRuns(t *testing.T) {
	t.Run("free the slot of a run whose release was lost", func(t *testing.T) {
		s := newScheduler(1, 1)
		granted(t, s.Submit(epoch, online(1, epoch)), 1)
		s.Report(at(100*time.Millisecond), "vm", nil, nil)
		_, refusedEarly := refused(s.Submit(at(100*time.Millisecond), online(2, at(100*time.Millisecond))), 2)
		qt.Assert(t, refusedEarly, qt.IsTrue)
		s.Report(at(time.Second), "vm", nil, nil)
		granted(t, s.Submit(at(time.Second), online(3, at(time.Second))), 3)
	})
	t.Run("inform a new coordinator of the runs in progress", func(t *testing.T) {
		s := newScheduler(1, 1)
		s.Report(epoch, "other", []scheduler.Run{{Sequence: 9, Target: "t0"}}, nil)
		_, ok := refused(s.Submit(epoch, online(1, epoch)), 1)
		qt.Assert(t, ok, qt.IsTrue)
		s.RemoveVM(at(time.Second), "other")
		granted(t, s.Submit(at(time.Second), online(2, at(time.Second))), 2)
	})
}

func TestPreemptionIsRepeatedUntilTheItemEnds(t *testing.T) {
	s := newScheduler(1, 1)
	granted(t, s.Submit(epoch, item(1, at(30*time.Second))), 1)
	granted(t, s.Submit(epoch, online(2, epoch)), 2)
	qt.Assert(t, preemptions(s.Tick(at(25*time.Millisecond))), qt.DeepEquals, []scheduler.Ticket{ticket(1)})
	s.Release(at(30*time.Millisecond), ticket(1), scheduler.Abandoned, 0)
	qt.Assert(t, preemptions(s.Tick(at(50*time.Millisecond))), qt.HasLen, 0)
}

func TestUnreachableTargetIsEjectedAndProbedByOneRequest(t *testing.T) {
	s := newScheduler(2, 4)
	first := granted(t, s.Submit(epoch, online(1, epoch)), 1)
	s.Release(epoch, ticket(1), scheduler.Unreachable, 0)
	for n := 2; n < 6; n++ {
		qt.Assert(t, granted(t, s.Submit(epoch, online(n, epoch)), n).Target, qt.Not(qt.Equals), first.Target)
	}
	afterEjection := at(time.Second)
	s.Tick(afterEjection)
	probes := 0
	for n := 6; n < 9; n++ {
		for _, a := range s.Submit(afterEjection, online(n, afterEjection)) {
			if g, ok := a.(scheduler.Grant); ok && g.Target == first.Target {
				probes++
			}
		}
	}
	qt.Assert(t, probes, qt.Equals, 1)
}

func TestSilentTargetGetsNoNewRunsAndKeepsThoseInProgress(t *testing.T) {
	s := newScheduler(2, 4)
	var silent []int
	for n := 1; n <= 4; n++ {
		if granted(t, s.Submit(epoch, online(n, epoch)), n).Target == "t0" {
			silent = append(silent, n)
		}
	}
	for _, n := range silent[:2] {
		s.ReportSilent(at(time.Second), ticket(n))
	}
	for n := 5; n < 7; n++ {
		qt.Assert(t, granted(t, s.Submit(at(time.Second), online(n, at(time.Second))), n).Target, qt.Equals, "t1")
	}
	for _, n := range silent {
		qt.Assert(t, s.Knows(ticket(n)), qt.IsTrue)
	}
}

// Streams that looked for a slot again and again were taken for clients that return, and other clients were told to return later.
func TestRefusedResumptionsDelayNoClient(t *testing.T) {
	s := newScheduler(1, 1)
	granted(t, s.Submit(epoch, online(1, epoch)), 1)
	for n := 2; n < 50; n++ {
		r := online(n, epoch)
		r.Resuming, r.Retry, r.StartBy = true, true, epoch
		refusal, ok := refused(s.Submit(epoch, r), n)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, refusal.RetryAfter <= 100*time.Millisecond, qt.IsTrue)
	}
	r := online(50, epoch)
	r.StartBy = epoch
	refusal, ok := refused(s.Submit(epoch, r), 50)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refusal.Ahead, qt.Equals, 0)
	qt.Assert(t, refusal.RetryAfter < time.Second, qt.IsTrue, qt.Commentf("%s", refusal.RetryAfter))
}

// A target was ejected by one request: for its silence, and again for the end of the run.
func TestSilenceAndEndOfARunCountOnceAgainstItsTarget(t *testing.T) {
	for _, outcome := range []scheduler.Outcome{scheduler.Interrupted, scheduler.TimedOut} {
		s := newScheduler(2, 4)
		granted(t, s.Submit(epoch, online(1, epoch)), 1)
		s.ReportSilent(at(time.Second), ticket(1))
		s.Release(at(time.Second), ticket(1), outcome, 0)
		for n := 2; n < 10; n++ {
			granted(t, s.Submit(at(time.Second), online(n, at(time.Second))), n)
		}
	}
}

func TestRequestOfAVersionUsesTargetsOfThatVersionOnly(t *testing.T) {
	versions := func(list ...string) []routing.Target {
		targets := fleet(len(list), 1)
		for i, version := range list {
			targets[i].Version = version
		}
		return targets
	}
	s := newScheduler(0, 0)
	s.SetTargets(epoch, versions("v1", "v2"))
	pinned := func(r scheduler.Request) scheduler.Request {
		r.Version = "v2"
		return r
	}
	qt.Assert(t, granted(t, s.Submit(epoch, pinned(online(1, epoch))), 1).Target, qt.Equals, "t1")
	t.Run("a request waits although another version has free slots, and later requests do not wait behind it", func(t *testing.T) {
		qt.Assert(t, s.Submit(epoch, pinned(item(2, at(time.Minute)))), qt.HasLen, 0)
		qt.Assert(t, granted(t, s.Submit(epoch, item(3, at(time.Minute))), 3).Target, qt.Equals, "t0")
		qt.Assert(t, granted(t, s.Release(epoch, ticket(1), scheduler.Finished, 0), 2).Target, qt.Equals, "t1")
	})
	t.Run("an online request does not block the queue for other versions", func(t *testing.T) {
		s := newScheduler(0, 0)
		targets := versions("v1", "v2")
		s.SetTargets(epoch, targets)
		for n := 1; n <= 2; n++ {
			granted(t, s.Submit(epoch, online(n, epoch)), n)
		}
		patient := at(2 * time.Second)
		qt.Assert(t, s.Submit(epoch, pinned(online(3, patient))), qt.HasLen, 0)
		qt.Assert(t, s.Submit(epoch, online(4, patient)), qt.HasLen, 0)
		qt.Assert(t, granted(t, s.Release(epoch, ticket(1), scheduler.Finished, 0), 4).Target, qt.Equals, "t0")
	})
	t.Run("an online request is refused when its version is gone", func(t *testing.T) {
		s.SetTargets(epoch, versions("v1"))
		refusal, ok := refused(s.Submit(epoch, pinned(online(4, epoch))), 4)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, refusal.Reason, qt.Equals, scheduler.VersionGone)
	})
	t.Run("an item is refused when its version is gone, also while it waits", func(t *testing.T) {
		s.SetTargets(epoch, versions("v1", "v2"))
		s.Submit(epoch, pinned(item(5, at(time.Minute))))
		s.Submit(epoch, pinned(item(6, at(time.Minute))))
		actions := s.SetTargets(epoch, versions("v1"))
		refusal, ok := refused(actions, 6)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, refusal.Reason, qt.Equals, scheduler.VersionGone)
		refusal, ok = refused(s.Submit(epoch, pinned(item(7, at(time.Minute)))), 7)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, refusal.Reason, qt.Equals, scheduler.VersionGone)
	})
}

func TestRetryDelaysOfRefusedClientsIncrease(t *testing.T) {
	s := newScheduler(1, 8)
	n := 0
	var retryDelays []time.Duration
	for len(retryDelays) < 10 {
		n++
		if r, ok := refused(s.Submit(epoch, online(n, epoch)), n); ok {
			qt.Assert(t, r.Reason, qt.Equals, scheduler.Overloaded)
			retryDelays = append(retryDelays, r.RetryAfter)
		}
	}
	for i := 1; i < len(retryDelays); i++ {
		qt.Assert(t, retryDelays[i] > retryDelays[i-1], qt.IsTrue, qt.Commentf("%v", retryDelays))
	}
}

// After the loss of all VMs, the clients of two seconds of traffic reconnect at once. Six of nine targets were ejected
// in this situation, because each of them processed eight prompts before its first event.
func TestTimeoutsAfterABurstOfPromptsDoNotEjectTargets(t *testing.T) {
	const targets, slots, timeout = 6, 8, 220 * time.Millisecond
	s := newScheduler(targets, slots)
	for n := range targets * slots {
		granted(t, s.Submit(at(time.Duration(n)*time.Millisecond), online(n, at(time.Duration(n)*time.Millisecond))), n)
	}
	now := at(targets*slots*time.Millisecond + timeout)
	// On each target four of the eight runs have had their first event, and four time out.
	for n := range targets * slots / 2 {
		s.Release(now, ticket(n), scheduler.TimedOut, 0)
	}
	for n := range targets * slots / 2 {
		granted(t, s.Submit(now, online(100+n, now)), 100+n)
	}
}

func TestTargetThatKeepsTimingOutIsEjectedAfterOneBurst(t *testing.T) {
	const slots, timeout, interval = 8, 220 * time.Millisecond, 250 * time.Millisecond
	s := newScheduler(2, slots)
	next := 0
	// round fills both targets at once. t0 never responds. It returns the number of requests that t0 got.
	round := func(now time.Time) (timedOut int) {
		var ends []func()
		for range 2 * slots {
			next++
			n := next
			actions := s.Submit(now, online(n, now))
			if len(actions) == 0 {
				// No request stays queued until the next round.
				ends = append(ends, func() { s.Release(now.Add(timeout), ticket(n), scheduler.Abandoned, 0) })
				continue
			}
			if _, isRefused := refused(actions, n); isRefused {
				continue
			}
			outcome, firstEvent := scheduler.Finished, timeout/2
			if granted(t, actions, n).Target == "t0" {
				outcome, firstEvent = scheduler.TimedOut, 0
				timedOut++
			}
			ends = append(ends, func() { s.Release(now.Add(timeout), ticket(n), outcome, firstEvent) })
		}
		for _, end := range ends {
			end()
		}
		return timedOut
	}
	qt.Assert(t, round(at(0)), qt.Equals, slots)
	qt.Assert(t, round(at(interval)), qt.Equals, slots, qt.Commentf("timeouts of the first burst are ignored"))
	qt.Assert(t, round(at(2*interval)), qt.Equals, 0, qt.Commentf("timeouts of the second burst are not"))
}

func TestReportedWaits(t *testing.T) {
	busy := func(t *testing.T) *scheduler.Scheduler {
		s := newScheduler(1, 1)
		granted(t, s.Submit(epoch, online(1, epoch)), 1)
		s.Submit(epoch, item(2, at(time.Minute)))
		return s
	}
	run := []scheduler.Run{{Sequence: 1, Target: "t0"}}
	t.Run("renews them", func(t *testing.T) {
		s := busy(t)
		for n := range 8 {
			_, unknown := s.Report(at(time.Duration(n)*250*time.Millisecond), "vm", run, []uint64{2})
			qt.Assert(t, unknown, qt.HasLen, 0)
		}
		granted(t, s.Release(at(2*time.Second), ticket(1), scheduler.Finished, 0), 2)
	})
	t.Run("returns those that are unknown", func(t *testing.T) {
		s := busy(t)
		s.Report(at(2*time.Second), "vm", run, nil)
		_, unknown := s.Report(at(2*time.Second), "vm", run, []uint64{2, 3})
		qt.Assert(t, unknown, qt.DeepEquals, []uint64{2, 3})
	})
	t.Run("repeats a lost grant until the run is reported", func(t *testing.T) {
		s := busy(t)
		granted(t, s.Release(at(time.Millisecond), ticket(1), scheduler.Finished, 0), 2)
		for _, after := range []time.Duration{250 * time.Millisecond, time.Second} {
			actions, unknown := s.Report(at(after), "vm", nil, []uint64{2})
			qt.Assert(t, unknown, qt.HasLen, 0)
			granted(t, actions, 2)
		}
	})
}

func TestItemThatHasTriedAllTargetsUsesThemAgain(t *testing.T) {
	s := newScheduler(2, 1)
	w := item(1, at(time.Minute))
	w.Tried = []string{"t0"}
	qt.Assert(t, granted(t, s.Submit(epoch, w), 1).Target, qt.Equals, "t1")
	w = item(2, at(time.Minute))
	w.Tried = []string{"t0", "t1"}
	qt.Assert(t, granted(t, s.Submit(epoch, w), 2).Target, qt.Equals, "t0")
}
