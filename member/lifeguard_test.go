package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newConvergedSim returns a simulation whose views have converged.
func newConvergedSim(c *qt.C, protocol makeProtocol, vms int, seed uint64) *sim {
	s := newSim(protocol, vms, seed)
	_, err := s.runUntil(healBound(DefaultConfig(), vms), s.converged)
	c.Assert(err, qt.IsNil)
	s.run(time.Minute)
	return s
}

// falseSuspicions runs plan and returns the suspicions and deaths of VMs other than the subjects.
func falseSuspicions(s *sim, scenario func(), subjects ...*simVM) []string {
	var wrong []string
	note := func(observer, subject *simVM) {
		for _, v := range subjects {
			if v == subject {
				return
			}
		}
		wrong = append(wrong, observer.name+" suspected "+subject.name)
	}
	s.watch(note, note)
	scenario()
	s.watched = false
	return wrong
}

// pauseLengths, in milliseconds, let pauses start and end at many points of a probe.
var pauseLengths = []time.Duration{700, 1300, 2900, 7100, 15_300, 31_700}

func TestResumedMemberSuspectsNobody(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{3, 9, 27} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			check := func(protocol makeProtocol) (wrong []string) {
				s := newConvergedSim(c, protocol, vms, 1)
				paused := s.vms[0]
				for offset := range 10 {
					for _, length := range pauseLengths {
						wrong = append(wrong, falseSuspicions(s, func() {
							s.run(time.Duration(offset) * 97 * time.Millisecond)
							s.pause(paused)
							s.run(length * time.Millisecond)
							s.resume(paused)
							s.run(30 * time.Second)
						}, paused)...)
					}
				}
				return wrong
			}
			c.Assert(check(makeMachine), qt.HasLen, 0)
			c.Assert(check(makeNaiveProber), qt.Not(qt.HasLen), 0,
				qt.Commentf("the test must reject a version that does not restart its timers after a pause"))
		})
	}
}

func TestBrokenLinkBetweenTwoMembersCausesNoSuspicion(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{3, 9, 27} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			check := func(protocol makeProtocol) []string {
				s := newConvergedSim(c, protocol, vms, 1)
				return falseSuspicions(s, func() {
					s.brokenLink = [2]*simVM{s.vms[0], s.vms[1]}
					s.run(5 * time.Minute)
				})
			}
			c.Assert(check(makeMachine), qt.HasLen, 0)
			c.Assert(check(makeNaiveProber), qt.Not(qt.HasLen), 0,
				qt.Commentf("the test must reject a version without indirect probes"))
		})
	}
}

func TestLeavingMemberIsNotDeclaredDeadUnderLoss(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{3, 9, 27} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			check := func(protocol makeProtocol) []string {
				s := newConvergedSim(c, protocol, vms, 1)
				s.loss = 0.05
				for _, v := range s.vms {
					s.feed(v, LeaveStarted{})
				}
				var wrong []string
				s.watch(func(observer, subject *simVM) {
					wrong = append(wrong, observer.name+" marked "+subject.name+" dead")
				}, nil)
				s.run(20 * time.Minute)
				return wrong
			}
			c.Assert(check(makeMachine), qt.HasLen, 0)
			c.Assert(check(makeNaiveProber), qt.Not(qt.HasLen), 0,
				qt.Commentf("the test must reject a version that marks a member dead after one missing ack"))
		})
	}
}

// makeTrusting makes a version of Machine that applies claims of death in a received state without verifying them.
func makeTrusting(cfg Config) makeProtocol {
	return func(self Member, rng *randSource, now time.Time) protocol {
		return &trustingMachine{New(cfg, self, rng, now)}
	}
}

type trustingMachine struct{ *Machine }

func (p *trustingMachine) Handle(now time.Time, event Event) []Action {
	actions := p.Machine.Handle(now, event)
	if e, ok := event.(Synced); ok {
		for _, m := range e.Members {
			known := p.members[m.VM]
			if known != nil && m.State == Dead && m.Incarnation >= known.Incarnation {
				p.actions = nil
				p.markDead(now, known)
				actions = append(actions, p.actions...)
			}
		}
	}
	return actions
}

func TestHealedPartitionCausesNoDeathOnTheSameSide(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{9, 27} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			check := func(protocol makeProtocol) []string {
				s := newConvergedSim(c, protocol, vms, 1)
				s.setPartition(simZones[0])
				s.run(10 * time.Minute)
				s.setPartition("")
				var wrong []string
				s.watch(func(observer, subject *simVM) {
					if (observer.zone == simZones[0]) == (subject.zone == simZones[0]) {
						wrong = append(wrong, observer.name+" marked "+subject.name+" dead")
					}
				}, nil)
				s.run(healBound(DefaultConfig(), vms))
				return wrong
			}
			c.Assert(check(makeMachine), qt.HasLen, 0)
			c.Assert(check(makeTrusting(Config{})), qt.Not(qt.HasLen), 0,
				qt.Commentf("the test must reject a version that applies claims from the other side unverified"))
		})
	}
}

func TestRestartedMemberIsKnownByItsNewContact(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		skew time.Duration
		// times is the number of restarts of the process, pause the time between them.
		times int
		pause time.Duration
	}{
		{name: "with a monotonic clock", times: 1, pause: time.Second},
		{name: "with a clock set back by an hour", skew: time.Hour, times: 1, pause: time.Second},
		{name: "twice in quick succession, with a clock set back", skew: time.Hour, times: 2, pause: 43 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newConvergedSim(c, makeMachine, 9, 1)
			subject := s.vms[0]
			for range test.times {
				s.crash(subject)
				s.run(test.pause)
				s.startVM(subject, test.skew)
			}
			_, err := s.runUntil(degradedDeathBound(DefaultConfig(), 9), s.converged)
			c.Assert(err, qt.IsNil)
		})
	}
}

func TestSuspicionShortensWithConfirmations(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	m := New(Config{}, Member{VM: "self"}, newRandom(1), simStart)
	m.live = 8
	s := m.newSuspicion(simStart, "a")
	deadlines := []time.Duration{s.deadline.Sub(simStart)}
	for _, reporter := range []string{"b", "c", "d"} {
		c.Assert(s.confirm(reporter), qt.IsTrue)
		c.Assert(s.confirm(reporter), qt.IsFalse, qt.Commentf("a reporter counts once"))
		deadlines = append(deadlines, s.deadline.Sub(simStart))
	}
	c.Assert(s.confirm("e"), qt.IsFalse)
	c.Assert(deadlines, qt.DeepEquals, []time.Duration{9 * time.Second, 6 * time.Second, deadlines[2], 3 * time.Second})
	c.Assert(deadlines[2] < deadlines[1] && deadlines[2] > deadlines[3], qt.IsTrue)
}
