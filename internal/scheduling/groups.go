package scheduling

import (
	"math"
	"time"

	"github.com/rosemarydyke/rosemarydyke/group"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// loadInterval is the interval at which coordinators tell each other the loads of their groups.
	loadInterval = 250 * time.Millisecond
	// maxRedirects is the number of times that a request is sent on to another group; after that it waits where it is.
	maxRedirects = 2
)

// groupedTargets returns the targets with the key of their group in place of their service, which is what the scheduler
// keeps apart.
func groupedTargets(division *group.Division, targets []routing.Target) []routing.Target {
	grouped := make([]routing.Target, len(targets))
	for i, t := range targets {
		grouped[i] = t
		grouped[i].Service = division.Of(t.ID)
	}
	return grouped
}

// chooseGroup returns the group that a request for a service, and for a version unless that is empty, is sent to. A VM without the registry knows no groups; the
// coordinator that it asks redirects the request.
func (s *Service) chooseGroup(now time.Time, service, version, zone string) string {
	avoid := func(key string) bool { return s.avoids(now, key) || !s.division.Group(key).Serves(version) }
	if key := s.division.Choose(service, zone, avoid, s.random); key != "" {
		return key
	}
	return service
}

// redirect decides whether a request that this VM has been asked to schedule is sent to another group.
func (s *Service) redirect(now time.Time, r scheduler.Request, redirects int) (key string, redirected bool) {
	if redirects >= maxRedirects || s.scheduler.Knows(r.Ticket) {
		return "", false
	}
	own := s.division.Group(r.Service)
	if own == nil {
		// The registry of the sender differs from the one here.
		avoid := func(key string) bool { return !s.division.Group(key).Serves(r.Version) }
		key = s.division.Choose(group.ServiceOf(r.Service), r.AvailabilityZone, avoid, s.random)
		return key, key != ""
	}
	if len(s.division.Groups(own.Service)) == 1 {
		return "", false
	}
	load := loadOf(s.scheduler.Capacity(now, own.Key, r.Version), now)
	key, redirected = s.division.Redirect(own, load, s.loads, r.Version, r.Class == scheduler.Item, now, s.random)
	if redirected {
		s.takeFrom(key)
	}
	return key, redirected
}

// takeFrom reduces the last known load of another group by a request that is sent there.
func (s *Service) takeFrom(key string) {
	l := s.loads[key]
	l.Spare, l.Open = l.Spare-1, l.Open-1
	s.loads[key] = l
}

func loadOf(c scheduler.Capacity, at time.Time) group.Load {
	return group.Load{Slots: c.Slots, Free: c.Free, Spare: c.Spare, Open: c.Open, Waiting: c.Waiting, At: at}
}

func (s *Service) onLoad(m loadMessage) {
	s.loads[m.Group] = group.Load{Slots: m.Slots, Free: m.Free, Spare: m.Spare, Open: m.Open, Waiting: m.Waiting, At: time.Now()}
}

// shareLoads tells the coordinators of some other groups the loads of the groups that this VM coordinates, and sends waiting
// requests to groups that have free slots.
func (s *Service) shareLoads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasRegistry {
		return
	}
	s.updateEngines()
	now := time.Now()
	for _, key := range s.division.Keys() {
		own := s.division.Group(key)
		if len(s.division.Groups(own.Service)) == 1 || s.coordinator(now, key).VM != s.vm {
			continue
		}
		load := loadOf(s.scheduler.Capacity(now, key, ""), now)
		s.loads[key] = load
		told := map[string]bool{s.vm: true}
		for _, other := range s.division.Listeners(own) {
			if c := s.coordinator(now, other.Key); !told[c.VM] {
				told[c.VM] = true
				s.send(c.address, methodLoad, loadMessage{Group: key, Slots: load.Slots, Open: load.Open, Spare: load.Spare, Waiting: load.Waiting, Free: load.Free})
			}
		}
		s.redirectWaiting(now, own, load, scheduler.Online)
		s.redirectWaiting(now, own, load, scheduler.Item)
	}
}

// redirectWaiting sends waiting requests of a group without free slots to groups that have some.
func (s *Service) redirectWaiting(now time.Time, own *group.Group, load group.Load, class scheduler.Class) {
	for {
		key, ok := s.division.Redirect(own, load, s.loads, "", class == scheduler.Item, now, s.random)
		if !ok || s.loads[key].Open <= 0 {
			return
		}
		tickets := s.scheduler.Withdraw(now, own.Key, class, 1, s.division.Group(key).Serves)
		if len(tickets) == 0 {
			return
		}
		s.takeFrom(key)
		s.sendElsewhere(tickets[0], key)
	}
}

// redirectFromRemoved sends the requests that wait in groups that no longer exist to other groups of their services.
func (s *Service) redirectFromRemoved(now time.Time, previous *group.Division) {
	for _, key := range previous.Keys() {
		if s.division.Group(key) != nil {
			continue
		}
		service := previous.Group(key).Service
		if len(s.division.Groups(service)) == 0 {
			continue
		}
		anyVersion := func(string) bool { return true }
		for _, class := range []scheduler.Class{scheduler.Online, scheduler.Item} {
			for _, ticket := range s.scheduler.Withdraw(now, key, class, math.MaxInt, anyVersion) {
				s.sendElsewhere(ticket, s.chooseGroup(now, service, "", ""))
			}
		}
	}
}

func (s *Service) sendElsewhere(ticket scheduler.Ticket, key string) {
	message := newRedirectMessage(ticket, key)
	s.deliver(ticket, methodRefuse, message, func() { s.onRefuse(s.vm, message) })
}

// ReportLeaving tells the coordinator of a target's group that the target is leaving.
func (s *Service) ReportLeaving(id string, startedUnixMilli int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.ReportDraining(id, startedUnixMilli)
	key := s.division.Of(id)
	if key == "" {
		return
	}
	if c := s.coordinator(time.Now(), key); c.VM != s.vm {
		s.send(c.address, methodLeaving, leavingMessage{Target: id, StartedUnixMilli: startedUnixMilli})
	}
}
