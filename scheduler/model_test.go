package scheduler_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// oracle keeps by itself what a scheduler has granted.
type oracle struct {
	now      time.Time
	next     int
	waiting  map[scheduler.Ticket]scheduler.Request
	running  map[scheduler.Ticket]string
	yielding map[scheduler.Ticket]bool
	class    map[scheduler.Ticket]scheduler.Class
	targets  map[string]routing.Target
	// arrived is when the last online request came.
	arrived time.Time
}

// list returns the targets in the order of their IDs.
func (o *oracle) list() []routing.Target {
	return slices.SortedFunc(maps.Values(o.targets), func(a, b routing.Target) int { return strings.Compare(a.ID, b.ID) })
}

func (o *oracle) take(t *rapid.T, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Preempt:
			if o.class[a.Ticket] != scheduler.Item {
				t.Fatalf("online request %v is told to yield", a.Ticket)
			}
			if _, runs := o.running[a.Ticket]; !runs {
				t.Fatalf("%v is told to yield and does not run", a.Ticket)
			}
			o.yielding[a.Ticket] = true
		case scheduler.Grant:
			if target, again := o.running[a.Ticket]; again && target != a.Target {
				t.Fatalf("%v has two slots", a.Ticket)
			}
			if o.targets[a.Target].Draining {
				t.Fatalf("%v got a slot of the draining target %s", a.Ticket, a.Target)
			}
			o.running[a.Ticket] = a.Target
			delete(o.waiting, a.Ticket)
		case scheduler.Refuse:
			if o.class[a.Ticket] == scheduler.Item {
				t.Fatalf("item %v is refused", a.Ticket)
			}
			delete(o.waiting, a.Ticket)
		}
	}
	o.check(t)
}

// occupied counts the runs of a target that keep their slots.
func (o *oracle) occupied(target string) int {
	n := 0
	for ticket, on := range o.running {
		if on == target && !o.yielding[ticket] {
			n++
		}
	}
	return n
}

func (o *oracle) check(t *rapid.T) {
	free, slots := 0, 0
	for id, target := range o.targets {
		n := o.occupied(id)
		if n > target.Slots {
			t.Fatalf("target %s runs %d requests on %d slots", id, n, target.Slots)
		}
		if !target.Draining {
			free += target.Slots - n
			slots += target.Slots
		}
	}
	if free == 0 {
		return
	}
	// Items leave up to a quarter of the slots to online requests, while these come and as long as the items have time.
	headroom := 0
	if o.now.Sub(o.arrived) <= 500*time.Millisecond {
		headroom = slots / 4
	}
	for ticket, r := range o.waiting {
		slack := r.StartBy.Sub(o.now) - r.Expected
		urgent := slack >= 0 && slack < 1500*time.Millisecond
		if o.class[ticket] == scheduler.Online || urgent || free > headroom {
			t.Fatalf("%v waits while %d of %d slots are free, urgent %v", ticket, free, slots, urgent)
		}
	}
}

func TestSlotsAreNeitherOversoldNorLeftFreeWhileRequestsWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, slots := rapid.IntRange(1, 4).Draw(t, "targets"), rapid.IntRange(1, 4).Draw(t, "slots")
		s := newScheduler(count, slots)
		o := &oracle{
			now: epoch, waiting: map[scheduler.Ticket]scheduler.Request{}, running: map[scheduler.Ticket]string{},
			yielding: map[scheduler.Ticket]bool{}, class: map[scheduler.Ticket]scheduler.Class{}, targets: map[string]routing.Target{},
		}
		for _, target := range fleet(count, slots) {
			o.targets[target.ID] = target
		}
		end := func(t *rapid.T, yielded bool) {
			for ticket := range o.running {
				if o.yielding[ticket] != yielded {
					continue
				}
				outcome := scheduler.Finished
				if yielded {
					outcome = scheduler.Abandoned
				}
				delete(o.running, ticket)
				delete(o.yielding, ticket)
				o.take(t, s.Release(o.now, ticket, outcome, 0))
				return
			}
		}
		submit := func(t *rapid.T, r scheduler.Request) {
			o.class[r.Ticket] = r.Class
			o.waiting[r.Ticket] = r
			o.take(t, s.Submit(o.now, r))
		}
		t.Repeat(map[string]func(*rapid.T){
			"online": func(t *rapid.T) {
				o.next++
				o.arrived = o.now
				submit(t, online(o.next, o.now))
			},
			"item": func(t *rapid.T) {
				o.next++
				submit(t, item(o.next, o.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 20 * time.Second}).Draw(t, "due"))))
			},
			"finish": func(t *rapid.T) { end(t, false) },
			"yield":  func(t *rapid.T) { end(t, true) },
			"drain": func(t *rapid.T) {
				for _, target := range o.list() {
					target.Draining = target.Draining || rapid.IntRange(0, 9).Draw(t, "drains") == 0
					o.targets[target.ID] = target
				}
				o.take(t, s.SetTargets(o.now, o.list()))
			},
			"replace": func(t *rapid.T) {
				target := rapid.SampledFrom(o.list()).Draw(t, "target")
				target.StartedUnixMilli++
				target.Draining = false
				o.targets[target.ID] = target
				for ticket, on := range o.running {
					if on == target.ID {
						delete(o.running, ticket)
						delete(o.yielding, ticket)
					}
				}
				o.take(t, s.SetTargets(o.now, o.list()))
			},
			"count": func(t *rapid.T) {
				online := 0
				for ticket := range o.running {
					if o.class[ticket] == scheduler.Online {
						online++
					}
				}
				load := s.Loads(o.now)[0]
				if load.Online != online || load.Items != len(o.running)-online {
					t.Fatalf("%d online requests and %d items are counted, %d and %d run", load.Online, load.Items, online, len(o.running)-online)
				}
			},
			"time": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				o.take(t, s.Tick(o.now))
				for _, r := range o.waiting {
					o.take(t, s.Submit(o.now, r))
				}
			},
			"": func(t *rapid.T) {},
		})
	})
}
