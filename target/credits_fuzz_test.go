package target

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

const fuzzSlots = 4

var fuzzConfig = LedgerConfig{TTL: 3 * time.Second, Drain: 15 * time.Second, Settle: time.Second, MaxHeadroom: 0.2}

// creditOwner and creditHolder are what the fuzzer drives: the real ledger and holder, or the naive ones.
type creditOwner interface {
	HandleRequest(now time.Time, ask CreditRequest) (CreditResponse, []uint64)
	Expire(now time.Time, isDead func(string) bool)
	AvailableBatchSlots(now time.Time, limit int) int
	GrantBatch(id uint64)
	ReleaseBatch(id uint64) bool
}

type creditHolder interface {
	Acquire(now time.Time) bool
	Release(now time.Time)
	NextRequest(now time.Time, waiting int) CreditRequest
	HandleResponse(sequence uint64, answer CreditResponse) bool
}

// creditFleet is one target, its owner, holders of credits, and a network that loses, delays and reorders messages.
type creditFleet struct {
	now     time.Time
	owner   creditOwner
	newOne  func() creditHolder
	holders []*fuzzHolder
	asks    []CreditRequest
	answers []fuzzAnswer
	batch   map[uint64]bool
	lastID  uint64
}

type fuzzHolder struct {
	creditHolder
	name    string
	session uint64
	dead    bool
	// running holds the start of each running request.
	running []time.Time
}

type fuzzAnswer struct {
	holder   int
	session  uint64
	sequence uint64
	answer   CreditResponse
}

func newCreditFleet(owner creditOwner, newOne func() creditHolder) *creditFleet {
	f := &creditFleet{now: time.Unix(1000, 0), owner: owner, newOne: newOne, batch: make(map[uint64]bool)}
	for i := range 3 {
		f.holders = append(f.holders, &fuzzHolder{creditHolder: newOne(), name: fmt.Sprint(i), session: uint64(i + 1)})
	}
	return f
}

// total is the number of requests that run on the target.

func (f *creditFleet) total() int {
	total := len(f.batch)
	for _, h := range f.holders {
		total += len(h.running)
	}
	return total
}

func (f *creditFleet) isDead(name string) bool {
	for _, h := range f.holders {
		if h.name == name {
			return h.dead
		}
	}
	return true
}

// advance passes time. No request runs for longer than the ledger's Drain.
func (f *creditFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, h := range f.holders {
		for len(h.running) > 0 && f.now.Sub(h.running[0]) >= fuzzConfig.Drain {
			f.finish(h)
		}
	}
}

func (f *creditFleet) start(h *fuzzHolder) bool {
	if !h.Acquire(f.now) {
		return false
	}
	h.running = append(h.running, f.now)
	return true
}

func (f *creditFleet) finish(h *fuzzHolder) {
	h.Release(f.now)
	h.running = h.running[1:]
}

func (f *creditFleet) ask(i, waiting int) {
	h := f.holders[i]
	ask := h.NextRequest(f.now, waiting)
	ask.Holder, ask.Session = h.name, h.session
	f.asks = append(f.asks, ask)
}

func (f *creditFleet) deliverAsk(i int) {
	ask := f.asks[i]
	f.asks = append(f.asks[:i:i], f.asks[i+1:]...)
	answer, _ := f.owner.HandleRequest(f.now, ask)
	holder := int(ask.Holder[0] - '0')
	f.answers = append(f.answers, fuzzAnswer{holder, ask.Session, ask.Sequence, answer})
}

func (f *creditFleet) deliverAnswer(i int) {
	a := f.answers[i]
	f.answers = append(f.answers[:i:i], f.answers[i+1:]...)
	if h := f.holders[a.holder]; h.session == a.session && !h.dead {
		h.HandleResponse(a.sequence, a.answer)
	}
}

// kill ends a holder's process; its connections end with it.
func (f *creditFleet) kill(i int) {
	h := f.holders[i]
	h.dead = true
	h.running = nil
}

func (f *creditFleet) restart(i int) {
	f.lastID++
	f.holders[i] = &fuzzHolder{creditHolder: f.newOne(), name: f.holders[i].name, session: 100 + f.lastID}
	// The transport ends an old process's calls when the new one starts.
	f.asks = withoutHolder(f.asks, f.holders[i].name)
}

func withoutHolder(asks []CreditRequest, name string) []CreditRequest {
	var kept []CreditRequest
	for _, ask := range asks {
		if ask.Holder != name {
			kept = append(kept, ask)
		}
	}
	return kept
}

// actions are the steps that the fuzzer draws from.
func (f *creditFleet) actions() map[string]func(*rapid.T) {
	alive := func(t *rapid.T) int {
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
			f.start(f.holders[alive(t)])
		},
		"fill": func(t *rapid.T) {
			i := alive(t)
			f.ask(i, fuzzSlots)
			f.deliverAsk(len(f.asks) - 1)
			f.deliverAnswer(len(f.answers) - 1)
			for f.start(f.holders[i]) {
			}
		},
		"finish": func(t *rapid.T) {
			h := f.holders[alive(t)]
			if len(h.running) == 0 {
				t.Skip("nothing runs")
			}
			f.finish(h)
		},
		"ask": func(t *rapid.T) {
			f.ask(alive(t), rapid.IntRange(0, 4).Draw(t, "waiting"))
		},
		"exchange": func(t *rapid.T) {
			f.ask(alive(t), rapid.IntRange(0, 4).Draw(t, "waiting"))
			f.deliverAsk(len(f.asks) - 1)
			f.deliverAnswer(len(f.answers) - 1)
		},
		"deliver ask": func(t *rapid.T) {
			f.deliverAsk(drawIndex(t, len(f.asks)))
		},
		"deliver answer": func(t *rapid.T) {
			f.deliverAnswer(drawIndex(t, len(f.answers)))
		},
		"lose answer": func(t *rapid.T) {
			i := drawIndex(t, len(f.answers))
			f.answers = append(f.answers[:i:i], f.answers[i+1:]...)
		},
		"kill or restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(f.holders)-1).Draw(t, "holder")
			switch {
			case f.holders[i].dead:
				f.restart(i)
			case rapid.IntRange(0, 3).Draw(t, "luck") == 0:
				f.kill(i)
			}
		},
		"expire": func(*rapid.T) { f.owner.Expire(f.now, f.isDead) },
		"grant batch": func(t *rapid.T) {
			if f.owner.AvailableBatchSlots(f.now, fuzzSlots) == 0 {
				t.Skip("no room")
			}
			f.lastID++
			f.owner.GrantBatch(f.lastID)
			f.batch[f.lastID] = true
		},
		"release batch": func(t *rapid.T) {
			if len(f.batch) == 0 {
				t.Skip("no batch work")
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
		t.Skip("no message")
	}
	return rapid.IntRange(0, n-1).Draw(t, "message")
}

func runCreditFleet(t *rapid.T, f *creditFleet) {
	actions := f.actions()
	actions[""] = func(t *rapid.T) {
		if total := f.total(); total > fuzzSlots {
			t.Fatalf("%d requests run on a target of %d slots", total, fuzzSlots)
		}
	}
	t.Repeat(actions)
}

func newRealHolder() creditHolder { return NewHolder() }

func TestRunningRequestsNeverExceedSlotsUnderOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))
		runCreditFleet(t, newCreditFleet(owner, newRealHolder))
	})
}

// naiveLedger takes asks in whatever order they arrive.
type naiveLedger struct{ *Ledger }

func (n *naiveLedger) HandleRequest(now time.Time, ask CreditRequest) (CreditResponse, []uint64) {
	ask.Sequence = 1
	return n.Ledger.HandleRequest(now, ask)
}

// greedyHolder goes on using what it has while it asks for less.
type greedyHolder struct{ *Holder }

func (h *greedyHolder) NextRequest(now time.Time, waiting int) CreditRequest {
	limit := h.limit
	ask := h.Holder.NextRequest(now, waiting)
	h.limit = limit
	return ask
}

func TestANaiveLedgerExceedsTheSlots(t *testing.T) {
	t.Run("messages out of order", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			owner := &naiveLedger{NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))}
			runCreditFleet(t, newCreditFleet(owner, newRealHolder))
		})
	})
	t.Run("credits used while they are returned", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			owner := NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))
			runCreditFleet(t, newCreditFleet(owner, func() creditHolder { return &greedyHolder{NewHolder()} }))
		})
	})
	t.Run("no drain of what an expired holder runs", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) {
			config := fuzzConfig
			config.Drain = time.Nanosecond
			owner := NewLedger(config, fuzzSlots, time.Unix(1000, 0))
			runCreditFleet(t, newCreditFleet(owner, newRealHolder))
		})
	})
}

func TestCreditsOfADeadHolderReturnAfterTheirExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0))
		f := newCreditFleet(owner, newRealHolder)
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

func TestTwoOwnersOverAdmitNoMoreThanTheSecondGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCreditFleet(NewLedger(fuzzConfig, fuzzSlots, time.Unix(1000, 0)), newRealHolder)
		t.Repeat(f.actions())
		first := f.total()
		// Ownership moves: holders turn to the new owner at different moments, and the old one still answers.
		f.owner = NewLedger(fuzzConfig, fuzzSlots, f.now)
		for _, h := range f.holders {
			h.creditHolder.(*Holder).Reset()
		}
		f.asks, f.answers = nil, nil
		actions := f.actions()
		actions[""] = func(t *rapid.T) {
			if total := f.total(); total > first+fuzzSlots {
				t.Fatalf("%d requests run: more than the %d before plus the new owner's %d", total, first, fuzzSlots)
			}
		}
		t.Repeat(actions)
	})
}
