package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/ratelimit"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

func (r *replay) recordGrant(g scheduler.Grant, now time.Duration) {
	if _, running := r.itemStarted[g.Ticket]; running {
		return
	}
	if _, waiting := r.arrived[g.Ticket]; waiting || g.Ticket.Sequence >= firstItem {
		r.granted[g.Target] = append(r.granted[g.Target], now)
	}
}

// limitTargets makes the first targets state a rate limit.
func limitTargets(s *scheduler.Scheduler, now time.Time, targets int, perSecond float64) []scheduler.Action {
	var actions []scheduler.Action
	for i := range targets {
		more, _ := s.ObserveRateLimit(now, fmt.Sprintf("t%d", i), ratelimit.Statement{PerSecond: perSecond, At: now})
		actions = append(actions, more...)
	}
	return actions
}

// Six of nine targets state a limit of 3 requests a second 6 s into the replay, and of none at 30 s.
func TestReplayKeepsToStatedRateLimits(t *testing.T) {
	const limited, perSecond, from, until = 6, 3.0, 6 * time.Second, 30 * time.Second
	for name, test := range map[string]struct {
		mean     float64
		items    int
		takeover bool
	}{
		"load within capacity":                         {25, 0, false},
		"load above capacity":                          {60, 0, false},
		"items that fill the slots":                    {20, 80, false},
		"items beside load above capacity":             {46, 80, false},
		"a coordinator that is told of them too late":  {46, 80, true},
		"a coordinator that is told of them, low load": {20, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(9, false)
			if test.items > 0 {
				r.addItems(test.items)
			}
			r.schedule(from, func(now time.Time) { r.apply(now, limitTargets(r.s, now, limited, perSecond)) })
			r.schedule(until, func(now time.Time) { r.apply(now, limitTargets(r.s, now, limited, 0)) })
			if test.takeover {
				r.schedule(15*time.Second, func(now time.Time) {
					r.s = scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 2)))
					r.apply(now, r.s.SetTargets(now, fleet(9, 8)))
				})
				r.schedule(15250*time.Millisecond, func(now time.Time) { r.apply(now, limitTargets(r.s, now, limited, perSecond)) })
			}
			r.run(test.mean)
			for target, times := range r.granted {
				slices.Sort(times)
				window := slices.DeleteFunc(slices.Clone(times), func(at time.Duration) bool { return at < from+500*time.Millisecond || at > until })
				most := mostWithin(window, 4*time.Second)
				t.Logf("%s: %d requests in 23.5 s, at most %d in 4 s", target, len(window), most)
				if target < fmt.Sprintf("t%d", limited) {
					qt.Assert(t, float64(most) <= 1.5*perSecond*4+5, qt.IsTrue)
				}
			}
			t.Logf("%d on time, %d after a refusal, %d late, %d lost, %d expired in the queue; %d item starts", r.onTime, r.retried, r.startedLate, r.lost, r.expiredInQueue, r.itemStarts)
			// Waits are foreseen nearly as well as with five targets without limits, which have 40 slots instead of 36.6.
			unlimited := newReplay(5, false)
			unlimited.run(test.mean)
			qt.Assert(t, r.expiredShare() <= 2*unlimited.expiredShare(), qt.IsTrue, qt.Commentf("%.3f not refused at once, %.3f without limits", r.expiredShare(), unlimited.expiredShare()))
			qt.Assert(t, r.utility() > 0.9*unlimited.utility(), qt.IsTrue, qt.Commentf("utility %.3f, %.3f without limits", r.utility(), unlimited.utility()))
		})
	}
}

// expiredShare returns the share of requests that were refused only after they had waited until their start deadline.
func (r *replay) expiredShare() float64 {
	return float64(r.expiredInQueue) / float64(r.onTime+r.retried+r.startedLate+r.lost)
}

func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
