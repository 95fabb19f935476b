package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// turn is the place of a waiting request in the order of a queue.
type turn struct {
	waiter   *waiter
	account  string
	weight   float64
	priority int
	// interrupted and retry are those of the request, startBy its start deadline, and due its Expires.
	interrupted, retry bool
	startBy, due       time.Time
	arrival            uint64
	standing           standing
	tag                float64
}

// expectedRetry is a retry that a refused client was told to make.
type expectedRetry struct {
	at       time.Time
	account  string
	weight   float64
	priority int
}

// isShared reports whether the order of the queue depends on accounts or priorities once w is queued.
func (p *pool) isShared(w *waiter) bool {
	differs := func(account string, priority int) bool { return account != w.Account || priority != w.Priority }
	return slices.ContainsFunc(p.online, func(o *waiter) bool { return differs(o.Account, o.Priority) })
}

// turns returns the order of the queued online requests together with w, which may be nil.
func (s *Scheduler) turns(now time.Time, p *pool, w *waiter) []turn {
	turns := make([]turn, 0, len(p.online)+1)
	shared, retries := false, false
	add := func(o *waiter) {
		turns = append(turns, turn{
			waiter: o, account: o.Account, weight: o.Weight, priority: o.Priority, arrival: o.arrival,
			interrupted: o.Interrupted, retry: o.Retry, startBy: o.StartBy, due: o.Expires,
		})
		shared = shared || o.Account != turns[0].account || o.Priority != turns[0].priority
		retries = retries || o.Retry
	}
	for _, o := range p.online {
		add(o)
	}
	if w != nil {
		add(w)
	}
	if retries {
		s.order(p, now, turns, p.interval(max(float64(p.usableSlots(now)), 1)))
		slices.SortStableFunc(turns, compareStandings)
	}
	if !shared {
		return turns
	}
	order, usual := p.onlineUse.Turns(now), p.onlineUse.Usual(now)
	for i := range turns {
		// Accounts of usual use don't overtake each other, so that none of them waits much longer than the others.
		turns[i].tag = max(order.Next(turns[i].account, turns[i].weight, p.onlineSlotTime.Seconds()), usual)
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		if a.priority != b.priority {
			return cmp.Compare(a.priority, b.priority)
		}
		return cmp.Or(cmp.Compare(a.tag, b.tag), compareStandings(a, b))
	})
	return turns
}

// sortOnline brings the queue into the present order, which changes with the time and as use is recorded and decays.
func (s *Scheduler) sortOnline(now time.Time, p *pool) {
	if len(p.online) < 2 {
		return
	}
	for i, t := range s.turns(now, p, nil) {
		p.online[i] = t.waiter
	}
}

// refuseOvertaken refuses a request that can no longer start in time because w, which is queued, goes ahead of it. One refusal is
// enough: w delays those behind it by one place.
func (s *Scheduler) refuseOvertaken(now time.Time, p *pool, w *waiter) []Action {
	if !p.isShared(w) {
		return nil
	}
	at := slices.Index(p.online, w)
	for ahead := at + 1; ahead < len(p.online); ahead++ {
		o := p.online[ahead]
		if o.awaits != nil || o.Account == w.Account && o.Priority == w.Priority {
			continue
		}
		capacity := s.onlineSlots(now, p, o)
		if capacity == 0 {
			continue
		}
		maxWait := o.Expires.Sub(now)
		wait, interval := s.predictWait(now, p, o, ahead, maxWait, capacity)
		if wait <= maxWait {
			continue
		}
		s.dequeue(o)
		return []Action{Refuse{
			Ticket:     o.Ticket,
			RetryAfter: s.scheduleRetry(now, p, o, wait-maxWait, interval),
			Reason:     Overloaded,
			Ahead:      ahead,
			Slots:      int(capacity),
			Limited:    p.limitedTargets(),
		}}
	}
	return nil
}

// recordUse charges a run to its account, with the slot time that is expected of it.
func (p *pool) recordUse(now time.Time, w *waiter, r *run) {
	use, cost := &p.onlineUse, r.expected
	if w.Class == Item {
		use = &p.itemUse
	} else if cost <= 0 {
		cost = p.onlineSlotTime
	}
	use.Record(now, w.Account, w.Weight, cost.Seconds())
}

// Urgencies of items, in the order in which they are served.
const (
	urgentItem = iota
	ordinaryItem
	lateItem
)

// sortItems sorts items into the order in which they are granted slots: by due time, and in turns between accounts with items of
// the same urgency.
func (s *Scheduler) sortItems(now time.Time, p *pool, items []*waiter) {
	slices.SortStableFunc(items, func(a, b *waiter) int { return CompareItems(now, a.Request, b.Request) })
	if !slices.ContainsFunc(items, func(w *waiter) bool { return w.Account != items[0].Account }) {
		return
	}
	type place struct {
		urgency int
		tag     float64
	}
	places := make(map[*waiter]place, len(items))
	order := p.itemUse.Turns(now)
	for _, urgency := range []int{urgentItem, ordinaryItem, lateItem} {
		for _, w := range items {
			if s.urgency(now, w) == urgency {
				places[w] = place{urgency, order.Next(w.Account, w.Weight, w.Expected.Seconds())}
			}
		}
	}
	slices.SortStableFunc(items, func(a, b *waiter) int {
		x, y := places[a], places[b]
		return cmp.Or(cmp.Compare(x.urgency, y.urgency), cmp.Compare(x.tag, y.tag))
	})
}

func (s *Scheduler) urgency(now time.Time, w *waiter) int {
	switch {
	case w.MissesDueTime(now):
		return lateItem
	case s.isUrgent(now, w):
		return urgentItem
	default:
		return ordinaryItem
	}
}
