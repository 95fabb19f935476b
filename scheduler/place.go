package scheduler

import (
	"slices"
	"time"
)

// usable reports whether a target may take new runs.
func (p *pool) usable(now time.Time, t *slots) bool {
	return !t.Draining && !t.leaving && (t.trial || p.health.Share(now, t.ID) > 0)
}

// free is the number of slots that take a run at once.
func (p *pool) free(now time.Time, t *slots) int {
	free := t.Slots - t.occupied
	if t.trial {
		free = 1 - min(t.occupied, 1)
	}
	// Full targets are the most, and their health need not be known.
	if free <= 0 || !p.usable(now, t) {
		return 0
	}
	return free
}

// place grants a slot to an online request: a free one, or else one that an item gives back.
func (s *Scheduler) place(now time.Time, p *pool, w *waiting) ([]Action, bool) {
	if t := p.pickFree(now, w); t != nil {
		return []Action{s.grant(now, t, w)}, true
	}
	victim := s.victim(now, p, w)
	if victim == nil {
		return nil, false
	}
	victim.yield()
	return []Action{Preempt{Ticket: victim.ticket}, s.grant(now, victim.slots, w)}, true
}

// pickFree returns the target with the most free slots, one in the request's availability zone first.
func (p *pool) pickFree(now time.Time, w *waiting) *slots {
	var best *slots
	bestLocal, bestFree := false, 0
	for _, t := range p.targets {
		free := p.free(now, t)
		if free <= 0 || slices.Contains(w.Tried, t.ID) {
			continue
		}
		local := t.AvailabilityZone == w.AvailabilityZone
		if best == nil || local && !bestLocal || local == bestLocal && free > bestFree {
			best, bestLocal, bestFree = t, local, free
		}
	}
	return best
}

// victim returns the item that can best afford to yield, on a target that the request may use.
func (s *Scheduler) victim(now time.Time, p *pool, w *waiting) *run {
	var best *run
	var bestSlack time.Duration
	bestProtected := false
	protected := 0
	total := 0
	for _, t := range p.targets {
		if !p.usable(now, t) {
			continue
		}
		total += t.Slots
		for _, r := range t.runs {
			if r.class != Item || r.yielding {
				continue
			}
			slack := r.slack(now)
			isProtected := s.isNearlyDue(slack)
			if isProtected {
				protected++
			}
			if t.trial || slices.Contains(w.Tried, t.ID) {
				continue
			}
			// Items that miss their due time anyway yield first, then those with the most time left.
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

// slack is the time that a run of an item may lose without missing its due time.
func (r *run) slack(now time.Time) time.Duration {
	left := max(r.expected-now.Sub(r.granted), 0)
	return r.due.Sub(now) - left
}

func (s *Scheduler) grant(now time.Time, t *slots, w *waiting) Action {
	t.noteGrant(now)
	r := &run{ticket: w.Ticket, class: w.Class, granted: now, due: w.StartBy, expected: w.Expected}
	s.start(t, r)
	return r.grant()
}

// dispatch grants free slots: to online requests in their order, and then to items.
func (s *Scheduler) dispatch(now time.Time, p *pool) []Action {
	var actions []Action
	for _, w := range slices.Clone(p.online) {
		granted, placed := s.place(now, p, w)
		if placed {
			s.forget(w)
			actions = append(actions, granted...)
			continue
		}
		if len(w.Tried) == 0 {
			// What one that may use any target cannot have, the others cannot have either.
			break
		}
	}
	return append(actions, s.dispatchItems(now, p)...)
}

// dispatchItems grants the slots beyond the headroom, and those in it to items that have to start now.
func (s *Scheduler) dispatchItems(now time.Time, p *pool) []Action {
	free := p.freeSlots(now)
	if len(p.items) == 0 || free == 0 {
		return nil
	}
	spare := free - s.headroom(now, p)
	startable := slices.Clone(p.items)
	if spare <= 0 {
		startable = slices.DeleteFunc(startable, func(w *waiting) bool { return !s.isUrgent(now, w) })
	}
	sortItems(now, startable)
	var actions []Action
	for _, w := range startable {
		if spare <= 0 && !s.isUrgent(now, w) {
			continue
		}
		t := p.pickFree(now, w)
		if t == nil {
			if p.freeSlots(now) == 0 {
				break
			}
			continue
		}
		s.forget(w)
		actions = append(actions, s.grant(now, t, w))
		spare--
	}
	return actions
}

// sortItems brings items into the order in which they get slots.
func sortItems(now time.Time, items []*waiting) {
	slices.SortStableFunc(items, func(a, b *waiting) int { return CompareItems(now, a.Request, b.Request) })
}

// CompareItems orders items by due time. Items that would miss it come after those that can still meet it.
func CompareItems(now time.Time, a, b Request) int {
	lateA, lateB := a.Misses(now), b.Misses(now)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	}
	return a.StartBy.Compare(b.StartBy)
}
