package member

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
)

// capacityDirectory is the environment variable that names where capacity measurements are written.
const capacityDirectory = "ROSEMARYDYKE_CAPACITY"

// cost is the average cost of membership for one VM in one second.
type cost struct {
	messages float64
	// bytes is the size of encoded messages and states, without the transport's overhead.
	bytes float64
	// cpu is the time spent in Machine.Handle.
	cpu time.Duration
}

// costPhase is one phase of a simulated run.
type costPhase struct {
	name  string
	setUp func(*sim)
	// settle is the time before the measurement, measure its duration.
	settle, measure time.Duration
}

var costPhases = []costPhase{
	{name: "steady", setUp: func(*sim) {}, settle: 20 * time.Minute, measure: 5 * time.Minute},
	{name: "one VM crashes", setUp: func(s *sim) { s.crash(s.vms[0]) }, measure: time.Minute},
	{name: "it restarts", setUp: func(s *sim) { s.startVM(s.vms[0], 0) }, settle: 10 * time.Second, measure: 5 * time.Minute},
	{name: "zone cut off", setUp: func(s *sim) { s.setPartition(simZones[0]) }, measure: 5 * time.Minute},
	{name: "zone healed", setUp: func(s *sim) { s.setPartition("") }, measure: time.Minute},
}

// TestWriteMembershipCost records the cost of membership for one VM. It asserts nothing: see TestCostOfAVMDoesNotGrowWithTheFleet.
func TestWriteMembershipCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to write the cost of membership at several sizes")
		return
	}
	var all []capacity.Series
	for _, p := range costPhases {
		for _, quantity := range []string{"messages", "bytes", "microseconds of processor time"} {
			all = append(all, capacity.Series{
				Name:     "membership, " + p.name + ": " + quantity + " a second and entry VM, simulated, without transport",
				SizeUnit: "entry VMs",
				Command:  capacityDirectory + "=DIR go test -count=1 -run TestWriteMembershipCost ./member",
			})
		}
	}
	for _, vms := range []int{3, 9, 27, 81, 243, 360} {
		s := newSim(makeMachine, vms, 1)
		s.countBytes = true
		for i, p := range costPhases {
			got := s.measure(p)
			for j, value := range []float64{got.messages, got.bytes, float64(got.cpu.Microseconds())} {
				all[3*i+j].Points = append(all[3*i+j].Points, capacity.Point{Size: float64(vms), Value: value})
			}
		}
	}
	qt.Assert(t, capacity.Write(directory, "membership.json", all), qt.IsNil)
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

// timedChange is a change whose dissemination time is measured.
type timedChange struct {
	name  string
	setUp func(*sim)
}

var timedChanges = []timedChange{
	{"start of all", func(*sim) {}},
	{"crash", func(s *sim) { s.crash(s.vms[0]) }},
	{"restart", func(s *sim) { s.startVM(s.vms[0], 0) }},
	{"leave", func(s *sim) { s.leave(s.vms[1]) }},
	{"resume after 30 s", func(s *sim) {
		s.pause(s.vms[2])
		s.run(30 * time.Second)
		s.resume(s.vms[2])
	}},
	{"heal after 5 min", func(s *sim) {
		s.setPartition(simZones[0])
		s.run(5 * time.Minute)
		s.setPartition("")
	}},
}

// TestMembershipTimes prints how long changes take until all views are correct. It asserts nothing:
// see the tests that use the bounds of bounds_test.go.
func TestMembershipTimes(t *testing.T) {
	if os.Getenv("ROSEMARYDYKE_COST") == "" {
		t.Log("set ROSEMARYDYKE_COST=1 to print the table")
		return
	}
	const seeds = 10
	t.Logf("%5s  %-18s %10s %10s", "VMs", "change", "mean s", "longest s")
	for _, vms := range []int{3, 9, 27, 81} {
		sum, longest := make([]time.Duration, len(timedChanges)), make([]time.Duration, len(timedChanges))
		for seed := range uint64(seeds) {
			s := newSim(makeMachine, vms, seed)
			for i, change := range timedChanges {
				change.setUp(s)
				took, err := s.runUntil(healBound(DefaultConfig(), vms), s.converged)
				if err != nil {
					t.Fatal(err)
				}
				sum[i] += took
				longest[i] = max(longest[i], took)
				s.run(time.Minute)
			}
		}
		for i, change := range timedChanges {
			t.Logf("%5d  %-18s %10.1f %10.1f", vms, change.name, (sum[i] / seeds).Seconds(), longest[i].Seconds())
		}
	}
}
