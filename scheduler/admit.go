package scheduler

import (
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// runWeight is the weight of one observation in the mean slot time.
	runWeight = 0.05
	// minLeftShare bounds the expected rest of a run from below, as a fraction of the mean.
	minLeftShare = 8
	// minRetryAfter keeps a refused client from coming back before a slot can have become free.
	minRetryAfter = 100 * time.Millisecond
	// returnWindow is how long after its time a client that was told to come back is still expected.
	returnWindow = 300 * time.Millisecond
	// arrivalWindow is the time over which the rate of new requests is taken: short beside a surge of seconds.
	arrivalWindow = 500 * time.Millisecond
	// minReturnShare is the share of a service's slots that is promised to clients that come back, however many come first.
	minReturnShare = 0.05
	// burstWindow is the time within which runs count as begun together: about the time that a target of the sites takes
	// to read the prompts of all its slots.
	burstWindow = 250 * time.Millisecond
	// burstShare is the share of a target's slots that a burst begins. In steady use a third begin within burstWindow.
	burstShare = 0.6
	// excuseInterval is the least time between two bursts that excuse a target's silence.
	excuseInterval = 3 * time.Second
	// endSteps is the number of steps into which the mean slot time is divided when ends of runs are foreseen: some ms each.
	endSteps = 64
	// latestReturn is the share of a client's patience up to which it is told to come back.
	latestReturn = 0.97
)

// admit decides whether an online request that found no slot may wait. Its wait follows from the
// requests before it and from the ages of the runs in progress.
func (s *Scheduler) admit(now time.Time, p *pool, w *waiting) (Refuse, bool) {
	capacity := s.onlineSlots(now, p, w)
	if capacity == 0 {
		return Refuse{Ticket: w.Ticket, RetryAfter: s.jitter(s.config.NoTargetRetry), Reason: NoTarget}, true
	}
	interval := p.onlineRun / time.Duration(capacity)
	allowed := w.StartBy.Sub(now)
	ahead := p.ahead(now, w, allowed)
	// Slots become free at a steady rate, but not soon after all were taken at once.
	wait := max(time.Duration(ahead+1)*interval, s.foreseeWait(now, p, w, ahead))
	if wait <= allowed {
		return Refuse{}, false
	}
	return Refuse{
		Ticket:     w.Ticket,
		RetryAfter: s.reserveReturn(now, p, w, wait-allowed, interval),
		Reason:     Overloaded,
		Ahead:      ahead,
		Slots:      capacity,
	}, true
}

// foreseeWait returns, from the ages of the runs, when the slot after those that go to the requests ahead becomes free.
func (s *Scheduler) foreseeWait(now time.Time, p *pool, w *waiting, ahead int) time.Duration {
	var ends [endSteps + 1]int
	runs, step := 0, max(p.onlineRun/endSteps, 1)
	for _, t := range p.targets {
		if len(t.runs) == 0 || !p.usable(now, t) || slices.Contains(w.Tried, t.ID) {
			continue
		}
		for _, r := range t.runs {
			if r.class == Online {
				ends[min(r.left(now, p.onlineRun)/step, endSteps)]++
				runs++
			}
		}
	}
	if runs == 0 {
		return time.Duration(ahead+1) * p.onlineRun
	}
	rounds, before := ahead/runs, ahead%runs
	for i, n := range ends {
		if before < n {
			return time.Duration(i)*step + time.Duration(rounds)*p.onlineRun
		}
		before -= n
	}
	// Not reached: the steps hold all runs.
	return time.Duration(rounds+1) * p.onlineRun
}

// left is the expected time to the end of an online run. Lengths vary, so one that has taken longer than the
// mean is expected to end soon, and one that began just now may be short.
func (r *run) left(now time.Time, mean time.Duration) time.Duration {
	age := now.Sub(r.granted)
	return max(mean-age, mean/minLeftShare)
}

// onlineSlots is the number of slots that online requests can have.
func (s *Scheduler) onlineSlots(now time.Time, p *pool, w *waiting) int {
	capacity, protected := 0, 0
	for _, t := range p.targets {
		if !p.usable(now, t) || slices.Contains(w.Tried, t.ID) {
			continue
		}
		capacity += t.Slots
		for _, r := range t.runs {
			if r.class == Item && !r.yielding {
				protected++
			}
		}
	}
	if capacity == 0 {
		return 0
	}
	return max(capacity-protected, 1)
}

// ahead is the number of requests that will start before w does: those that wait, and those that
// were told to come back meanwhile.
func (p *pool) ahead(now time.Time, w *waiting, allowed time.Duration) int {
	ahead := 0
	for _, o := range p.online {
		if !w.Returned || o.Returned {
			ahead++
		}
	}
	if w.Returned {
		return ahead
	}
	for _, at := range p.returns {
		if at.Before(now.Add(allowed)) && at.After(now.Add(-returnWindow)) {
			ahead++
		}
	}
	return ahead
}

// reserveReturn picks the time at which a refused client finds a slot: in the capacity that new requests
// leave, behind those that were refused before it. In a surge there is none, and the client is told to come
// back as late as it will, when the surge is likeliest to be over.
func (s *Scheduler) reserveReturn(now time.Time, p *pool, w *waiting, excess, interval time.Duration) time.Duration {
	p.returns = slices.DeleteFunc(p.returns, func(at time.Time) bool { return at.Before(now.Add(-returnWindow)) })
	at := now.Add(max(excess, minRetryAfter))
	if n := len(p.returns); n > 0 {
		spacing := time.Duration(float64(interval) / p.spareShare(now, interval))
		if next := p.returns[n-1].Add(spacing); next.After(at) {
			at = next
		}
	}
	if limit := time.Duration(latestReturn * float64(w.ReturnWithin)); limit > 0 && at.After(now.Add(limit)) {
		at = now.Add(limit)
	}
	index, _ := slices.BinarySearchFunc(p.returns, at, time.Time.Compare)
	p.returns = slices.Insert(p.returns, index, at)
	return at.Sub(now)
}

// observeArrival counts a request that came first.
func (p *pool) observeArrival(now time.Time) {
	p.arrivals = append(p.arrivals[p.outdatedArrivals(now):], now)
}

// outdatedArrivals is the number of arrivals that are older than arrivalWindow. They come first.
func (p *pool) outdatedArrivals(now time.Time) int {
	n, _ := slices.BinarySearchFunc(p.arrivals, now.Add(-arrivalWindow), time.Time.Compare)
	return n
}

// spareShare is the share of the slots that new requests leave.
func (p *pool) spareShare(now time.Time, interval time.Duration) float64 {
	return max(1-p.arrivalsWithin(now, interval), minReturnShare)
}

// arrivalsWithin is the number of new requests that come in a time at the rate of late.
func (p *pool) arrivalsWithin(now time.Time, d time.Duration) float64 {
	recent := len(p.arrivals) - p.outdatedArrivals(now)
	return float64(recent) * float64(d) / float64(arrivalWindow)
}

// takeReturn counts a client that came back against the earliest promise.
func (p *pool) takeReturn(now time.Time) {
	if len(p.returns) > 0 && p.returns[0].Before(now.Add(returnWindow)) {
		p.returns = p.returns[1:]
	}
}

func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Float64()*float64(d)/2)
}

// refuseLate turns away the requests that have expired.
func (s *Scheduler) refuseLate(now time.Time, p *pool) []Action {
	var actions []Action
	for _, w := range slices.Clone(p.online) {
		if now.Before(w.Expires) {
			continue
		}
		s.forget(w)
		capacity := max(s.onlineSlots(now, p, w), 1)
		interval := p.onlineRun / time.Duration(capacity)
		actions = append(actions, Refuse{
			Ticket:     w.Ticket,
			RetryAfter: s.reserveReturn(now, p, w, 0, interval),
			Reason:     Late,
			Ahead:      len(p.online),
			Slots:      capacity,
		})
	}
	return actions
}

func (p *pool) observeRun(d time.Duration) {
	p.onlineRun += time.Duration(runWeight * float64(d-p.onlineRun))
}

// observeHealth takes what a run says of its target.
func (p *pool) observeHealth(now time.Time, r *run, outcome Outcome, firstEvent time.Duration) {
	t := r.slots
	if outcome == TimedOut && t.isExcused(now, r) {
		return
	}
	var signal target.Signal
	switch outcome {
	case Finished:
		signal = target.Succeeded
	case Unreachable:
		signal = target.Unreachable
	case Refused, Replaced:
		signal = target.Refused
	case Interrupted:
		signal = target.ConnectionLost
	case TimedOut:
		signal = target.TimedOut
	case Draining:
		t.leaving = true
		return
	default:
		return
	}
	if t.trial {
		t.trial = false
		p.health.RecordProbe(now, t.ID, outcome == Finished)
		return
	}
	p.health.Observe(now, t.ID, signal, firstEvent)
}

// isExcused reports whether a run's silence says nothing of its target: many runs began there at the same moment, and a
// target reads their prompts one after the other. All targets are like that when the clients come back after an outage,
// and without them none could be served. A target that goes on being silent is not excused again for a while.
func (t *slots) isExcused(now time.Time, r *run) bool {
	if now.Before(t.excusedUntil) {
		return true
	}
	began := 0
	for _, at := range t.granted {
		if at.Sub(r.granted).Abs() <= burstWindow/2 {
			began++
		}
	}
	if float64(began) < burstShare*float64(t.Slots) || now.Sub(t.excusedUntil) < excuseInterval {
		return false
	}
	t.excusedUntil = now.Add(burstWindow)
	return true
}

// noteGrant remembers when a run began, as long as that may explain the silence of another.
func (t *slots) noteGrant(now time.Time) {
	recent, _ := slices.BinarySearchFunc(t.granted, now.Add(-2*burstWindow), time.Time.Compare)
	t.granted = append(t.granted[recent:], now)
}
