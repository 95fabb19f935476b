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
	s := &creditSimulation{now: time.Unix(1000, 0), owner: owner, newHolder: newHolder, batch: make(map[uint64]bool)}
	for i := range 3 {
		s.holders = append(s.holders, &simulatedHolder{creditHolder: newHolder(), name: fmt.Sprint(i), session: uint64(i + 1)})
	}
	return s
}

// total returns the number of requests that run on the target.
func (s *creditSimulation) total() int {
	total := len(s.batch)
	for _, h := range s.holders {
		total += len(h.running)
	}
	return total
}

func (s *creditSimulation) isDead(name string) bool {
	for _, h := range s.holders {
		if h.name == name {
			return h.dead
		}
	}
	return true
}

// advance moves the clock forward. No request runs for longer than the ledger's Drain.
func (s *creditSimulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, h := range s.holders {
		for len(h.running) > 0 && s.now.Sub(h.running[0]) >= fuzzConfig.Drain {
			s.finish(h)
		}
	}
}

func (s *creditSimulation) start(h *simulatedHolder) bool {
	if !h.Acquire(s.now) {
		return false
	}
	h.running = append(h.running, s.now)
	return true
}

func (s *creditSimulation) finish(h *simulatedHolder) {
	h.Release(s.now)
	h.running = h.running[1:]
}

func (s *creditSimulation) sendRequest(i, waiting int) {
	h := s.holders[i]
	request := h.NextRequest(s.now, waiting)
	request.Holder, request.Session = h.name, h.session
	s.requests = append(s.requests, request)
}

func (s *creditSimulation) deliverRequest(i int) {
	request := s.requests[i]
	s.requests = append(s.requests[:i:i], s.requests[i+1:]...)
	response, _ := s.owner.HandleRequest(s.now, request)
	holder := int(request.Holder[0] - '0')
	s.responses = append(s.responses, pendingResponse{holder, request.Session, request.Sequence, response})
}

func (s *creditSimulation) deliverResponse(i int) {
	pending := s.responses[i]
	s.responses = append(s.responses[:i:i], s.responses[i+1:]...)
	if h := s.holders[pending.holder]; h.session == pending.session && !h.dead {
		h.HandleResponse(pending.sequence, pending.response)
	}
}

// kill ends a holder's process; its connections end with it.
func (s *creditSimulation) kill(i int) {
	h := s.holders[i]
	h.dead = true
	h.running = nil
}

func (s *creditSimulation) restart(i int) {
	s.lastID++
	s.holders[i] = &simulatedHolder{creditHolder: s.newHolder(), name: s.holders[i].name, session: 100 + s.lastID}
	// The transport cancels the calls of an old process when the new one starts.
	s.requests = withoutHolder(s.requests, s.holders[i].name)
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
func (s *creditSimulation) actions() map[string]func(*rapid.T) {
	drawHolder := func(t *rapid.T) int {
		i := rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")
		if s.holders[i].dead {
			t.Skip("the holder is dead")
		}
		return i
	}
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			s.start(s.holders[drawHolder(t)])
		},
		"fill": func(t *rapid.T) {
			i := drawHolder(t)
			s.sendRequest(i, fuzzSlots)
			s.deliverRequest(len(s.requests) - 1)
			s.deliverResponse(len(s.responses) - 1)
			for s.start(s.holders[i]) {
			}
		},
		"finish": func(t *rapid.T) {
			h := s.holders[drawHolder(t)]
			if len(h.running) == 0 {
				t.Skip("no request is running")
			}
			s.finish(h)
		},
		"credit request": func(t *rapid.T) {
			s.sendRequest(drawHolder(t), rapid.IntRange(0, 4).Draw(t, "waiting"))
		},
		"exchange": func(t *rapid.T) {
			s.sendRequest(drawHolder(t), rapid.IntRange(0, 4).Draw(t, "waiting"))
			s.deliverRequest(len(s.requests) - 1)
			s.deliverResponse(len(s.responses) - 1)
		},
		"deliver request": func(t *rapid.T) {
			s.deliverRequest(drawIndex(t, len(s.requests)))
		},
		"deliver reply": func(t *rapid.T) {
			s.deliverResponse(drawIndex(t, len(s.responses)))
		},
		"lose reply": func(t *rapid.T) {
			i := drawIndex(t, len(s.responses))
			s.responses = append(s.responses[:i:i], s.responses[i+1:]...)
		},
		"kill or restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")
			switch {
			case s.holders[i].dead:
				s.restart(i)
			case rapid.IntRange(0, 3).Draw(t, "die") == 0:
				s.kill(i)
			}
		},
		"expire": func(*rapid.T) { s.owner.Expire(s.now, s.isDead) },
		"grant batch": func(t *rapid.T) {
			if s.owner.AvailableBatchSlots(s.now, fuzzSlots) == 0 {
				t.Skip("no batch slot is available")
			}
			s.lastID++
			s.owner.GrantBatch(s.lastID)
			s.batch[s.lastID] = true
		},
		"release batch": func(t *rapid.T) {
			if len(s.batch) == 0 {
				t.Skip("no batch slot is in use")
			}
			id := s.lastID
			for !s.batch[id] {
				id--
			}
			delete(s.batch, id)
			s.owner.ReleaseBatch(id)
		},
	}
}

func drawIndex(t *rapid.T, n int) int {
	if n == 0 {
		t.Skip("no message is in flight")
	}
	return rapid.IntRange(0, n-1).Draw(t, "message")
}

func runCreditSimulation(t *rapid.T, s *creditSimulation) {
	actions := s.actions()
	actions[""] = func(t *rapid.T) {
		if total := s.total(); total > fuzzSlots {
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
		s := newCreditSimulation(owner, newRealHolder)
		t.Repeat(s.actions())
		for i := range s.holders {
			s.kill(i)
		}
		s.advance(fuzzConfig.TTL)
		owner.Expire(s.now, s.isDead)
		if usage := owner.Usage(); usage.Credits != 0 {
			t.Fatalf("%d credits are still counted", usage.Credits)
		}
	})
}

func TestTwoOwnersOvercommitByAtMostTheSecondOwnersSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCreditSimulation(NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0)), newRealHolder)
		t.Repeat(s.actions())
		first := s.total()
		// Ownership moves: holders switch to the new owner at different times, and the old owner still responds.
		s.owner = NewLedger(fuzzConfig, fuzzSlots, s.now)
		for _, h := range s.holders {
			h.creditHolder.(*Holder).Reset()
		}
		s.requests, s.responses = nil, nil
		actions := s.actions()
		actions[""] = func(t *rapid.T) {
			if total := s.total(); total > first+fuzzSlots {
				t.Fatalf("%d requests run, more than the %d before plus the new owner's %d slots", total, first, fuzzSlots)
			}
		}
		t.Repeat(actions)
	})
}
