package target

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/member"
)

// Planned size of the fleet, which the design has to support.
const (
	plannedVMs     = 360
	plannedTargets = 830
	plannedModels  = 4
)

func plannedMembers() []member.Member {
	var members []member.Member
	for i := range plannedVMs {
		members = append(members, member.Member{
			VM:               fmt.Sprint("vm-", i),
			State:            member.Alive,
			AvailabilityZone: fmt.Sprint("az-", i%8),
			Region:           fmt.Sprint("r", i%2),
		})
	}
	return members
}

func plannedOwned(members []member.Member) []Owned {
	var targets []Owned
	for i := range plannedTargets {
		name := fmt.Sprint("t", i)
		owner, _ := Owner(name, fmt.Sprint("az-", i%8), members)
		// Models are spread over all zones.
		targets = append(targets, Owned{Name: name, Serves: fmt.Sprint("m", i/8%plannedModels), Owner: owner})
	}
	return targets
}

func TestOwnerIsInTargetsZoneAndChangesOnlyWithItsVM(t *testing.T) {
	members := plannedMembers()
	before := plannedOwned(members)
	gone := before[0].Owner.VM
	members[0], members[1] = members[1], members[0]
	for i := range members {
		if members[i].VM == gone {
			members[i].State = member.Dead
		}
	}
	for i, after := range plannedOwned(members) {
		qt.Assert(t, after.Owner.AvailabilityZone, qt.Equals, fmt.Sprint("az-", i%8))
		if before[i].Owner.VM != gone {
			qt.Assert(t, after.Owner.VM, qt.Equals, before[i].Owner.VM)
		}
	}
}

func TestSuspectMemberKeepsItsTargetsAndLeavingMemberDoesNot(t *testing.T) {
	members := []member.Member{
		{VM: "a", State: member.Suspect, AvailabilityZone: "az-a"},
		{VM: "b", State: member.Alive, AvailabilityZone: "az-b"},
	}
	owner, ok := Owner("t", "az-a", members)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, owner.VM, qt.Equals, "a")
	members[0].State = member.Leaving
	owner, ok = Owner("t", "az-a", members)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, owner.VM, qt.Equals, "b")
}

func TestVMExchangesCreditsWithFewOwnersAtPlannedSize(t *testing.T) {
	members := plannedMembers()
	targets := plannedOwned(members)
	owners, chosen, local := 0, 0, 0
	incoming := make(map[string]int)
	for _, self := range members {
		seen := make(map[string]bool)
		for _, o := range Subset(self, targets, func(string) int { return 5 }) {
			if !seen[o.Owner.VM] {
				incoming[o.Owner.VM]++
			}
			seen[o.Owner.VM] = true
			chosen++
			if o.Owner.AvailabilityZone == self.AvailabilityZone {
				local++
			}
		}
		owners += len(seen)
	}
	most := 0
	for _, n := range incoming {
		most = max(most, n)
	}
	t.Logf("per VM: %.1f owners, %.1f targets, %.0f%% in its zone; the busiest owner exchanges credits with %d VMs",
		float64(owners)/plannedVMs, float64(chosen)/plannedVMs, 100*float64(local)/float64(chosen), most)
	qt.Assert(t, owners <= 20*plannedVMs, qt.IsTrue)
	qt.Assert(t, local, qt.Equals, chosen)
}

func TestLeavingMembersOwnTargetsOnlyWhenNoOtherMemberIsLeft(t *testing.T) {
	leaving := member.Member{VM: "a", State: member.Leaving, AvailabilityZone: "az-0"}
	staying := member.Member{VM: "b", State: member.Alive, AvailabilityZone: "az-1"}
	dead := member.Member{VM: "c", State: member.Dead, AvailabilityZone: "az-0"}
	owner, ok := Owner("t", "az-0", []member.Member{leaving, staying, dead})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, owner.VM, qt.Equals, "b")
	owner, ok = Owner("t", "az-0", []member.Member{leaving, dead})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, owner.VM, qt.Equals, "a")
	_, ok = Owner("t", "az-0", []member.Member{dead})
	qt.Assert(t, ok, qt.IsFalse)
}
