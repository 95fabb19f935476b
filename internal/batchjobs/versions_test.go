package batchjobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/internal/scheduling/schedulingtest"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// Items that waited for a slot for some seconds lost what they had generated.
func TestItemThatWaitsForASlotKeepsItsEvents(t *testing.T) {
	c := newClusterOfVersions(t, 0, 20*time.Millisecond, "v1", "v1")
	c.targets[0].Inject(streamtarget.CutMidEvent)
	a := c.start("a", c.state)
	c.submitUntilAccepted(a, "j", 1)
	c.eventually("item runs", func() bool { return c.targets[0].Runs("j-0") > 0 })
	var held []*scheduling.Slot
	for range 7 {
		slot, err := c.slots.Acquire(t.Context(), scheduler.Request{Class: scheduler.Online, Service: service, StartBy: time.Now().Add(time.Minute), Expires: time.Now().Add(time.Minute)})
		qt.Assert(t, err, qt.IsNil)
		held = append(held, slot)
	}
	// Without a target that takes requests, the item waits.
	draining := schedulingtest.Registered(service, 4, c.targets...)
	ready := slices.Clone(draining)
	for i := range draining {
		draining[i].Slots = 1
	}
	c.slots.SetTargets(draining)
	time.Sleep(2500 * time.Millisecond)
	c.slots.SetTargets(ready)
	for _, slot := range held {
		slot.Release(scheduler.Finished, 0)
	}
	c.checkComplete("j", 1, c.waitForResults(a, "j", 1))
	positions := append(c.targets[0].LastEventIDs("j-0"), c.targets[1].LastEventIDs("j-0")...)
	qt.Assert(t, positions[1:], qt.DeepEquals, []int64{1})
}

// An item went on at another software version than the one that wrote its first events (found after incident second1).
func TestTextOfAnItemComesFromOneVersion(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		// after is called while the item runs at the first target, which then breaks off.
		after func(c *cluster)
		want  []int64
	}{
		"it goes on at another target of its version":               {[]string{"v1", "v2", "v1"}, func(*cluster) {}, nil},
		"it goes on at the same target if no other has its version": {[]string{"v1", "v2"}, func(*cluster) {}, nil},
		"it starts anew if its version is gone": {[]string{"v1", "v2"}, func(c *cluster) {
			c.slots.SetTargets(schedulingtest.Registered(service, 4, c.targets[1]))
		}, []int64{platform.NoEvent}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClusterOfVersions(t, 0, 20*time.Millisecond, test.versions...)
			c.targets[0].Inject(streamtarget.CutMidEvent)
			a := c.start("a", c.state)
			c.submitUntilAccepted(a, "j", 1)
			c.eventually("item runs", func() bool { return c.targets[0].Runs("j-0") > 0 })
			test.after(c)
			c.checkComplete("j", 1, c.waitForResults(a, "j", 1))
			qt.Assert(t, c.targets[1].LastEventIDs("j-0"), qt.DeepEquals, test.want)
		})
	}
}

// An item of a route with several services went on at another service than the one that wrote its first events.
func TestTextOfAnItemComesFromOneService(t *testing.T) {
	const other = "other"
	split := []routing.WeightedService{{Service: service, Weight: 1}, {Service: other, Weight: 1}}
	for name, test := range map[string]struct {
		// after are the services of the route once the items run at the first one, which then breaks off.
		after []routing.WeightedService
		want  []int64
	}{
		"it goes on at its service while the route uses that": {split, nil},
		"it goes on at its service if all weights are zero":   {[]routing.WeightedService{{Service: service}}, nil},
		"it starts anew if the route has moved":               {[]routing.WeightedService{{Service: other, Weight: 1}}, []int64{platform.NoEvent}},
	} {
		t.Run(name, func(t *testing.T) {
			const items = 8
			c := newClusterOfVersions(t, 0, 30*time.Millisecond, "v1", "v1")
			registered := slices.Concat(schedulingtest.Registered(service, 2*items, c.targets[0]), schedulingtest.Registered(other, 2*items, c.targets[1]))
			c.slots.SetTargets(registered)
			for range items {
				c.targets[0].Inject(streamtarget.CutMidEvent)
			}
			a := c.start("a", c.state)
			c.submitUntilAccepted(a, "j", items)
			runs := func() (first int) {
				for i := range items {
					first += c.targets[0].Runs(fmt.Sprintf("j-%d", i))
				}
				return first
			}
			c.eventually("items run", func() bool { return runs() == items })
			table := *c.config.Current()
			route := *table.Routes[0]
			route.Services, table.Routes = test.after, []*routing.Route{&route}
			c.config.table.Store(&table)
			c.checkComplete("j", items, c.waitForResults(a, "j", items))
			for i := range items {
				qt.Check(t, c.targets[1].LastEventIDs(fmt.Sprintf("j-%d", i)), qt.DeepEquals, test.want)
			}
		})
	}
}
