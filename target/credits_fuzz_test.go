package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

const fuzzSlots = 4

var fuzzConfig = LedgerConfig{TTL: 3 * time.Second, Drain: 15 * time.Second, BatchGrantDelay: time.Second, MaxHeadroom: 0.2}

// creditOwner and creditHolder are implemented by the real ledger and holder and by the naive ones.
type creditOwner interface {
	HandleRequest(now time.Time, request CreditRequest) (CreditResponse, []uint64)
	Expire(now time.Time, isDead func(string) bool)
	AvailableBatchSlots(now time.Time, limit int) int
	GrantBatch(id uint64)
	ReleaseBatch(id uint64) bool
}

type creditHolder interface {
	Acquire(now time.Time) bool
	Release(now time.Time)
	NextRequest(now time.Time, waiting int) CreditRequest
	HandleResponse(sequence uint64, response CreditResponse) bool
}

// creditSimulation simulates one target, its owner, holders of credits, and a network that loses, delays and reorders messages.
type creditSimulation struct {
	now       time.Time
	owner     creditOwner
	newHolder func() creditHolder
	holders   []*simulatedHolder
	requests  []CreditRequest
	responses []pendingResponse
	batch     map[uint64]bool
	lastID    uint64
}

type simulatedHolder struct {
	creditHolder
	name    string
	session uint64
	dead    bool
	// running holds the start time of each running request.
	running []time.Time
}

type pendingResponse struct {
	holder   int
	session  uint64
	sequence uint64
	response CreditResponse
}

func newCreditSimulation(owner creditOwner, newHolder func() creditHolder) *creditSimulation {
	f := &creditSimulation{now: time.Unix(1000, 0), owner: owner, newHolder: newHolder, batch: make(map[uint64]bool)}
	for i := range 3 {
		f.holders = append(f.holders, &simulatedHolder{creditHolder: newHolder(), name: fmt.Sprint(i), session: uint64(i + 1)})
	}
	return f
}

// total returns the number of requests that run on the target.
func (f *creditSimulation) total() int {
	total := len(f.batch)
	for _, h := range f.holders {
		total += len(h.running)
	}
	return total
}

func (f *creditSimulation) isDead(name string) bool {
	for _, h := range f.holders {
		if h.name == name {
			return h.dead
		}
	}
	return true
}

// advance moves the clock forward. No request runs for longer than the ledger's Drain.
func (f *creditSimulation) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, h := range f.holders {
		for len(h.running) > 0 && f.now.Sub(h.running[0]) >= fuzzConfig.Drain {
			f.finish(h)
		}
	}
}

func (f *creditSimulation) start(h *simulatedHolder) bool {
	if !h.Acquire(f.now) {
		return false
	}
	h.running = append(h.running, f.now)
	return true
}

func (f *creditSimulation) finish(h *simulatedHolder) {
	h.Release(f.now)
	h.running = h.running[1:]
}

func (f *creditSimulation) sendRequest(i, waiting int) {
	h := f.holders[i]
	request := h.NextRequest(f.now, waiting)
	request.Holder, request.Session = h.name, h.session
	f.requests = append(f.requests, request)
}

func (f *creditSimulation) deliverRequest(i int) {
	request := f.requests[i]
	f.requests = append(f.requests[:i:i], f.requests[i+1:]...)
	response, _ := f.owner.HandleRequest(f.now, request)
	holder := int(request.Holder[0] - '0')
	f.responses = append(f.responses, pendingResponse{holder, request.Session, request.Sequence, response})
}

func (f *creditSimulation) deliverResponse(i int) {
	a := f.responses[i]
	f.responses = append(f.responses[:i:i], f.responses[i+1:]...)
	if h := f.holders[a.holder]; h.session == a.session && !h.dead {
		h.HandleResponse(a.sequence, a.response)
	}
}

// kill ends a holder's process; its connections end with it.
func (f *creditSimulation) kill(i int) {
	h := f.holders[i]
	h.dead = true
	h.running = nil
}

func (f *creditSimulation) restart(i int) {
	f.lastID++
	f.holders[i] = &simulatedHolder{creditHolder: f.newHolder(), name: f.holders[i].name, session: 100 + f.lastID}
	// The transport cancels the calls of an old process when the new one starts.
	f.requests = withoutHolder(f.requests, f.holders[i].name)
}

func withoutHolder(requests []CreditRequest, name string) []CreditRequest {
	var kept []CreditRequest
	for _, request := range requests {
		if request.Holder != name {
			kept = append(kept, request)
		}
	}
	return kept
}

// actions returns the steps of the state machine. Their names are drawn from in sorted order.
func (f *creditSimulation) actions() map[string]func(*rapid.T) {
	drawHolder := func(t *rapid.T) int {
		i := rapid.IntRange(0, len(f.holders)-1).Draw(t, "holder")
		if f.holders[i].dead {
			t.Skip("the holder is dead")
		}
		return i
	}
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			f.start(f.holders[drawHolder(t)])
		},
		"fill": func(t *rapid.T) {
			i := drawHolder(t)
			f.sendRequest(i, fuzzSlots)
			f.deliverRequest(len(f.requests) - 1)
			f.deliverResponse(len(f.responses) - 1)
			for f.start(f.holders[i]) {
			}
		},
		"finish": func(t *rapid.T) {
			h := f.holders[drawHolder(t)]
			if len(h.running) == 0 {
				t.Skip("no request is running")
			}
			f.finish(h)
		},
		"credit request": func(t *rapid.T) {
			f.sendRequest(drawHolder(t), rapid.IntRange(0, 4).Draw(t, "waiting"))
		},
		"exchange": func(t *rapid.T) {
			f.sendRequest(drawHolder(t), rapid.IntRange(0, 4).Draw(t, "waiting"))
			f.deliverRequest(len(f.requests) - 1)
			f.deliverResponse(len(f.responses) - 1)
		},
		"deliver request": func(t *rapid.T) {
			f.deliverRequest(drawIndex(t, len(f.requests)))
		},
		"deliver reply": func(t *rapid.T) {
			f.deliverResponse(drawIndex(t, len(f.responses)))
		},
		"lose reply": func(t *rapid.T) {
			i := drawIndex(t, len(f.responses))
			f.responses = append(f.responses[:i:i], f.responses[i+1:]...)
		},
		"kill or restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(f.holders)-1).Draw(t, "holder")
			switch {
			case f.holders[i].dead:
				f.restart(i)
			case rapid.IntRange(0, 3).Draw(t, "die") == 0:
				f.kill(i)
			}
		},
		"expire": func(*rapid.T) { f.owner.Expire(f.now, f.isDead) },
		"grant batch": func(t *rapid.T) {
			if f.owner.AvailableBatchSlots(f.now, fuzzSlots) == 0 {
				t.Skip("no batch slot is available")
			}
			f.lastID++
			f.owner.GrantBatch(f.lastID)
			f.batch[f.lastID] = true
		},
		"release batch": func(t *rapid.T) {
			if len(f.batch) == 0 {
				t.Skip("no batch slot is in use")
			}
			id := f.lastID
			for !f.batch[id] {
				id--
			}
			delete(f.batch, id)
			f.owner.ReleaseBatch(id)
		},
	}
}

func drawIndex(t *rapid.T, n int) int {
	if n == 0 {
		t.Skip("no message is in flight")
	}
	return rapid.IntRange(0, n-1).Draw(t, "message")
}

func runCreditSimulation(t *rapid.T, f *creditSimulation) {
	actions := f.actions()
	actions[""] = func(t *rapid.T) {
		if total := f.total(); total > fuzzSlots {
			t.Fatalf("%d requests run on a target with %d slots", total, fuzzSlots)
		}
	}
	t.Repeat(actions)
}

func newRealHolder() creditHolder { return NewHolder() }

func TestRunningRequestsNeverExceedSlotsUnderOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))
		runCreditSimulation(t, newCreditSimulation(owner, newRealHolder))
	})
}

// naiveLedger handles requests in whatever order they arrive.
type naiveLedger struct{ *Ledger }

func (n *naiveLedger) HandleRequest(now time.Time, request CreditRequest) (CreditResponse, []uint64) {
	request.Sequence = 1
	return n.Ledger.HandleRequest(now, request)
}

// overusingHolder continues to use the credits that its request returns.
type overusingHolder struct{ *Holder }

func (h *overusingHolder) NextRequest(now time.Time, waiting int) CreditRequest {
	limit := h.limit
	request := h.Holder.NextRequest(now, waiting)
	h.limit = limit
	return request
}

func TestNaiveCreditExchangeExceedsSlots(t *testing.T) {
	t.Run("reordered requests are applied", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			owner := &naiveLedger{NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))}
			runCreditSimulation(t, newCreditSimulation(owner, newRealHolder))
		})
	})
	t.Run("returned credits are still used", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			owner := NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))
			runCreditSimulation(t, newCreditSimulation(owner, func() creditHolder { return &overusingHolder{NewHolder()} }))
		})
	})
	t.Run("requests of an expired holder are not drained", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			config := fuzzConfig
			config.Drain = time.Nanosecond
			owner := NewLedger(config, fuzzSlots, time.Unix(1000, 0))
			runCreditSimulation(t, newCreditSimulation(owner, newRealHolder))
		})
	})
}

func TestCreditsOfDeadHolderReturnAfterExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))
		f := newCreditSimulation(owner, newRealHolder)
		t.Repeat(f.actions())
		for i := range f.holders {
			f.kill(i)
		}
		f.advance(fuzzConfig.TTL)
		owner.Expire(f.now, f.isDead)
		if usage := owner.Usage(); usage.Credits != 0 {
			t.Fatalf("%d credits are still counted", usage.Credits)
		}
	})
}

func TestTwoOwnersOvercommitByAtMostTheSecondOwnersSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCreditSimulation(NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0)), newRealHolder)
		t.Repeat(f.actions())
		first := f.total()
		// Ownership moves: holders switch to the new owner at different times, and the old owner still responds.
		f.owner = NewLedger(fuzzConfig, fuzzSlots, f.now)
		for _, h := range f.holders {
			h.creditHolder.(*Holder).Reset()
		}
		f.requests, f.responses = nil, nil
		actions := f.actions()
		actions[""] = func(t *rapid.T) {
			if total := f.total(); total > first+fuzzSlots {
				t.Fatalf("%d requests run, more than the %d before plus the new owner's %d slots", total, first, fuzzSlots)
			}
		}
		t.Repeat(actions)
	})
}
