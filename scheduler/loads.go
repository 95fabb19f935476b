package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Load counts the slots, runs, queued requests and targets of one service.
type Load struct {
	Service                         string
	Slots, Online, Items            int
	WaitingOnline, WaitingItems     int
	Targets, Usable, PendingRetries int
}

// Capacity is what a service can take now.
type Capacity struct {
	// Slots is the number of slots of usable targets.
	Slots int
	// Free is the number of free slots, and Spare the number of these beyond the headroom. Open is the number of slots that
	// online requests could get at once: free ones, and those of items that would be preempted for them.
	Free, Spare, Open int
	// Waiting is the number of queued online requests.
	Waiting int
}

// Capacity returns what a service can take now on targets of a version, or of any version if that is empty.
func (s *Scheduler) Capacity(now time.Time, service, version string) Capacity {
	p := s.pools[service]
	if p == nil {
		return Capacity{}
	}
	c := Capacity{Waiting: len(p.online)}
	c.Slots, c.Free = p.slotsOf(now, version)
	c.Spare = max(c.Free-s.headroom(now, p), 0)
	items, protected := 0, 0
	for _, t := range p.targets {
		if t.probing || !p.usable(now, t) || !t.runsVersion(version) || t.limiter.Available(now) == 0 {
			continue
		}
		for _, r := range t.runs {
			if r.class != Item || r.preempted {
				continue
			}
			items++
			if s.isNearlyDue(r.slack(now)) {
				protected++
			}
		}
	}
	if len(p.online) == 0 {
		c.Open = c.Free + items - min(protected, int(s.config.ProtectedShare*float64(c.Slots)))
	}
	return c
}

// Withdraw removes up to n waiting requests of a class, so that they can be sent to another coordinator: the online
// requests that would wait longest, or the items that are due first. Requests of a version that accepts rejects stay.
func (s *Scheduler) Withdraw(now time.Time, service string, class Class, n int, accepts func(version string) bool) []Ticket {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	list := slices.Clone(p.online)
	slices.Reverse(list)
	if class == Item {
		list = slices.Clone(p.items)
		s.sortItems(now, p, list)
	}
	list = slices.DeleteFunc(list, func(w *waiter) bool { return w.Version != "" && !accepts(w.Version) })
	var tickets []Ticket
	for _, w := range list[:min(n, len(list))] {
		s.dequeue(w)
		tickets = append(tickets, w.Ticket)
	}
	return tickets
}

// Loads returns the loads of all services, sorted by name.
func (s *Scheduler) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(s.pools))
	for _, p := range s.pools {
		l := Load{Service: p.name, WaitingOnline: len(p.online), WaitingItems: len(p.items), Targets: len(p.targets), PendingRetries: len(p.expectedRetries)}
		for _, t := range p.targets {
			if p.usable(now, t) {
				l.Usable++
				l.Slots += p.slots(t)
			}
			l.Items += len(t.runs)
		}
		l.Online = p.onlineRuns
		l.Items -= l.Online
		loads = append(loads, l)
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}
