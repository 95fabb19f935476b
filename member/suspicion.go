package member

import (
	"math"
	"time"
)

// suspicion counts down from a missed probe to death.
type suspicion struct {
	since    time.Time
	shortest time.Duration
	longest  time.Duration
	// wanted is the number of further accusers that bring the time down to the shortest.
	wanted   int
	accusers map[string]struct{}
	deadline time.Time
}

// suspicionProbes is the least number of this VM's own probes in the time from suspicion to death.
const suspicionProbes = 3

func (m *Machine) newSuspicion(now time.Time, accuser string) *suspicion {
	n := m.size()
	// A VM in poor health probes seldom; the suspect must be probed and told again before the end.
	floor := suspicionProbes * m.scaled(m.cfg.Period)
	s := &suspicion{
		since:    now,
		shortest: max(m.cfg.ShortestSuspicion(n), floor),
		longest:  max(m.cfg.LongestSuspicion(n), floor),
		// Neither this VM nor the suspect can confirm.
		wanted:   min(m.cfg.Confirmations, n-2),
		accusers: map[string]struct{}{accuser: {}},
	}
	s.schedule()
	return s
}

// confirm counts a further accuser. It reports whether the accuser was news that is worth spreading.
func (s *suspicion) confirm(accuser string) bool {
	if _, known := s.accusers[accuser]; known || len(s.accusers) > s.wanted {
		return false
	}
	s.accusers[accuser] = struct{}{}
	s.schedule()
	return true
}

// schedule sets the deadline by the formula of Lifeguard: the time falls from the longest to the
// shortest with the logarithm of the number of confirmations.
func (s *suspicion) schedule() {
	timeout := s.shortest
	if s.wanted > 0 {
		confirmations := float64(len(s.accusers) - 1)
		progress := math.Log(confirmations+1) / math.Log(float64(s.wanted)+1)
		timeout = s.longest - time.Duration(progress*float64(s.longest-s.shortest))
	}
	s.deadline = s.since.Add(max(timeout, s.shortest))
}

// couldBeRefuted reports whether the suspicion has lasted long enough for a refutation to arrive.
func (s *suspicion) couldBeRefuted(now time.Time) bool {
	return s != nil && now.Sub(s.since) >= s.shortest/2
}

// restart begins the countdown again after a pause of this VM: the refutation may have come
// during the pause, and a countdown that was about to end would not wait for it to be read.
func (s *suspicion) restart(now time.Time) {
	s.since = now
	s.schedule()
}

// suspect starts or confirms the suspicion of a member.
func (m *Machine) suspect(now time.Time, e *entry, accuser string) {
	switch {
	case e.State == Dead:
		return
	case e.State == Leaving:
		m.doubtLeaving(now, e)
		return
	case e.suspicion == nil:
		e.suspicion = m.newSuspicion(now, accuser)
	case !e.suspicion.confirm(accuser):
		return
	}
	if e.State == Alive {
		e.State = Suspect
		m.emit(Changed{})
	}
	m.spread(Update{VM: e.VM, Incarnation: e.Incarnation, State: Suspect, Accuser: accuser})
}

// doubtLeaving counts down for a leaving member. The claim is not spread, since it does not override
// the leaving, and so cannot be refuted: this VM probes the member until it answers or the time is up.
func (m *Machine) doubtLeaving(now time.Time, e *entry) {
	m.probeSoon(e.VM)
	if e.suspicion != nil {
		return
	}
	e.suspicion = m.newSuspicion(now, m.self.VM)
	e.suspicion.shortest = m.scaled(e.suspicion.longest)
	e.suspicion.longest = e.suspicion.shortest
	e.suspicion.schedule()
}

func (m *Machine) expireSuspicions(now time.Time) {
	for _, e := range m.members {
		if e.suspicion != nil && !now.Before(e.suspicion.deadline) {
			m.die(now, e)
			m.queue.add(Update{VM: e.VM, Incarnation: e.Incarnation, State: Dead, Accuser: m.self.VM})
		}
	}
}

// die marks a member as dead.
func (m *Machine) die(now time.Time, e *entry) {
	if e.State == Dead {
		return
	}
	e.hasLeft = e.State == Leaving
	e.State = Dead
	e.suspicion = nil
	e.diedAt = now
	m.live--
	m.emit(Changed{})
}
