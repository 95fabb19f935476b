package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/group"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

const service = "llm"

// fleet returns targets with 7 slots, spread evenly over availability zones.
func fleet(count, zones int) []routing.Target {
	targets := make([]routing.Target, count)
	for i := range targets {
		targets[i] = routing.Target{ID: fmt.Sprintf("t%d", i), Service: service, AvailabilityZone: fmt.Sprintf("az-%d", i%zones), Slots: 7}
	}
	return targets
}

func keys(d *group.Division) []string {
	var list []string
	for _, g := range d.Groups(service) {
		list = append(list, g.Key)
	}
	return list
}

func TestDivide(t *testing.T) {
	for _, test := range []struct {
		name           string
		targets, zones int
		want           []string
	}{
		{"a small service has one group", 32, 3, []string{"llm"}},
		{"a larger one has a group for each availability zone", 122, 5, []string{"llm@az-0", "llm@az-1", "llm@az-2", "llm@az-3", "llm@az-4"}},
		{"a large availability zone has several", 80, 2, []string{"llm@az-0", "llm@az-0@1", "llm@az-1", "llm@az-1@1"}},
		{"availability zones with few targets share a group", 35, 7, []string{"llm@", "llm@@1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, keys(group.Divide(fleet(test.targets, test.zones))), qt.DeepEquals, test.want)
		})
	}
}

func TestDivisionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := fleet(rapid.IntRange(1, 300).Draw(t, "targets"), rapid.IntRange(1, 9).Draw(t, "zones"))
		d := group.Divide(targets)
		size := map[string]int{}
		for _, target := range targets {
			g := d.Group(d.Of(target.ID))
			if g == nil || g.Service != service {
				t.Fatalf("target %s has no group", target.ID)
			}
			if g.AvailabilityZone != "" && g.AvailabilityZone != target.AvailabilityZone {
				t.Fatalf("target %s of %s is in group %s", target.ID, target.AvailabilityZone, g.Key)
			}
			size[g.Key]++
		}
		for key, n := range size {
			if d.Group(key).Targets != n || d.Group(key).Slots != 7*n {
				t.Fatalf("group %s has %d targets, counted %d", key, d.Group(key).Targets, n)
			}
			if group.ServiceOf(key) != service {
				t.Fatalf("group %s is of service %s", key, group.ServiceOf(key))
			}
		}
		// The order of the registry must not matter, because VMs read it at different times.
		random := rand.New(rand.NewPCG(1, 2))
		random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		again := group.Divide(targets)
		for _, target := range targets {
			if again.Of(target.ID) != d.Of(target.ID) {
				t.Fatalf("target %s is in %s and in %s", target.ID, d.Of(target.ID), again.Of(target.ID))
			}
		}
	})
}

// coordinators returns how many of 500 groups each VM coordinates.
func coordinators(members []member.Member) map[string]int {
	count := map[string]int{}
	for i := range 500 {
		key := fmt.Sprintf("llm%d@az-0", i)
		best, candidate := "", group.Candidate{}
		for _, m := range members {
			if c := group.NewCandidate(key, m, true); best == "" || c.Better(candidate) {
				best, candidate = m.VM, c
			}
		}
		count[best]++
	}
	return count
}

func TestCoordinatorsAreVMsWithProcessorTime(t *testing.T) {
	var members []member.Member
	for i := range 55 {
		m := member.Member{VM: fmt.Sprintf("vm-%d", i), State: member.Alive, AvailabilityZone: "az-0", Millicores: 192}
		if i < 12 {
			m.Millicores = 800
		}
		members = append(members, m)
	}
	count, strong := coordinators(members), 0
	for _, m := range members[:12] {
		strong += count[m.VM]
	}
	qt.Assert(t, strong > 450, qt.IsTrue, qt.Commentf("%d of 500 groups", strong))
	t.Run("of the group's availability zone", func(t *testing.T) {
		other := member.Member{VM: "other", State: member.Alive, AvailabilityZone: "az-1", Millicores: 8000}
		qt.Assert(t, coordinators(append(members, other))["other"], qt.Equals, 0)
	})
	t.Run("that are alive", func(t *testing.T) {
		for i := range members {
			members[i].State = member.Suspect
		}
		other := member.Member{VM: "other", State: member.Alive, AvailabilityZone: "az-1", Millicores: 192}
		qt.Assert(t, coordinators(append(members, other))["other"], qt.Equals, 500)
	})
	t.Run("only the groups of a lost VM move", func(t *testing.T) {
		before := coordinators(members)
		after := coordinators(members[1:])
		for _, m := range members[1:] {
			qt.Assert(t, after[m.VM] >= before[m.VM], qt.IsTrue)
		}
	})
}

func TestChoose(t *testing.T) {
	d := group.Divide(fleet(122, 5))
	random := rand.New(rand.NewPCG(1, 2))
	none := func(string) bool { return false }
	qt.Assert(t, d.Choose(service, "az-3", none, random), qt.Equals, "llm@az-3")
	qt.Assert(t, d.Choose("unknown", "az-3", none, random), qt.Equals, "")
	avoided := func(key string) bool { return key == "llm@az-3" }
	chosen := map[string]int{}
	for range 400 {
		chosen[d.Choose(service, "az-3", avoided, random)]++
	}
	qt.Assert(t, chosen["llm@az-3"], qt.Equals, 0)
	for _, key := range []string{"llm@az-0", "llm@az-1", "llm@az-2", "llm@az-4"} {
		qt.Assert(t, chosen[key] > 50, qt.IsTrue, qt.Commentf("%v", chosen))
	}
	all := func(string) bool { return true }
	qt.Assert(t, d.Choose(service, "az-3", all, random), qt.Not(qt.Equals), "")
}

func TestRedirect(t *testing.T) {
	targets := fleet(122, 5)
	for i := range targets {
		if targets[i].AvailabilityZone == "az-1" {
			targets[i].Version = "v2"
		}
	}
	d := group.Divide(targets)
	now := time.Unix(1000, 0)
	full := group.Load{Slots: 170, Waiting: 10, At: now}
	for _, test := range []struct {
		name string
		own  group.Load
		// other is the load of the group az-1.
		other group.Load
		item  bool
		want  bool
		// version is that of the request. Only the group az-1 serves v2.
		version string
	}{
		{"a request stays where a slot is free", group.Load{Slots: 170, Free: 1, Open: 1, At: now}, group.Load{Slots: 170, Spare: 50, At: now}, false, false, ""},
		{"a request preempts no item if another group has spare slots", group.Load{Slots: 170, Open: 9, At: now}, group.Load{Slots: 170, Spare: 2, At: now}, false, true, ""},
		{"a request preempts an item rather than use up another group", group.Load{Slots: 170, Open: 9, At: now}, group.Load{Slots: 170, Free: 5, Open: 5, At: now}, false, false, ""},
		{"a request goes where slots are free", full, group.Load{Slots: 170, Open: 5, At: now}, false, true, ""},
		{"a request stays if the other load is old", full, group.Load{Slots: 170, Spare: 5, Open: 5, At: now.Add(-2 * time.Second)}, false, false, ""},
		{"a request stays if both wait equally long", full, full, false, false, ""},
		{"a request goes to a much shorter queue", full, group.Load{Slots: 170, Waiting: 2, At: now}, false, true, ""},
		{"a request leaves a group without usable targets", group.Load{At: now}, full, false, true, ""},
		{"an item does not use what is left for online requests", full, group.Load{Slots: 170, Free: 5, Open: 5, At: now}, true, false, ""},
		{"an item goes where slots are spare", full, group.Load{Slots: 170, Open: 5, Spare: 2, At: now}, true, true, ""},
		{"an item stays however short the other queue is", full, group.Load{Slots: 170, At: now}, true, false, ""},
		{"a request leaves a group that does not serve its version", group.Load{At: now}, full, false, true, "v2"},
		{"a request stays if no other group serves its version", full, group.Load{Slots: 170, Spare: 50, At: now}, false, false, "v3"},
		{"an item leaves a group that does not serve its version", group.Load{At: now}, full, true, true, "v2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			loads := map[string]group.Load{"llm@az-0": full, "llm@az-1": test.other, "llm@az-2": full}
			key, redirected := d.Redirect(d.Group("llm@az-0"), test.own, loads, test.version, test.item, now, rand.New(rand.NewPCG(1, 2)))
			qt.Assert(t, redirected, qt.Equals, test.want)
			if redirected {
				qt.Assert(t, key, qt.Equals, "llm@az-1")
			}
		})
	}
}

// A request of a version was refused as if the version were gone while the loads of the groups that serve it were not known.
func TestRequestOfAVersionGoesToAGroupOfUnknownLoad(t *testing.T) {
	targets := fleet(122, 5)
	for i := range targets {
		if targets[i].AvailabilityZone == "az-1" {
			targets[i].Version = "v2"
		}
	}
	d := group.Divide(targets)
	key, redirected := d.Redirect(d.Group("llm@az-0"), group.Load{}, nil, "v2", false, time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2)))
	qt.Assert(t, redirected, qt.IsTrue)
	qt.Assert(t, key, qt.Equals, "llm@az-1")
}

// With one coordinator for a service, its VM handles every request however many VMs there are. Here the load of the busiest
// VM stays about the same from the smallest fleet that is divided to the planned size.
func TestNoVMCoordinatesALoadThatGrowsWithTheFleet(t *testing.T) {
	for _, size := range []struct{ vms, targets, zones int }{{12, 20, 3}, {79, 71, 3}, {295, 122, 5}, {360, 830, 8}, {1000, 2300, 8}} {
		t.Run(fmt.Sprintf("%d VMs before %d targets", size.vms, size.targets), func(t *testing.T) {
			d := group.Divide(fleet(size.targets, size.zones))
			coordinated, told := map[string]int{}, map[string]int{}
			for _, g := range d.Groups(service) {
				listeners := d.Listeners(g)
				qt.Check(t, len(listeners) <= 8 && len(listeners) >= min(len(d.Groups(service))-1, 8), qt.IsTrue)
				for _, l := range listeners {
					told[l.Key]++
				}
				qt.Check(t, g.Targets <= 48, qt.IsTrue, qt.Commentf("%d targets in %s", g.Targets, g.Key))
				best, candidate := "", group.Candidate{}
				for i := range size.vms {
					m := member.Member{VM: fmt.Sprintf("vm-%d", i), State: member.Alive, AvailabilityZone: fmt.Sprintf("az-%d", i%size.zones), Millicores: 800}
					if c := group.NewCandidate(g.Key, m, true); best == "" || c.Better(candidate) {
						best, candidate = m.VM, c
					}
				}
				coordinated[best] += g.Targets
			}
			for _, g := range d.Groups(service) {
				qt.Check(t, len(d.Groups(service)) == 1 || told[g.Key] > 0, qt.IsTrue, qt.Commentf("%s knows no load", g.Key))
			}
			for vm, targets := range coordinated {
				qt.Check(t, targets <= 96, qt.IsTrue, qt.Commentf("%s coordinates %d targets", vm, targets))
			}
		})
	}
}
