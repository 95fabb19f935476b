package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

// faultKind is the kind of an injected fault.
type faultKind string

const (
	faultNone       faultKind = "none"
	faultCrash      faultKind = "crash"
	faultRestart    faultKind = "restart"
	faultLeave      faultKind = "leave"
	faultStartLeave faultKind = "start to leave"
	faultPause      faultKind = "pause"
	faultResume     faultKind = "resume"
	faultPartition  faultKind = "partition"
	faultHeal       faultKind = "heal"
	faultLoss       faultKind = "loss"
	faultClockBack  faultKind = "restart with the clock set back"
)

// fault is one step of a schedule.
type fault struct {
	Kind faultKind
	// VM and Zone are indexes.
	VM, Zone int
	// Loss is the fraction of datagrams lost from now on.
	Loss float64
	// For is the time until the next step.
	For time.Duration
}

// schedule is a sequence of faults to simulate.
type schedule struct {
	VMs    int
	Seed   uint64
	Faults []fault
}

var faultGen = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind: rapid.SampledFrom([]faultKind{
			faultNone, faultCrash, faultRestart, faultRestart, faultLeave, faultStartLeave, faultPause, faultResume, faultResume,
			faultPartition, faultHeal, faultHeal, faultLoss, faultClockBack,
		}).Draw(t, "kind"),
		VM:   rapid.IntRange(0, 26).Draw(t, "vm"),
		Zone: rapid.IntRange(0, 2).Draw(t, "zone"),
		Loss: rapid.SampledFrom([]float64{0, 0.01, 0.05}).Draw(t, "loss"),
		For:  time.Duration(rapid.IntRange(10, 40_000).Draw(t, "milliseconds")) * time.Millisecond,
	}
})

var scheduleGen = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		VMs:    rapid.SampledFrom([]int{3, 3, 9, 9, 27}).Draw(t, "vms"),
		Seed:   rapid.Uint64().Draw(t, "seed"),
		Faults: rapid.SliceOfN(faultGen, 1, 20).Draw(t, "faults"),
	}
})

// replay runs a schedule against a protocol and checks that a VM which runs and has been reachable for
// longer than staleBound is not marked dead by any other, and that all views are correct within healBound
// after the last fault.
func replay(protocol makeProtocol, plan schedule) error {
	cfg := DefaultConfig()
	s := newSim(protocol, plan.VMs, plan.Seed)
	if _, err := s.runUntil(healBound(cfg, plan.VMs), s.converged); err != nil {
		return fmt.Errorf("members did not join: %w", err)
	}
	var falseDeath error
	s.watch(func(observer, subject *simVM) {
		if falseDeath == nil && !s.isDisturbed(subject, staleBound(cfg, plan.VMs)) {
			falseDeath = fmt.Errorf("at %v %s marked %s dead, which was undisturbed since %v",
				s.now.Sub(simStart), observer.name, subject.name, subject.disturbedAt.Sub(simStart))
		}
	}, nil)
	for _, f := range plan.Faults {
		s.apply(f)
		s.run(f.For)
	}
	s.endFaults()
	if _, err := s.runUntil(healBound(cfg, plan.VMs), s.converged); err != nil {
		return fmt.Errorf("views did not converge after the last fault: %w", err)
	}
	return falseDeath
}

func (s *sim) apply(f fault) {
	v := s.vms[f.VM%len(s.vms)]
	switch f.Kind {
	case faultCrash:
		s.crash(v)
	case faultRestart:
		s.crash(v)
		s.startVM(v, 0)
	case faultClockBack:
		s.crash(v)
		s.startVM(v, time.Hour)
	case faultLeave:
		if v.running && !v.paused {
			s.leave(v)
		}
	case faultStartLeave:
		if v.running && !v.paused {
			s.feed(v, LeaveStarted{})
		}
	case faultPause:
		if v.running {
			s.pause(v)
		}
	case faultResume:
		s.resume(v)
	case faultPartition:
		s.setPartition(simZones[f.Zone])
	case faultHeal:
		s.setPartition("")
	case faultLoss:
		s.loss = f.Loss
	}
}

func (s *sim) endFaults() {
	s.setPartition("")
	s.loss = 0
	for _, v := range s.vms {
		s.resume(v)
	}
}

// viewsConverge is the property that replay succeeds for any schedule of faults.
func viewsConverge(protocol makeProtocol) func(*rapid.T) {
	return func(t *rapid.T) {
		if err := replay(protocol, scheduleGen.Draw(t, "schedule")); err != nil {
			t.Fatal(err)
		}
	}
}

func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, viewsConverge(makeMachine))
	rapidtest.MustFail(t, viewsConverge(makeNaiveProber))
}

// maxNaiveVMs bounds the fleet size for the naive versions, which take long to fail in larger fleets.
const maxNaiveVMs = 27

// pauseUnderLoss pauses one VM after another on a network that loses datagrams.
func pauseUnderLoss(vms int, seed uint64) schedule {
	plan := schedule{VMs: vms, Seed: seed, Faults: []fault{{Kind: faultLoss, Loss: 0.05, For: time.Second}}}
	for vm := range 3 {
		plan.Faults = append(plan.Faults,
			fault{Kind: faultPause, VM: vm, For: 40 * time.Second},
			fault{Kind: faultResume, VM: vm, For: 20 * time.Second})
	}
	plan.Faults = append(plan.Faults, fault{Kind: faultNone, For: 4 * time.Minute})
	return plan
}

func TestPauseAndLossCauseNoLastingDeath(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{3, 9, 27, 81} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			plan := pauseUnderLoss(vms, 1)
			c.Assert(replay(makeMachine, plan), qt.IsNil)
			if vms <= maxNaiveVMs {
				c.Assert(replay(makeNaiveProber, plan), qt.IsNotNil,
					qt.Commentf("the test must reject a version without suspicion and refutation"))
			}
		})
	}
}

func TestCutAvailabilityZoneHeals(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{3, 9, 27, 81} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			plan := schedule{VMs: vms, Seed: 1, Faults: []fault{
				{Kind: faultPartition, Zone: 1, For: 5 * time.Minute},
				{Kind: faultHeal, For: time.Second},
			}}
			c.Assert(replay(makeMachine, plan), qt.IsNil)
			if vms <= maxNaiveVMs {
				c.Assert(replay(makeNaiveProber, plan), qt.IsNotNil,
					qt.Commentf("the test must reject a version in which dead members never rejoin"))
			}
		})
	}
}

func TestCrashIsDetectedByAllMembersInTime(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	for _, vms := range []int{3, 9, 27, 81} {
		for _, loss := range []float64{0, 0.05} {
			t.Run(fmt.Sprintf("%d VMs with loss %v", vms, loss), func(t *testing.T) {
				c := qt.New(t)
				for seed := range uint64(5) {
					s := newSim(makeMachine, vms, seed)
					_, err := s.runUntil(healBound(cfg, vms), s.converged)
					c.Assert(err, qt.IsNil)
					s.loss = loss
					bound := deathBound(cfg, vms)
					if loss > 0 {
						bound = degradedDeathBound(cfg, vms)
					}
					subject := s.vms[int(seed)%vms]
					s.crash(subject)
					_, err = s.runUntil(bound, func() error { return s.removedEverywhere(subject) })
					c.Assert(err, qt.IsNil)
				}
			})
		}
	}
}

func TestLeaveReachesAllMembersInTime(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	for _, vms := range []int{3, 9, 27, 81} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			s := newSim(makeMachine, vms, 1)
			_, err := s.runUntil(healBound(cfg, vms), s.converged)
			c.Assert(err, qt.IsNil)
			s.leave(s.vms[0])
			bound := time.Duration(disseminationPeriods(vms)) * cfg.Period
			_, err = s.runUntil(bound, func() error { return s.removedEverywhere(s.vms[0]) })
			c.Assert(err, qt.IsNil)
		})
	}
}

func TestRevisionReachesAllMembersInTime(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	for _, vms := range []int{3, 9, 27, 81} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := qt.New(t)
			s := newSim(makeMachine, vms, 1)
			_, err := s.runUntil(healBound(cfg, vms), s.converged)
			c.Assert(err, qt.IsNil)
			s.feed(s.vms[0], RevisionKnown{Revision: 7})
			_, err = s.runUntil(time.Duration(disseminationPeriods(vms))*cfg.Period, func() error {
				for _, v := range s.vms[1:] {
					if v.revision != 7 {
						return fmt.Errorf("%s knows revision %d", v.name, v.revision)
					}
				}
				return nil
			})
			c.Assert(err, qt.IsNil)
		})
	}
}

// messagesPerPeriod returns the average number of messages that a VM sends in one period without faults.
func messagesPerPeriod(protocol makeProtocol, vms int) float64 {
	const periods = 60
	s := newSim(protocol, vms, 1)
	s.run(2 * time.Minute)
	for _, v := range s.vms {
		v.messages = 0
	}
	s.run(periods * time.Second)
	total := 0
	for _, v := range s.vms {
		total += v.messages
	}
	return float64(total) / float64(vms) / periods
}

func TestCostOfAVMDoesNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	naive := 0.0
	for _, vms := range []int{3, 9, 27, 81} {
		c.Check(messagesPerPeriod(makeMachine, vms) <= maxMessagesPerPeriod, qt.IsTrue, qt.Commentf("%d VMs", vms))
		if vms <= maxNaiveVMs {
			naive = messagesPerPeriod(makeNaiveHeartbeats, vms)
		}
	}
	c.Assert(naive > maxMessagesPerPeriod, qt.IsTrue, qt.Commentf("the test must reject all-to-all heartbeats"))
}

func TestClaimsReceivedDuringPauseAreVerified(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		plan schedule
	}{
		{"refuted claims of death are queued in the socket buffer", schedule{VMs: 9, Faults: []fault{
			{Kind: faultCrash, VM: 3, For: 10 * time.Millisecond},
			{Kind: faultPause, VM: 0, For: 5749 * time.Millisecond},
			{Kind: faultRestart, VM: 3, For: 40 * time.Second},
		}}},
		{"a suspicion expires during the pause while its refutation is queued in the socket buffer", schedule{VMs: 3, Seed: 3, Faults: []fault{
			{Kind: faultCrash, VM: 2, For: 3566 * time.Millisecond},
			{Kind: faultPause, VM: 1, For: 10 * time.Millisecond},
			{Kind: faultRestart, VM: 2, For: 40 * time.Second},
		}}},
		{"an earlier start with a later clock has left during the pause", schedule{VMs: 3, Faults: []fault{
			{Kind: faultLeave, VM: 1, For: 10 * time.Millisecond},
			{Kind: faultCrash, VM: 0, For: 10 * time.Millisecond},
			{Kind: faultClockBack, VM: 1, For: 20 * time.Millisecond},
			{Kind: faultPause, VM: 2, For: 12 * time.Millisecond},
			{Kind: faultRestart, VM: 0, For: 21_967 * time.Millisecond},
		}}},
		{"a partitioned VM is paused before it has disseminated the deaths of the others", schedule{VMs: 3, Faults: []fault{
			{Kind: faultNone, For: 10 * time.Millisecond},
			{Kind: faultPartition, Zone: 0, For: 10_221 * time.Millisecond},
			{Kind: faultHeal, For: 20 * time.Millisecond},
			{Kind: faultPause, VM: 0, For: 21_979 * time.Millisecond},
		}}},
		{"a partition heals during the pause", schedule{VMs: 9, Faults: []fault{
			{Kind: faultPartition, Zone: 1, For: 4040 * time.Millisecond},
			{Kind: faultPause, VM: 0, For: 10 * time.Millisecond},
			{Kind: faultHeal, For: 40 * time.Second},
		}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, replay(makeMachine, test.plan), qt.IsNil)
		})
	}
}
