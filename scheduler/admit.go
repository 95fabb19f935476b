package scheduler

import (
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// slotTimeWeight is the weight of one observation in the moving average of the slot time.
	slotTimeWeight = 0.05
	// minRemainingDivisor sets the lower bound of a run's expected remaining time: the mean slot time divided by it.
	minRemainingDivisor = 8
	// minRetryAfter keeps a refused client from retrying before a slot can have become free.
	minRetryAfter = 100 * time.Millisecond
	// retryWindow is how long after its scheduled time a retry is still expected.
	retryWindow = 300 * time.Millisecond
	// arrivalWindow is the time over which the rate of first attempts is measured: short compared with a surge of
	// seconds.
	arrivalWindow = 500 * time.Millisecond
	// minRetryShare is the share of a service's slots that is reserved for retries, however many first attempts there
	// are.
	minRetryShare = 0.05
	// maxReturnedWaitShare is the share of its remaining time for which a client that has returned may wait for a slot.
	maxReturnedWaitShare = 0.7
	// answerTimeFactor is the time that a response needs, as a multiple of the mean slot time.
	answerTimeFactor = 1.25
	// burstWindow is the time within which runs count as started together: about the time that a target of the
	// reference deployments needs to process the prompts of all its slots.
	burstWindow = 250 * time.Millisecond
	// burstShare is the share of a target's slots that a burst starts. In steady operation a third start within
	// burstWindow.
	burstShare = 0.6
	// ignoredBurstInterval is the minimum time between two bursts for which a target's timeouts are ignored.
	ignoredBurstInterval = 3 * time.Second
	// remainingBuckets is the number of buckets, of several ms each, into which the mean slot time is divided to
	// estimate when runs end.
	remainingBuckets = 64
	// maxRetryDelayShare limits the retry delay of a client, as a share of the request's RetryWithin.
	maxRetryDelayShare = 0.97
	// retryTimeShare is the share of the time that a client has left within which it returns.
	retryTimeShare = 1.0 / 3
)

// admit decides whether an online request that found no slot may wait. Its expected wait follows from the requests
// ahead of it and from the ages of the runs in progress.
func (s *Scheduler) admit(now time.Time, p *pool, w *waiter) (Refuse, bool) {
	capacity := s.onlineSlots(now, p, w)
	if capacity == 0 {
		return Refuse{Ticket: w.Ticket, RetryAfter: s.jitter(s.config.NoTargetRetry), Reason: NoTarget}, true
	}
	maxWait := w.StartBy.Sub(now)
	if w.Retry && !w.Resuming {
		maxWait = w.Expires.Sub(now)
	}
	ahead := s.requestsAhead(now, p, w)
	wait, interval := s.predictWait(now, p, w, ahead, maxWait, capacity)
	if wait <= maxWait {
		return Refuse{}, false
	}
	if w.Retry && !w.Interrupted {
		p.overcommitted = now
	}
	return Refuse{
		Ticket:     w.Ticket,
		RetryAfter: s.scheduleRetry(now, p, w, wait-maxWait, interval),
		Reason:     Overloaded,
		Ahead:      ahead,
		Slots:      int(capacity),
		Limited:    p.limitedTargets(),
	}, true
}

// predictWait returns the expected wait of an online request, and the mean time between two slots that become free.
func (s *Scheduler) predictWait(now time.Time, p *pool, w *waiter, ahead int, maxWait time.Duration, capacity float64) (wait, interval time.Duration) {
	interval = p.interval(capacity)
	// Slots become free at a steady rate, except shortly after all of them were taken at once.
	wait = time.Duration(ahead+1) * interval
	if maxWait > p.onlineSlotTime {
		// The runs that end within that time include some that have not started yet.
		return wait, interval
	}
	if p.costs.enabled {
		return max(wait, p.waitByCost(now, w, ahead, maxWait, interval)), interval
	}
	return max(wait, s.estimateWait(now, p, w, ahead)), interval
}

// estimateWait estimates, from the ages of the runs, when a slot becomes free that none of the requests ahead takes.
func (s *Scheduler) estimateWait(now time.Time, p *pool, w *waiter, ahead int) time.Duration {
	var ends [remainingBuckets + 1]int
	runs, step := 0, max(p.onlineSlotTime/remainingBuckets, 1)
	for _, t := range p.targets {
		if !p.usable(now, t) || !w.mayUse(t) {
			continue
		}
		if t.limiter.Limited() && t.occupied < t.Slots {
			// The target's rate limit decides when it takes requests, not the ends of its runs.
			for n := 1; n <= t.Slots; n++ {
				wait := t.limiter.Wait(now, n)
				if n > 1 && wait > p.onlineSlotTime {
					break
				}
				ends[min(wait/step, remainingBuckets)]++
				runs++
			}
			continue
		}
		for _, r := range t.runs {
			if r.class == Online {
				ends[min(r.remaining(now, p.onlineSlotTime)/step, remainingBuckets)]++
				runs++
			}
		}
	}
	if runs == 0 {
		return time.Duration(ahead+1) * p.onlineSlotTime
	}
	rounds, before := ahead/runs, ahead%runs
	for i, n := range ends {
		if before < n {
			return time.Duration(i)*step + time.Duration(rounds)*p.onlineSlotTime
		}
		before -= n
	}
	// Unreachable: the buckets hold all runs.
	return time.Duration(rounds+1) * p.onlineSlotTime
}

// remaining returns the expected time until an online run ends. Durations vary, so a run that has exceeded the mean
// is expected to end soon, and one that has just started may be short.
func (r *run) remaining(now time.Time, mean time.Duration) time.Duration {
	if r.costs.longest > 0 {
		return r.remainingByCost(now)
	}
	age := now.Sub(r.granted)
	return max(mean-age, mean/minRemainingDivisor)
}

// onlineSlots returns the number of slots that online requests can use: those on usable targets that w may use, less those
// that items still hold.
func (s *Scheduler) onlineSlots(now time.Time, p *pool, w *waiter) float64 {
	capacity, usable := 0.0, false
	for _, t := range p.targets {
		if !p.usable(now, t) || !w.mayUse(t) {
			continue
		}
		usable = true
		heldByItems := 0
		for _, r := range t.runs {
			if r.class == Item && !r.preempted {
				heldByItems++
			}
		}
		capacity += min(float64(t.Slots-heldByItems), t.limiter.Capacity(t.Slots, p.onlineSlotTime))
	}
	if !usable {
		return 0
	}
	return max(capacity, 1)
}

// interval returns the mean time between two slots that become free.
func (p *pool) interval(slots float64) time.Duration {
	return time.Duration(float64(p.onlineSlotTime) / slots)
}

// limitedTargets returns the number of targets whose rate limits leave slots unused.
func (p *pool) limitedTargets() int {
	n := 0
	for _, t := range p.targets {
		if p.slots(t) < t.Slots {
			n++
		}
	}
	return n
}

// requestsAhead returns the number of requests that will start before w. Those that have returned get what first attempts leave,
// of which only a share is known until they are due.
func (s *Scheduler) requestsAhead(now time.Time, p *pool, w *waiter) int {
	if !w.Retry || w.Interrupted {
		return slices.IndexFunc(s.turns(now, p, w), func(t turn) bool { return t.waiter == w })
	}
	ahead := 0
	for _, o := range p.online {
		if o.Retry && (o.Interrupted || !o.Expires.After(w.Expires)) {
			ahead++
		}
	}
	return int(float64(ahead) / returnedShare)
}

// extendWait lets a request that has returned wait for as long as its client can still be answered, but not for so long that it
// would have done better to go elsewhere.
func (p *pool) extendWait(now time.Time, w *waiter) {
	if w.AnswerBy.IsZero() {
		return
	}
	left := w.AnswerBy.Sub(now)
	latest := now.Add(min(time.Duration(maxReturnedWaitShare*float64(left)), left-time.Duration(answerTimeFactor*float64(p.onlineSlotTime))))
	if w.Interrupted {
		// What is left of its response is shorter than a whole one.
		if latest.After(w.Expires) {
			w.Expires = latest
		}
		return
	}
	w.Expires = latest
	if latest.Before(w.StartBy) {
		w.StartBy = latest
	}
}

// scheduleRetry returns the delay after which a refused client is expected to find a slot: in the capacity that first
// attempts leave, behind the clients that were refused before it. In a surge there is no such capacity, and the
// client is told to retry as late as it is willing to, when the surge is most likely over.
func (s *Scheduler) scheduleRetry(now time.Time, p *pool, w *waiter, excess, interval time.Duration) time.Duration {
	if w.Resuming {
		return minRetryAfter
	}
	p.expectedRetries = slices.DeleteFunc(p.expectedRetries, func(r expectedRetry) bool { return r.at.Before(now.Add(-retryWindow)) })
	at := now.Add(max(excess, minRetryAfter))
	if n := len(p.expectedRetries); n > 0 {
		spacing := time.Duration(float64(interval) / p.spareShare(now, interval))
		if next := p.expectedRetries[n-1].at.Add(spacing); next.After(at) {
			at = next
		}
	}
	// A client that has waited returns within a share of what is left.
	within := w.RetryWithin - time.Duration(retryTimeShare*float64(now.Sub(w.arrived)))
	if limit := time.Duration(maxRetryDelayShare * float64(within)); w.RetryWithin > 0 && at.After(now.Add(max(limit, 0))) {
		at = now.Add(max(limit, 0))
	}
	index, _ := slices.BinarySearchFunc(p.expectedRetries, at, func(r expectedRetry, at time.Time) int { return r.at.Compare(at) })
	p.expectedRetries = slices.Insert(p.expectedRetries, index, expectedRetry{at, w.Account, w.Weight, w.Priority})
	return at.Sub(now)
}

// observeArrival records a first attempt.
func (p *pool) observeArrival(now time.Time) {
	p.arrivals = append(p.arrivals[p.expiredArrivals(now):], now)
}

// expiredArrivals returns the number of arrivals older than arrivalWindow, which are at the front.
func (p *pool) expiredArrivals(now time.Time) int {
	n, _ := slices.BinarySearchFunc(p.arrivals, now.Add(-arrivalWindow), time.Time.Compare)
	return n
}

// spareShare returns the share of the slots that first attempts leave.
func (p *pool) spareShare(now time.Time, interval time.Duration) float64 {
	return max(1-p.expectedArrivals(now, interval), minRetryShare)
}

// expectedArrivals returns the number of first attempts expected within d at the recent rate.
func (p *pool) expectedArrivals(now time.Time, d time.Duration) float64 {
	recent := len(p.arrivals) - p.expiredArrivals(now)
	return float64(recent) * float64(d) / float64(arrivalWindow)
}

// consumeRetry removes the earliest expected retry of an account when a client retries.
func (p *pool) consumeRetry(now time.Time, account string) {
	index := slices.IndexFunc(p.expectedRetries, func(r expectedRetry) bool { return r.account == account })
	if index >= 0 && p.expectedRetries[index].at.Before(now.Add(retryWindow)) {
		p.expectedRetries = slices.Delete(p.expectedRetries, index, index+1)
	}
}

func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Float64()*float64(d)/2)
}

// refuseExpired refuses the requests whose wait has expired.
func (s *Scheduler) refuseExpired(now time.Time, p *pool) []Action {
	var actions []Action
	for _, w := range slices.Clone(p.online) {
		if now.Before(w.Expires) {
			continue
		}
		s.dequeue(w)
		capacity := max(s.onlineSlots(now, p, w), 1)
		interval := p.interval(capacity)
		actions = append(actions, Refuse{
			Ticket:     w.Ticket,
			RetryAfter: s.scheduleRetry(now, p, w, 0, interval),
			Reason:     StartDeadlineExceeded,
			Ahead:      len(p.online),
			Slots:      int(capacity),
			Limited:    p.limitedTargets(),
		})
	}
	return actions
}

func (p *pool) observeSlotTime(d time.Duration) {
	p.onlineSlotTime += time.Duration(slotTimeWeight * float64(d-p.onlineSlotTime))
}

// observeHealth updates the health of a target with the outcome of a run, and reports an ejection.
func (p *pool) observeHealth(now time.Time, r *run, outcome Outcome, firstEvent time.Duration) []Action {
	t := r.target
	if outcome == TimedOut && t.ignoresTimeout(now, r) {
		return nil
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
		signal = target.Interrupted
	case TimedOut:
		signal = target.TimedOut
	case Draining:
		t.reportedDraining = true
		return nil
	default:
		return nil
	}
	before, _ := p.health.State(t.ID)
	if t.probing {
		t.probing = false
		p.health.RecordProbe(now, t.ID, outcome == Finished)
	} else {
		p.health.Observe(now, t.ID, signal, firstEvent)
	}
	after, reason := p.health.State(t.ID)
	if after == before || after != target.Ejected {
		return nil
	}
	usable := 0
	for _, other := range p.targets {
		if p.usable(now, other) {
			usable++
		}
	}
	return []Action{Ejection{Target: t.ID, VM: r.ticket.VM, Reason: reason, Usable: usable}}
}

// ignoresTimeout reports whether the timeout of a run says nothing about its target: many runs started there at the
// same time, and a target processes their prompts one after the other. When clients reconnect after an outage this
// affects all targets, and ejecting them would leave none to serve the clients. A target that keeps timing out is not
// exempted again within ignoredBurstInterval.
func (t *targetState) ignoresTimeout(now time.Time, r *run) bool {
	if now.Before(t.ignoreTimeoutsUntil) {
		return true
	}
	burst := 0
	for _, at := range t.recentGrants {
		if at.Sub(r.granted).Abs() <= burstWindow/2 {
			burst++
		}
	}
	if float64(burst) < burstShare*float64(t.Slots) || now.Sub(t.ignoreTimeoutsUntil) < ignoredBurstInterval {
		return false
	}
	t.ignoreTimeoutsUntil = now.Add(burstWindow)
	return true
}

// recordGrant records the start of a run, for as long as it may explain the timeout of another one.
func (t *targetState) recordGrant(now time.Time) {
	recent, _ := slices.BinarySearchFunc(t.recentGrants, now.Add(-2*burstWindow), time.Time.Compare)
	t.recentGrants = append(t.recentGrants[recent:], now)
}
