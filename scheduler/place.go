package scheduler

import (
	"math"
	"slices"
	"time"
)

// usable reports whether a target may take new runs.
func (p *pool) usable(now time.Time, t *targetState) bool {
	return !t.Draining && !t.reportedDraining && (t.probing || p.health.Share(now, t.ID) > 0)
}

// free returns the number of slots of a target that can take a run now.
func (p *pool) free(now time.Time, t *targetState) int {
	free := t.Slots - t.occupied
	if t.probing {
		free = 1 - min(t.occupied, 1)
	}
	// Most targets are full. Checking this first saves the lookup of their health.
	if free <= 0 || !p.usable(now, t) {
		return 0
	}
	return min(free, t.limiter.Available(now))
}

// slots returns the number of slots of a target that online requests can occupy.
func (p *pool) slots(t *targetState) int {
	return int(math.Ceil(t.limiter.Capacity(t.Slots, p.onlineSlotTime)))
}

// place grants a slot to an online request: a free one, or one that is preempted from an item.
func (s *Scheduler) place(now time.Time, p *pool, w *waiter) ([]Action, bool) {
	if p.costs.enabled {
		return s.placeByCost(now, p, w)
	}
	if t := p.pickFree(now, w); t != nil {
		return []Action{s.grant(now, t, w)}, true
	}
	victim := s.victim(now, p, w)
	if victim == nil {
		return nil, false
	}
	victim.preempt()
	return []Action{Preempt{Ticket: victim.ticket}, s.grant(now, victim.target, w)}, true
}

// pickFree returns the target with the most free slots, preferring the request's availability zone.
func (p *pool) pickFree(now time.Time, w *waiter) *targetState {
	var best *targetState
	bestLocal, bestFree := false, 0
	for _, t := range p.targets {
		free := p.free(now, t)
		if free <= 0 || !w.mayUse(t) {
			continue
		}
		local := t.AvailabilityZone == w.AvailabilityZone
		if best == nil || local && !bestLocal || local == bestLocal && free > bestFree {
			best, bestLocal, bestFree = t, local, free
		}
	}
	return best
}

// pickForItem returns the target with a free slot that an item is granted.
func (s *Scheduler) pickForItem(now time.Time, p *pool, w *waiter) *targetState {
	if p.costs.enabled {
		return s.pick(now, p, w)
	}
	return p.pickFree(now, w)
}

// victim returns the item that can best afford to be preempted, on a target that the request may use.
func (s *Scheduler) victim(now time.Time, p *pool, w *waiter) *run {
	var best *run
	var bestSlack time.Duration
	bestProtected := false
	protected := 0
	total := 0
	for _, t := range p.targets {
		if !p.usable(now, t) {
			continue
		}
		total += p.slots(t)
		for _, r := range t.runs {
			if r.class != Item || r.preempted {
				continue
			}
			slack := r.slack(now)
			isProtected := s.isNearlyDue(slack)
			if isProtected {
				protected++
			}
			if t.probing || !w.mayUse(t) || t.limiter.Available(now) == 0 {
				continue
			}
			// Items that miss their due time anyway are preempted first, then those with the most slack.
			if slack < 0 {
				slack = 1 << 62
			}
			if best == nil || bestProtected && !isProtected || bestProtected == isProtected && slack > bestSlack {
				best, bestSlack, bestProtected = r, slack, isProtected
			}
		}
	}
	if bestProtected && float64(protected) <= s.config.ProtectedShare*float64(total) {
		return nil
	}
	return best
}

// slack returns how long an item's run may be delayed without missing its due time.
func (r *run) slack(now time.Time) time.Duration {
	left := max(r.expected-now.Sub(r.granted), 0)
	return r.due.Sub(now) - left
}

func (s *Scheduler) grant(now time.Time, t *targetState, w *waiter) Action {
	t.recordGrant(now)
	t.limiter.Take(now)
	r := &run{ticket: w.Ticket, class: w.Class, granted: now, due: w.StartBy, expected: w.Expected}
	t.pool.prepareRun(now, t, r, &w.Request)
	t.recordStart(now, &w.Request)
	t.pool.recordUse(now, w, r)
	s.startRun(t, r)
	return r.grant()
}

// dispatch grants free slots, first to online requests in queue order, then to items.
func (s *Scheduler) dispatch(now time.Time, p *pool) []Action {
	var actions []Action
	s.sortOnline(now, p)
	for _, w := range slices.Clone(p.online) {
		granted, placed := s.place(now, p, w)
		actions = append(actions, granted...)
		if placed {
			s.dequeue(w)
			continue
		}
		if len(w.Tried) == 0 && w.Version == "" && !w.memoryBound {
			// If a request that may use any target finds no slot, no later request does.
			break
		}
	}
	return append(actions, s.dispatchItems(now, p)...)
}

// dispatchItems grants the free slots beyond the headroom, and those within it to urgent items.
func (s *Scheduler) dispatchItems(now time.Time, p *pool) []Action {
	if len(p.items) == 0 {
		return nil
	}
	free := p.freeSlots(now)
	if free == 0 {
		return nil
	}
	headroom := s.headroom(now, p)
	p.reserveMemory(headroom, p.usableSlots(now))
	spare := free - headroom
	eligible := slices.Clone(p.items)
	if spare <= 0 {
		eligible = slices.DeleteFunc(eligible, func(w *waiter) bool { return !s.isUrgent(now, w) })
	}
	s.sortItems(now, p, eligible)
	var actions []Action
	for _, w := range eligible {
		if p.hasTriedAll(now, w) {
			w.Tried = nil
		}
		if spare <= 0 && !s.isUrgent(now, w) {
			continue
		}
		t := s.pickForItem(now, p, w)
		if t == nil {
			if p.freeSlots(now) == 0 {
				break
			}
			continue
		}
		s.dequeue(w)
		actions = append(actions, s.grant(now, t, w))
		spare--
	}
	return actions
}

// hasTriedAll reports whether an item has tried all usable targets that run its version. It may use them again, rather than wait for others.
func (p *pool) hasTriedAll(now time.Time, w *waiter) bool {
	return len(w.Tried) > 0 && !slices.ContainsFunc(p.targets, func(t *targetState) bool { return p.usable(now, t) && w.mayUse(t) })
}

// CompareItems orders items by due time. Items that would miss it come after those that can still meet it.
func CompareItems(now time.Time, a, b Request) int {
	lateA, lateB := a.MissesDueTime(now), b.MissesDueTime(now)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	}
	return a.StartBy.Compare(b.StartBy)
}
