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

// Loads returns the loads of all services, sorted by name.
func (s *Scheduler) Loads(now time.Time) []Load {
	loads := make([]Load, 0, len(s.pools))
	for _, p := range s.pools {
		l := Load{Service: p.name, WaitingOnline: len(p.online), WaitingItems: len(p.items), Targets: len(p.targets), PendingRetries: len(p.expectedRetries)}
		for _, t := range p.targets {
			if p.usable(now, t) {
				l.Usable++
				l.Slots += t.Slots
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
