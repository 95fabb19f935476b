package member

import (
	"os"
	"testing"
	"time"
)

// cost is what one VM spends on membership, on average, in one second.
type cost struct {
	messages float64
	// bytes are encoded messages and states, without what the transport adds.
	bytes float64
	// cpu is the time in Machine.Handle.
	cpu time.Duration
}

// costPhase is a stretch of a simulated history.
type costPhase struct {
	name  string
	setUp func(*sim)
	// settle is the time before the measurement, measure that of the measurement.
	settle, measure time.Duration
}

var costPhases = []costPhase{
	{name: "steady", setUp: func(*sim) {}, settle: 20 * time.Minute, measure: 5 * time.Minute},
	{name: "one VM crashes", setUp: func(s *sim) { s.crash(s.vms[0]) }, measure: time.Minute},
	{name: "it restarts", setUp: func(s *sim) { s.startVM(s.vms[0], 0) }, settle: 10 * time.Second, measure: 5 * time.Minute},
	{name: "zone cut off", setUp: func(s *sim) { s.setCut(simZones[0]) }, measure: 5 * time.Minute},
	{name: "zone healed", setUp: func(s *sim) { s.setCut("") }, measure: time.Minute},
}

// TestMembershipCost prints what one VM spends. It asserts nothing: TestCostOfAVMDoesNotGrowWithTheFleet does.
func TestMembershipCost(t *testing.T) {
	if os.Getenv("ROSEMARYDYKE_COST") == "" {
		t.Skip("set ROSEMARYDYKE_COST=1 to print the table")
	}
	t.Logf("%5s  %-16s %12s %10s %12s", "VMs", "phase", "messages/s", "bytes/s", "CPU us/s")
	for _, vms := range []int{3, 9, 27, 81, 243, 360} {
		s := newSim(makeMachine, vms, 1)
		s.countBytes = true
		for _, p := range costPhases {
			got := s.measure(p)
			t.Logf("%5d  %-16s %12.2f %10.0f %12d", vms, p.name, got.messages, got.bytes, got.cpu.Microseconds())
		}
	}
}

func (s *sim) measure(p costPhase) cost {
	p.setUp(s)
	s.run(p.settle)
	for _, v := range s.vms {
		v.messages, v.bytes, v.cpu = 0, 0, 0
	}
	s.run(p.measure)
	var sum cost
	for _, v := range s.vms {
		sum.messages += float64(v.messages)
		sum.bytes += float64(v.bytes)
		sum.cpu += v.cpu
	}
	share := float64(len(s.vms)) * p.measure.Seconds()
	return cost{sum.messages / share, sum.bytes / share, time.Duration(float64(sum.cpu) / share)}
}
