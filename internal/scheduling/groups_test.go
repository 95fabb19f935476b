package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// zoneFleet is two availability zones with a group of 20 targets and two VMs each.
type zoneFleet struct {
	// coordinators are the VMs that coordinate the groups of zones a and b, and others the other VMs of the zones.
	coordinators, others map[string]*vm
}

func startZones(t testing.TB, hasRegistry func(vm string) bool) *zoneFleet {
	f := &zoneFleet{coordinators: map[string]*vm{}, others: map[string]*vm{}}
	byName := map[string]*vm{}
	for _, v := range startInZones(t, 2, 4, 40, 1, always, hasRegistry) {
		byName[v.name] = v
	}
	for zone, names := range map[string][]string{"a": {"vm-0", "vm-2"}, "b": {"vm-1", "vm-3"}} {
		key := service + "@" + zone
		if target.Rank(key, names[1]) > target.Rank(key, names[0]) {
			names[0], names[1] = names[1], names[0]
		}
		f.coordinators[zone], f.others[zone] = byName[names[0]], byName[names[1]]
	}
	return f
}

// zoneOf returns the zone of a slot's target.
func zoneOf(slot *scheduling.Slot) string {
	var i int
	_, _ = fmt.Sscanf(slot.Target, "t%d", &i)
	return string(rune('a' + i%2))
}

func TestGroups(t *testing.T) {
	t.Run("serve the requests of their availability zone", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		for zone, v := range f.others {
			slot := acquire(t, v, online())
			qt.Assert(t, zoneOf(slot), qt.Equals, zone)
			slot.Release(scheduler.Finished, 0)
			qt.Assert(t, v.lossy.count("slots.submit"), qt.Equals, 1)
		}
	})
	t.Run("pass requests on when they are full and another is not", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		time.Sleep(500 * time.Millisecond)
		count := map[string]int{}
		for range 40 {
			began := time.Now()
			count[zoneOf(acquire(t, f.others["a"], online()))]++
			qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
		}
		qt.Assert(t, count, qt.DeepEquals, map[string]int{"a": 20, "b": 20})
	})
	t.Run("take over waiting items when they have spare slots", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		var held []*scheduling.Slot
		for range 20 {
			acquire(t, f.others["a"], online())
			held = append(held, acquire(t, f.others["b"], online()))
		}
		granted := make(chan *scheduling.Slot, 1)
		go func() {
			if slot, err := f.others["a"].Acquire(t.Context(), item()); err == nil {
				granted <- slot
			}
		}()
		time.Sleep(300 * time.Millisecond)
		for _, slot := range held {
			slot.Release(scheduler.Finished, 0)
		}
		select {
		case <-granted:
		case <-time.After(2 * time.Second):
			t.Fatal("the item still waits although a slot has become free")
		}
	})
	t.Run("serve the requests of a group whose coordinator does not respond", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		qt.Assert(t, f.coordinators["a"].node.Close(), qt.IsNil)
		began := time.Now()
		slot := acquire(t, f.others["a"], online())
		qt.Assert(t, zoneOf(slot), qt.Equals, "b")
		qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
		// After longer silence the other VM of the zone coordinates it.
		for deadline := time.Now().Add(5 * time.Second); zoneOf(slot) != "a"; time.Sleep(50 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
			slot.Release(scheduler.Finished, 0)
			slot = acquire(t, f.others["a"], online())
		}
	})
	t.Run("are found by a VM that has not read the registry", func(t *testing.T) {
		f := startZones(t, func(vm string) bool { return vm != "vm-0" })
		for _, v := range []*vm{f.coordinators["a"], f.others["a"]} {
			acquire(t, v, online()).Release(scheduler.Finished, 0)
		}
	})
}

// groupSlots is the number of slots of a group of a zoneFleet.
const groupSlots = 20

// acquireAll acquires as many slots of zone a as there are, within the time in which lost messages are made up for.
func (f *zoneFleet) acquireAll(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		var slots []*scheduling.Slot
		inZone := 0
		for range groupSlots {
			slot := acquire(t, f.others["a"], online())
			slots = append(slots, slot)
			if zoneOf(slot) == "a" {
				inZone++
			}
		}
		for _, slot := range slots {
			slot.Release(scheduler.Finished, 0)
		}
		if inZone == groupSlots {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("only %d of %d slots can be used", inZone, groupSlots)
		}
	}
}

func TestGroupRecoversAllSlots(t *testing.T) {
	t.Run("when its coordinator was cut off one way", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		f.coordinators["a"].lossy.setMute(true)
		for range 10 {
			acquire(t, f.others["a"], online()).Release(scheduler.Finished, 0)
		}
		f.coordinators["a"].lossy.setMute(false)
		f.acquireAll(t)
	})
	t.Run("when its coordinator was frozen and grants late", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		f.coordinators["a"].lossy.frozen.Lock()
		var served []*scheduling.Slot
		for range 10 {
			served = append(served, acquire(t, f.others["a"], online()))
		}
		f.coordinators["a"].lossy.frozen.Unlock()
		time.Sleep(200 * time.Millisecond)
		for _, slot := range served {
			slot.Release(scheduler.Finished, 0)
		}
		f.acquireAll(t)
	})
	t.Run("when two VMs coordinated it for a while", func(t *testing.T) {
		f := startZones(t, func(string) bool { return true })
		second := f.others["a"]
		second.hidden.Store(&f.coordinators["a"].name)
		second.MembersChanged()
		var slots []*scheduling.Slot
		for range groupSlots / 2 {
			slots = append(slots, acquire(t, second, online()), acquire(t, f.coordinators["a"], online()))
		}
		second.hidden.Store(nil)
		second.MembersChanged()
		time.Sleep(time.Second)
		for _, load := range f.coordinators["a"].Loads() {
			if load.Service == service+"@a" {
				qt.Assert(t, load.Online, qt.Equals, groupSlots, qt.Commentf("runs that the coordinator knows"))
			}
		}
		for _, slot := range slots {
			slot.Release(scheduler.Finished, 0)
		}
		f.acquireAll(t)
	})
}
