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
	// reordered counts orders that took effect after one with a higher fencing token.
	reordered     int
	newestApplied uint64
}

func (e *engine) apply(o Order) (State, bool) {
	if e.checks && o.Fence < e.fence {
		return State{}, false
	}
	e.fence = max(e.fence, o.Fence)
	if o.Fence < e.newestApplied {
		e.reordered++
	}
	e.newestApplied = max(e.newestApplied, o.Fence)
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

// row is the table row that holds the target's fencing token.
type row struct {
	fence  uint64
	holder string
}

// inFlightOrder is an order that has been sent and has not taken effect.
type inFlightOrder struct {
	order  Order
	sent   time.Time
	sender *owner
}

// owner is a VM that considers itself the target's owner.
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
	// busy is set while an order is in flight.
	busy bool
}

// simulation simulates one target, its row, and its owners.
type simulation struct {
	now      time.Time
	engine   *engine
	row      row
	owners   []*owner
	inFlight []inFlightOrder
	desired  State
}

// act makes an owner carry out one action.
func (s *simulation) act(o *owner) {
	if o.busy {
		return
	}
	action := o.reconciler.Next(s.now)
	switch action.Step {
	case Read:
		o.reconciler.StateRead(s.engine.state, s.now)
	case Claim:
		other := s.row.holder != "" && s.row.holder != o.name
		s.row = row{fence: s.row.fence + 1, holder: o.name}
		o.reconciler.Claimed(s.row.fence, s.now, s.now, other)
	case Send:
		o.busy = true
		s.inFlight = append(s.inFlight, inFlightOrder{order: action.Order, sent: s.now, sender: o})
	}
}

// deliver applies an order and notifies its sender. A lost response is reported as a failure.
func (s *simulation) deliver(i int, responseLost bool) {
	delivered := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	delivered.sender.busy = false
	state, ok := s.engine.apply(delivered.order)
	switch {
	case responseLost:
		delivered.sender.reconciler.Failed(s.now)
	case !ok:
		delivered.sender.reconciler.OrderFenced(s.now)
	default:
		delivered.sender.reconciler.OrderApplied(state, delivered.sent)
	}
}

// advance moves the clock forward. No order takes longer than MaxOrderDuration.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for i := 0; i < len(s.inFlight); i++ {
		if s.now.Sub(s.inFlight[i].sent) >= testConfig.MaxOrderDuration {
			s.deliver(i, false)
			i--
		}
	}
}

func newSimulation(checks bool, newOwner func() *owner) *simulation {
	s := &simulation{now: time.Unix(0, 0), engine: &engine{checks: checks}, desired: State{Model: "a"}}
	for _, name := range []string{"vm-1", "vm-2"} {
		o := newOwner()
		o.name = name
		s.owners = append(s.owners, o)
	}
	s.owners[0].active = true
	return s
}

// runSchedule runs a generated schedule of two owners. It returns the number of reordered orders and whether
// the target reaches the desired state once only one owner is active.
func runSchedule(t *rapid.T, s *simulation) (reordered int, converged bool) {
	t.Repeat(map[string]func(*rapid.T){
		"an owner acts": func(t *rapid.T) {
			o := s.owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			if o.active {
				s.act(o)
			}
		},
		"time passes": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		},
		"an order takes effect": func(t *rapid.T) {
			if len(s.inFlight) > 0 {
				s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "order"), rapid.Bool().Draw(t, "response lost"))
			}
		},
		"ownership moves or is taken by both": func(t *rapid.T) {
			s.owners[0].active = rapid.Bool().Draw(t, "first")
			s.owners[1].active = !s.owners[0].active || rapid.IntRange(0, 4).Draw(t, "both") == 0
		},
		"the desired state changes": func(t *rapid.T) {
			s.desired = State{Model: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), Adapters: []string{"x"}}
			for _, o := range s.owners {
				o.reconciler.SetDesired(s.desired)
			}
		},
	})
	s.converge()
	_, missing := s.engine.state.NextOrder(s.desired)
	return s.engine.reordered, !missing
}

// converge leaves only the first owner active for long enough to reach the desired state.
func (s *simulation) converge() {
	s.owners[0].active = true
	for range 1200 {
		s.act(s.owners[0])
		for len(s.inFlight) > 0 {
			s.deliver(0, false)
		}
		s.advance(time.Second)
	}
}

func newOwner(checks bool) func() *owner {
	return func() *owner {
		config := testConfig
		config.ChecksFencing = checks
		return &owner{reconciler: NewReconciler(config, State{Model: "a"})}
	}
}

// naiveOwner does not wait for the former holder of a target that ignores fencing: it sends orders after its claim.
func naiveOwner() *owner {
	config := testConfig
	config.ChecksFencing = true
	return &owner{reconciler: NewReconciler(config, State{Model: "a"})}
}

func TestOrdersAreNotReorderedAcrossHolders(t *testing.T) {
	for name, checks := range map[string]bool{"a target that checks fencing": true, "a target that ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				reordered, converged := runSchedule(t, newSimulation(checks, newOwner(checks)))
				if reordered > 0 {
					t.Fatalf("%d orders took effect after an order with a higher fencing token", reordered)
				}
				if !converged {
					t.Fatal("the target did not reach the desired state")
				}
			})
		})
	}
	t.Run("the oracle rejects an owner that does not wait for the former holder", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			if reordered, _ := runSchedule(t, newSimulation(false, naiveOwner)); reordered > 0 {
				t.Fatalf("%d orders took effect after an order with a higher fencing token", reordered)
			}
		})
	})
}

func TestNextOrderSequence(t *testing.T) {
	desired := State{Model: "m", Version: "2", Role: "decode", Adapters: []string{"x", "y"}}
	state := State{}
	var kinds []Kind
	for {
		next, missing := state.NextOrder(desired)
		if !missing {
			break
		}
		kinds = append(kinds, next.Kind)
		e := engine{state: state}
		state, _ = e.apply(next)
	}
	qt.Assert(t, kinds, qt.DeepEquals, []Kind{LoadModel, LoadVersion, SetRole, LoadAdapter, LoadAdapter})
}

func TestTargetIsNotReadyBeforeItIsRead(t *testing.T) {
	r := NewReconciler(testConfig, State{})
	qt.Assert(t, r.IsReady(), qt.IsFalse)
	r.StateRead(State{}, time.Unix(0, 0))
	qt.Assert(t, r.IsReady(), qt.IsTrue)
}
