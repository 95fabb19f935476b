package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// Everyone was refused first and answered when they returned, for as long as a backlog that fed itself stood.
func TestReplayServesThoseFirstWhoCanBeAnsweredInTime(t *testing.T) {
	for _, c := range []struct {
		targets int
		mean    float64
		// suffices means that the slots suffice over a period of the load, so that no client has to go without a response.
		suffices bool
	}{{6, 48, true}, {6, 60, true}, {6, 66, true}, {6, 80, false}, {6, 110, false}, {9, 78, true}, {9, 100, true}} {
		t.Run(fmt.Sprintf("mean %.0f/s on %d slots", c.mean, 8*c.targets), func(t *testing.T) {
			play := func(order string) *replay {
				r := newReplay(c.targets, false)
				if order != "" {
					r.s.OrderBy(order)
				}
				r.run(c.mean)
				t.Logf("%-20s utility %.3f: %d on time, %d after a refusal, %d late, %d lost", order, r.utility(), r.onTime, r.retried, r.startedLate, r.lost)
				return r
			}
			kept := play("")
			if c.suffices {
				qt.Assert(t, kept.lost, qt.Equals, 0)
			}
			for _, other := range []string{"retries first", "first attempts first", "least slack", "overdue share"} {
				qt.Assert(t, kept.utility() >= play(other).utility(), qt.IsTrue, qt.Commentf("%s serves users better", other))
			}
			// Without claims a few clients go without a response that the slots suffice for.
			qt.Assert(t, kept.utility() >= play("in time first").utility()-0.02, qt.IsTrue)
		})
	}
}

// Streams that clients resumed after a loss of most VMs were refused, because all slots of their version had just been taken.
func TestResumedStreamWaitsWhileItsClientDoes(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range 4 {
		granted(t, s.Submit(epoch, online(n+1, epoch)), n+1)
	}
	now := at(50 * time.Millisecond)
	s.Submit(now, online(5, now))
	r := online(6, now)
	r.Retry, r.Interrupted, r.AnswerBy = true, true, now.Add(1500*time.Millisecond)
	r.Expires = r.StartBy.Add(time.Second)
	_, ok := refused(s.Submit(now, r), 6)
	qt.Assert(t, ok, qt.IsFalse)
	granted(t, s.Release(at(600*time.Millisecond), ticket(1), scheduler.Finished, time.Millisecond), 6)
}
