package scheduler_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// oracle tracks independently what a scheduler has granted.
type oracle struct {
	now       time.Time
	next      int
	waiting   map[scheduler.Ticket]scheduler.Request
	running   map[scheduler.Ticket]string
	preempted map[scheduler.Ticket]bool
	class     map[scheduler.Ticket]scheduler.Class
	// version is the version that each request may use.
	version map[scheduler.Ticket]string
	targets map[string]routing.Target
	// lastOnline is when the last online request arrived.
	lastOnline time.Time
}

// list returns the targets sorted by ID.
func (o *oracle) list() []routing.Target {
	return slices.SortedFunc(maps.Values(o.targets), func(a, b routing.Target) int { return strings.Compare(a.ID, b.ID) })
}

func (o *oracle) apply(t *rapid.T, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Preempt:
			if o.class[a.Ticket] != scheduler.Item {
				t.Fatalf("online request %v was preempted", a.Ticket)
			}
			if _, running := o.running[a.Ticket]; !running {
				t.Fatalf("%v was preempted but is not running", a.Ticket)
			}
			o.preempted[a.Ticket] = true
		case scheduler.Grant:
			if target, alreadyRunning := o.running[a.Ticket]; alreadyRunning && target != a.Target {
				t.Fatalf("%v holds two slots", a.Ticket)
			}
			if version := o.version[a.Ticket]; version != "" && version != o.targets[a.Target].Version {
				t.Fatalf("%v of version %s was granted a slot of %s, which runs %s", a.Ticket, version, a.Target, o.targets[a.Target].Version)
			}
			if o.targets[a.Target].Draining {
				t.Fatalf("%v was granted a slot of the draining target %s", a.Ticket, a.Target)
			}
			o.running[a.Ticket] = a.Target
			delete(o.waiting, a.Ticket)
		case scheduler.Refuse:
			if o.class[a.Ticket] == scheduler.Item && o.serves(o.version[a.Ticket]) {
				t.Fatalf("item %v was refused", a.Ticket)
			}
			delete(o.waiting, a.Ticket)
		}
	}
	o.check(t)
}

// occupied returns the number of runs of a target that have not been preempted.
func (o *oracle) occupied(target string) int {
	n := 0
	for ticket, on := range o.running {
		if on == target && !o.preempted[ticket] {
			n++
		}
	}
	return n
}

// serves reports whether a target of a version takes new runs, or whether the version is empty.
func (o *oracle) serves(version string) bool {
	for _, target := range o.targets {
		if !target.Draining && target.Version == version {
			return true
		}
	}
	return version == ""
}

func (o *oracle) check(t *rapid.T) {
	free, slots := 0, 0
	freeOf := map[string]int{}
	for id, target := range o.targets {
		n := o.occupied(id)
		if n > target.Slots {
			t.Fatalf("target %s runs %d requests on %d slots", id, n, target.Slots)
		}
		if !target.Draining {
			free += target.Slots - n
			freeOf[target.Version] += target.Slots - n
			slots += target.Slots
		}
	}
	if free == 0 {
		return
	}
	// While online requests arrive, items leave up to a quarter of the slots free, unless the items are urgent.
	headroom := 0
	if o.now.Sub(o.lastOnline) <= 500*time.Millisecond {
		headroom = slots / 4
	}
	for ticket, r := range o.waiting {
		slack := r.StartBy.Sub(o.now) - r.Expected
		urgent := slack >= 0 && slack < 1500*time.Millisecond
		if !o.serves(r.Version) {
			t.Fatalf("%v waits for version %s, which no target has", ticket, r.Version)
		}
		usable := r.Version == "" || freeOf[r.Version] > 0
		if usable && (o.class[ticket] == scheduler.Online || urgent || free > headroom) {
			t.Fatalf("%v waits while %d of %d slots are free, urgent %v", ticket, free, slots, urgent)
		}
	}
}

func TestSlotsAreNeitherOversubscribedNorIdleWhileRequestsWait(t *testing.T) {
	rapid.Check(t, slotsAreUsed(scheduler.Config{}))
}

func TestSlotsPlacedByCostAreNeitherOversubscribedNorIdleWhileRequestsWait(t *testing.T) {
	rapid.Check(t, slotsAreUsed(byCost))
}

func slotsAreUsed(config scheduler.Config) func(*rapid.T) {
	return func(t *rapid.T) {
		count, slots := rapid.IntRange(1, 4).Draw(t, "targets"), rapid.IntRange(1, 4).Draw(t, "slots")
		s := scheduler.New(config, rand.New(rand.NewPCG(1, 2)))
		s.SetTargets(epoch, fleet(count, slots))
		o := &oracle{
			now: epoch, waiting: map[scheduler.Ticket]scheduler.Request{}, running: map[scheduler.Ticket]string{},
			preempted: map[scheduler.Ticket]bool{}, class: map[scheduler.Ticket]scheduler.Class{}, version: map[scheduler.Ticket]string{}, targets: map[string]routing.Target{},
		}
		for _, target := range fleet(count, slots) {
			target.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			o.targets[target.ID] = target
		}
		s.SetTargets(o.now, o.list())
		end := func(t *rapid.T, wasPreempted bool) {
			for ticket := range o.running {
				if o.preempted[ticket] != wasPreempted {
					continue
				}
				outcome := scheduler.Finished
				if wasPreempted {
					outcome = scheduler.Abandoned
				}
				delete(o.running, ticket)
				delete(o.preempted, ticket)
				o.apply(t, s.Release(o.now, ticket, outcome, 0))
				return
			}
		}
		submit := func(t *rapid.T, r scheduler.Request) {
			r.Version = rapid.SampledFrom([]string{"", "", "v1", "v2"}).Draw(t, "request version")
			o.version[r.Ticket] = r.Version
			o.class[r.Ticket] = r.Class
			o.waiting[r.Ticket] = r
			o.apply(t, s.Submit(o.now, r))
		}
		t.Repeat(map[string]func(*rapid.T){
			"online": func(t *rapid.T) {
				o.next++
				o.lastOnline = o.now
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
				o.apply(t, s.SetTargets(o.now, o.list()))
			},
			"replace": func(t *rapid.T) {
				target := rapid.SampledFrom(o.list()).Draw(t, "target")
				target.StartedUnixMilli++
				target.Draining = false
				o.targets[target.ID] = target
				for ticket, on := range o.running {
					if on == target.ID {
						delete(o.running, ticket)
						delete(o.preempted, ticket)
					}
				}
				o.apply(t, s.SetTargets(o.now, o.list()))
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
					t.Fatalf("Loads returned %d online requests and %d items, want %d and %d", load.Online, load.Items, online, len(o.running)-online)
				}
			},
			"time": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
				o.apply(t, s.Tick(o.now))
				for _, r := range o.waiting {
					o.apply(t, s.Submit(o.now, r))
				}
			},
			"": func(t *rapid.T) {},
		})
	}
}
