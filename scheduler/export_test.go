package scheduler

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/workload"
)

// PlaceByMeanAlone makes the scheduler choose the target with the least remaining work if every run takes the mean slot time.
func (s *Scheduler) PlaceByMeanAlone() {
	s.pick = func(now time.Time, p *pool, w *waiter) *targetState {
		var best *targetState
		var bestWork time.Duration
		for _, t := range p.targets {
			if p.free(now, t) <= 0 || !w.mayUse(t) {
				continue
			}
			var work time.Duration
			for _, r := range t.runs {
				work += max(p.onlineSlotTime-now.Sub(r.granted), 0)
			}
			if best == nil || work < bestWork {
				best, bestWork = t, work
			}
		}
		return best
	}
}

// EstimateWith replaces the estimates of a service.
func (s *Scheduler) EstimateWith(service string, estimate func(workload.Class) workload.Estimate) {
	s.pool(service).costs.estimates = fixedEstimator(estimate)
}

type fixedEstimator func(workload.Class) workload.Estimate

func (fixedEstimator) Observe(time.Time, workload.Class, time.Duration) {}
func (e fixedEstimator) Estimate(_ time.Time, c workload.Class) workload.Estimate {
	return e(c)
}

// OrderBy replaces the order in which clients that return and first attempts are served.
func (s *Scheduler) OrderBy(name string) {
	inTimeFirst := func(now time.Time, turns []turn) {
		for i := range turns {
			turns[i].standing = standingOf(now, turns[i])
		}
	}
	orders := map[string]func(now time.Time, turns []turn, interval time.Duration){
		"retries first": func(_ time.Time, turns []turn, _ time.Duration) {
			for i := range turns {
				if !turns[i].retry {
					turns[i].standing = first
				}
			}
		},
		"first attempts first": func(_ time.Time, turns []turn, _ time.Duration) {
			for i := range turns {
				if turns[i].retry {
					turns[i].standing = returned
				}
			}
		},
		"least slack": func(_ time.Time, turns []turn, _ time.Duration) {
			for i := range turns {
				turns[i].standing = late
				if !turns[i].retry {
					turns[i].due = turns[i].startBy
				}
			}
		},
		"in time first": func(now time.Time, turns []turn, _ time.Duration) { inTimeFirst(now, turns) },
		"overdue share": func(now time.Time, turns []turn, interval time.Duration) {
			inTimeFirst(now, turns)
			claim(now, turns, interval)
		},
	}
	s.order = func(_ *pool, now time.Time, turns []turn, interval time.Duration) { orders[name](now, turns, interval) }
}
