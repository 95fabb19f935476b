package member

import (
	"math"
	"time"
)

// suspicion is the timeout after which a suspected member is marked dead.
type suspicion struct {
	since    time.Time
	shortest time.Duration
	longest  time.Duration
	// confirmationsNeeded is the number of further reporters that reduce the timeout to the shortest.
	confirmationsNeeded int
	reporters           map[string]struct{}
	deadline            time.Time
}

// suspicionProbes is the minimum number of this VM's own probe intervals in a suspicion timeout.
const suspicionProbes = 3

func (m *Machine) newSuspicion(now time.Time, reporter string) *suspicion {
	n := m.size()
	// A VM in poor health probes less often; the suspect must be probed and told again before the timeout.
	floor := suspicionProbes * m.scaled(m.cfg.Period)
	s := &suspicion{
		since:    now,
		shortest: max(m.cfg.ShortestSuspicion(n), floor),
		longest:  max(m.cfg.LongestSuspicion(n), floor),
		// Neither this VM nor the suspect can confirm.
		confirmationsNeeded: min(m.cfg.Confirmations, n-2),
		reporters:           map[string]struct{}{reporter: {}},
	}
	s.schedule()
	return s
}

// confirm counts a further reporter. It reports whether the confirmation is new and should be disseminated.
func (s *suspicion) confirm(reporter string) bool {
	if _, known := s.reporters[reporter]; known || len(s.reporters) > s.confirmationsNeeded {
		return false
	}
	s.reporters[reporter] = struct{}{}
	s.schedule()
	return true
}

// schedule sets the deadline by Lifeguard's formula: the timeout decreases from the longest to the
// shortest with the logarithm of the number of confirmations.
func (s *suspicion) schedule() {
	timeout := s.shortest
	if s.confirmationsNeeded > 0 {
		confirmations := float64(len(s.reporters) - 1)
		progress := math.Log(confirmations+1) / math.Log(float64(s.confirmationsNeeded)+1)
		timeout = s.longest - time.Duration(progress*float64(s.longest-s.shortest))
	}
	s.deadline = s.since.Add(max(timeout, s.shortest))
}

// hadTimeToRefute reports whether the suspicion has lasted long enough for a refutation to arrive.
func (s *suspicion) hadTimeToRefute(now time.Time) bool {
	return s != nil && now.Sub(s.since) >= s.shortest/2
}

// restart restarts the timeout after a pause of this VM: a refutation may have arrived during the
// pause, and a timeout about to expire would not wait for it to be read.
func (s *suspicion) restart(now time.Time) {
	s.since = now
	s.schedule()
}

// suspect starts or confirms the suspicion of a member.
func (m *Machine) suspect(now time.Time, e *entry, reporter string) {
	switch {
	case e.State == Dead:
		return
	case e.State == Leaving:
		m.suspectLeaving(now, e)
		return
	case e.suspicion == nil:
		e.suspicion = m.newSuspicion(now, reporter)
	case !e.suspicion.confirm(reporter):
		return
	}
	if e.State == Alive {
		e.State = Suspect
		m.emit(Changed{})
	}
	m.disseminate(Update{VM: e.VM, Incarnation: e.Incarnation, State: Suspect, Reporter: reporter})
}

// suspectLeaving starts the timeout of a leaving member. The claim is not disseminated, because it does not
// override the leaving state and so cannot be refuted: this VM probes the member until it answers or the
// timeout expires.
func (m *Machine) suspectLeaving(now time.Time, e *entry) {
	m.probeNext(e.VM)
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
			m.markDead(now, e)
			m.queue.add(Update{VM: e.VM, Incarnation: e.Incarnation, State: Dead, Reporter: m.self.VM})
		}
	}
}

func (m *Machine) markDead(now time.Time, e *entry) {
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
