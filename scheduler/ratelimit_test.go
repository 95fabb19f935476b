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

// limitedLoad is a load of online requests and items, during which another coordinator may take over.
type limitedLoad struct {
	mean     float64
	items    int
	takeover bool
}

const (
	// limitFrom and limitUntil are when targets begin and cease to state limits, and takeoverAt is when another coordinator
	// takes over, which is told of the limits 250 ms later.
	limitFrom, limitUntil = 6 * time.Second, 30 * time.Second
	takeoverAt            = 15 * time.Second
)

// replay runs the load on a fleet, the first targets of which state a limit for a while.
func (l limitedLoad) replay(targets, limited int, perSecond float64) *replay {
	r := newReplay(targets, false)
	r.addItems(l.items)
	state := func(at time.Duration, perSecond float64) {
		r.schedule(at, func(now time.Time) { r.apply(now, limitTargets(r.s, now, limited, perSecond)) })
	}
	state(limitFrom, perSecond)
	state(limitUntil, 0)
	if l.takeover {
		r.schedule(takeoverAt, func(now time.Time) {
			r.s = scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 2)))
			r.apply(now, r.s.SetTargets(now, fleet(targets, 8)))
		})
		state(takeoverAt+250*time.Millisecond, perSecond)
	}
	r.run(l.mean)
	return r
}

// Six of nine targets state a limit of 3 requests a second.
func TestReplayKeepsToStatedRateLimits(t *testing.T) {
	const limited, perSecond = 6, 3.0
	for name, load := range map[string]limitedLoad{
		"load within capacity":                         {25, 0, false},
		"load above capacity":                          {60, 0, false},
		"items that fill the slots":                    {20, 80, false},
		"items beside load above capacity":             {46, 80, false},
		"a coordinator that is told of them too late":  {46, 80, true},
		"a coordinator that is told of them, low load": {20, 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := load.replay(9, limited, perSecond)
			for i := range limited {
				times := slices.Sorted(slices.Values(r.granted[fmt.Sprintf("t%d", i)]))
				times = slices.DeleteFunc(times, func(at time.Duration) bool { return at < limitFrom+500*time.Millisecond || at > limitUntil })
				most := mostWithin(times, 4*time.Second)
				qt.Assert(t, float64(most) <= 1.5*perSecond*4+5, qt.IsTrue, qt.Commentf("t%d: %d requests in 4 s", i, most))
			}
			// Callers are served nearly as well as by five targets without limits, which have 40 slots instead of 36.6.
			unlimited := load.replay(5, 0, 0)
			t.Logf("%d on time, %d after a refusal, %d late, %d lost; not refused at once %.3f, %.3f without limits; utility %.3f, %.3f",
				r.onTime, r.retried, r.startedLate, r.lost, r.expiredShare(), unlimited.expiredShare(), r.utility(), unlimited.utility())
			qt.Assert(t, r.expiredShare() <= 2*unlimited.expiredShare(), qt.IsTrue)
			qt.Assert(t, r.utility() > 0.9*unlimited.utility(), qt.IsTrue)
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
