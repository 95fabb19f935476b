package order

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

// fuzzChecks is the number of generated runs of each property.
const fuzzChecks = 300

func TestMain(m *testing.M) { rapidtest.Main(m, fuzzChecks) }

var testConfig = Config{
	Term: 30 * time.Second, MaxOrderDuration: 2 * time.Minute, ReadInterval: 30 * time.Second, RetryInterval: 2 * time.Second,
}

// engine is a target that applies orders.
type engine struct {
	state  State
	fence  uint64
	checks bool
	// overtaken counts orders that took effect after one with a higher number.
	overtaken int
	newest    uint64
}

func (e *engine) apply(o Order) (State, bool) {
	if e.checks && o.Fence < e.fence {
		return State{}, false
	}
	e.fence = max(e.fence, o.Fence)
	if o.Fence < e.newest {
		e.overtaken++
	}
	e.newest = max(e.newest, o.Fence)
	switch o.Kind {
	case LoadModel:
		e.state = State{Model: o.Name}
	case LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Name)
	case LoadVersion:
		e.state.Version = o.Name
	case SetRole:
		e.state.Role = o.Name
	}
	return e.state, true
}

// row is the table's row of the target's fencing number.
type row struct {
	fence  uint64
	holder string
}

// flight is an order on its way to the engine.
type flight struct {
	order  Order
	sent   time.Time
	sender *owner
}

// owner is a VM that takes itself for the target's owner.
type owner struct {
	name       string
	reconciler interface {
		Next(time.Time) Action
		Claimed(uint64, time.Time, time.Time, bool)
		StateRead(State, time.Time)
		OrderApplied(State, time.Time)
		OrderFenced(time.Time)
		Failed(time.Time)
		SetDesired(State)
	}
	active bool
	// busy is set while an order is on its way.
	busy bool
}

// world is one target, its row, and its owners.
type world struct {
	now     time.Time
	engine  *engine
	row     row
	owners  []*owner
	flights []flight
	wanted  State
}

// act lets an owner carry out one action.
func (w *world) act(o *owner) {
	if o.busy {
		return
	}
	action := o.reconciler.Next(w.now)
	switch action.Step {
	case Read:
		o.reconciler.StateRead(w.engine.state, w.now)
	case Claim:
		other := w.row.holder != "" && w.row.holder != o.name
		w.row = row{fence: w.row.fence + 1, holder: o.name}
		o.reconciler.Claimed(w.row.fence, w.now, w.now, other)
	case Send:
		o.busy = true
		w.flights = append(w.flights, flight{order: action.Order, sent: w.now, sender: o})
	}
}

// land lets a flight take effect and tells its sender. A lost reply is told as a failure.
func (w *world) land(i int, replyLost bool) {
	f := w.flights[i]
	w.flights = append(w.flights[:i], w.flights[i+1:]...)
	f.sender.busy = false
	state, ok := w.engine.apply(f.order)
	switch {
	case replyLost:
		f.sender.reconciler.Failed(w.now)
	case !ok:
		f.sender.reconciler.OrderFenced(w.now)
	default:
		f.sender.reconciler.OrderApplied(state, f.sent)
	}
}

// pass lets time go on. Orders take no longer than LongestOrder.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for i := 0; i < len(w.flights); i++ {
		if w.now.Sub(w.flights[i].sent) >= testConfig.MaxOrderDuration {
			w.land(i, false)
			i--
		}
	}
}

func newWorld(checks bool, reconciler func() *owner) *world {
	w := &world{now: time.Unix(0, 0), engine: &engine{checks: checks}, wanted: State{Model: "a"}}
	for _, name := range []string{"vm-1", "vm-2"} {
		o := reconciler()
		o.name = name
		w.owners = append(w.owners, o)
	}
	w.owners[0].active = true
	return w
}

// play runs a generated schedule of two owners and returns the orders that were overtaken, and whether
// the target ends in the wanted state once one owner is left alone.
func play(t *rapid.T, w *world) (overtaken int, settled bool) {
	t.Repeat(map[string]func(*rapid.T){
		"an owner acts": func(t *rapid.T) {
			o := w.owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			if o.active {
				w.act(o)
			}
		},
		"time passes": func(t *rapid.T) {
			w.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		},
		"an order takes effect": func(t *rapid.T) {
			if len(w.flights) > 0 {
				w.land(rapid.IntRange(0, len(w.flights)-1).Draw(t, "order"), rapid.Bool().Draw(t, "reply lost"))
			}
		},
		"ownership moves or is taken by both": func(t *rapid.T) {
			w.owners[0].active = rapid.Bool().Draw(t, "first")
			w.owners[1].active = !w.owners[0].active || rapid.IntRange(0, 4).Draw(t, "both") == 0
		},
		"the wanted state changes": func(t *rapid.T) {
			w.wanted = State{Model: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), Adapters: []string{"x"}}
			for _, o := range w.owners {
				o.reconciler.SetDesired(w.wanted)
			}
		},
	})
	w.settle()
	_, missing := w.engine.state.NextOrder(w.wanted)
	return w.engine.overtaken, !missing
}

// settle leaves the first owner alone for long enough.
func (w *world) settle() {
	w.owners[0].active = true
	for range 1200 {
		w.act(w.owners[0])
		for len(w.flights) > 0 {
			w.land(0, false)
		}
		w.pass(time.Second)
	}
}

func ours(checks bool) func() *owner {
	return func() *owner {
		config := testConfig
		config.ChecksFencing = checks
		return &owner{reconciler: NewReconciler(config, State{Model: "a"})}
	}
}

// naiveOwner is a naive owner of a target that ignores fencing: it orders as soon as it has claimed.
func naiveOwner() *owner {
	config := testConfig
	config.ChecksFencing = true
	return &owner{reconciler: NewReconciler(config, State{Model: "a"})}
}

func TestNoOrderOvertakesANewerHoldersOrder(t *testing.T) {
	for name, checks := range map[string]bool{"a target that checks fencing": true, "a target that ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				overtaken, settled := play(t, newWorld(checks, ours(checks)))
				if overtaken > 0 {
					t.Fatalf("%d orders took effect after an order with a higher number", overtaken)
				}
				if !settled {
					t.Fatal("the target does not end in the wanted state")
				}
			})
		})
	}
	t.Run("the oracle rejects an owner that does not wait for the former holder", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			if overtaken, _ := play(t, newWorld(false, naiveOwner)); overtaken > 0 {
				t.Fatalf("%d orders took effect after an order with a higher number", overtaken)
			}
		})
	})
}

func TestTheOrderOfOrders(t *testing.T) {
	wanted := State{Model: "m", Version: "2", Role: "decode", Adapters: []string{"x", "y"}}
	state := State{}
	var kinds []Kind
	for {
		next, missing := state.NextOrder(wanted)
		if !missing {
			break
		}
		kinds = append(kinds, next.Kind)
		e := engine{state: state}
		state, _ = e.apply(next)
	}
	qt.Assert(t, kinds, qt.DeepEquals, []Kind{LoadModel, LoadVersion, SetRole, LoadAdapter, LoadAdapter})
}

func TestATargetIsNotReadyBeforeItWasRead(t *testing.T) {
	r := NewReconciler(testConfig, State{})
	qt.Assert(t, r.IsReady(), qt.IsFalse)
	r.StateRead(State{}, time.Unix(0, 0))
	qt.Assert(t, r.IsReady(), qt.IsTrue)
}
