package scheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const shareObjective = 300 * time.Millisecond

// surgeReplay replays 20 accounts on 80 slots for 10.4 s, two periods of the load. The first accounts send a multiple of their
// usual load from 1 s to 7.5 s.
type surgeReplay struct {
	surging int
	factor  float64
	// size is the usual load of the surging accounts, as a multiple of that of the others.
	size  float64
	named bool
}

type surgeResult struct {
	// others is the number of first attempts of accounts without a surge, and late the number of these that were refused or did
	// not start within the objective. surgeRefused counts refusals of the surging accounts, and surgeStarted their starts.
	others, late, surgeRefused, surgeStarted int
}

type surgeEvent struct {
	at      time.Time
	account int
	first   time.Time
	retry   bool
	release int
}

func (c surgeReplay) run() surgeResult {
	const (
		accounts, usual, slotTime = 20, 2.5, 700 * time.Millisecond
		length                    = 10400 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	var events []surgeEvent
	for account := range accounts {
		load := usual
		if account < c.surging {
			load *= c.size
		}
		for d := time.Duration(0); d < length; {
			rate := 0.378
			if d%(5200*time.Millisecond) >= 3*time.Second {
				rate = 1.85
			}
			if account < c.surging && d >= time.Second && d < 7500*time.Millisecond {
				rate *= c.factor
			}
			// Arrivals are drawn at the highest rate and kept in proportion to the present one.
			highest := 1.85 * c.factor
			d += time.Duration(random.ExpFloat64() / highest / load * float64(time.Second))
			if random.Float64() >= rate/highest {
				continue
			}
			events = append(events, surgeEvent{at: at(d), account: account, first: at(d)})
		}
	}
	byTime := func(a, b surgeEvent) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(events, byTime)
	insert := func(e surgeEvent) {
		i, _ := slices.BinarySearchFunc(events, e, byTime)
		events = slices.Insert(events, i, e)
	}
	s := newScheduler(10, 8)
	requests := map[int]surgeEvent{}
	var result surgeResult
	apply := func(now time.Time, actions []scheduler.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case scheduler.Grant:
				n := int(a.Ticket.Sequence)
				r := requests[n]
				if r.account < c.surging {
					result.surgeStarted++
				} else if !r.retry && now.Sub(r.first) > shareObjective {
					result.late++
				}
				insert(surgeEvent{at: now.Add(time.Duration((0.4 + 1.2*random.Float64()) * float64(slotTime))), release: n})
			case scheduler.Refuse:
				r := requests[int(a.Ticket.Sequence)]
				if r.account < c.surging {
					result.surgeRefused++
				} else if !r.retry {
					result.late++
				}
				if next := now.Add(a.RetryAfter); next.Sub(r.first) <= 2*time.Second {
					insert(surgeEvent{at: next, account: r.account, first: r.first, retry: true})
				}
			}
		}
	}
	tick := epoch
	for n := 1; len(events) > 0; n++ {
		e := events[0]
		events = events[1:]
		for ; tick.Before(e.at); tick = tick.Add(20 * time.Millisecond) {
			apply(tick, s.Tick(tick))
		}
		if e.release != 0 {
			apply(e.at, s.Release(e.at, ticket(e.release), scheduler.Finished, 100*time.Millisecond))
			continue
		}
		if e.account >= c.surging && !e.retry {
			result.others++
		}
		requests[n] = e
		r := online(n, e.at)
		r.StartBy, r.Expires, r.Retry, r.RetryWithin = e.at.Add(shareObjective), e.at.Add(shareObjective), e.retry, 2*time.Second
		if c.named {
			r.Account = fmt.Sprint("account", e.account)
		}
		apply(e.at, s.Submit(e.at, r))
	}
	return result
}

// Guards against accounts in a surge that take the slots and waits of others.
func TestSurgeOfAccountsDelaysNoOthers(t *testing.T) {
	for _, c := range []surgeReplay{
		{surging: 1, factor: 7.5, size: 4},
		{surging: 6, factor: 4, size: 1},
		{surging: 4, factor: 7.5, size: 1},
		{surging: 8, factor: 7.5, size: 1},
	} {
		t.Run(fmt.Sprintf("%d accounts times %v", c.surging, c.factor), func(t *testing.T) {
			plain := c.run()
			c.named = true
			shared := c.run()
			t.Logf("plain %+v, shared %+v", plain, shared)
			if shared.late > 0 {
				t.Errorf("%d of %d requests of other accounts were late or refused", shared.late, shared.others)
			}
			if shared.surgeStarted == 0 || shared.surgeRefused == 0 {
				t.Errorf("the surging accounts had %d starts and %d refusals, want some of each", shared.surgeStarted, shared.surgeRefused)
			}
			if plain.late == 0 {
				t.Error("the plain queue meets the bound, so that the replay shows nothing")
			}
		})
	}
}

// Guards against a request over its account's share that keeps waiting until it expires after another account took its place.
func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(1, 2)
	submit := func(n int, account string, now time.Time) []scheduler.Action {
		r := online(n, now)
		r.Account, r.StartBy, r.Expires = account, now.Add(400*time.Millisecond), now.Add(400*time.Millisecond)
		return s.Submit(now, r)
	}
	granted(t, submit(1, "large", epoch), 1)
	granted(t, submit(2, "large", epoch), 2)
	now := at(450 * time.Millisecond)
	if actions := submit(3, "large", now); len(actions) > 0 {
		t.Fatalf("the first waiting request got %v, want none", actions)
	}
	actions := submit(4, "small", now)
	if r, ok := refused(actions, 3); !ok || r.RetryAfter <= 0 {
		t.Fatalf("the overtaken request was not refused with a retry delay: %v", actions)
	}
	granted(t, s.Release(at(460*time.Millisecond), ticket(1), scheduler.Finished, time.Millisecond), 4)
}

// Guards against an account's large job that holds back the small jobs of others, and against another order within an account.
func TestItemsOfAccountsTakeTurns(t *testing.T) {
	s := newScheduler(1, 1)
	granted(t, s.Submit(epoch, item(100, at(time.Minute))), 100)
	for n := range 20 {
		r := item(n+1, at(30*time.Second+time.Duration(n)))
		r.Account = "large"
		s.Submit(epoch, r)
	}
	for n := range 2 {
		r := item(n+51, at(40*time.Second+time.Duration(n)))
		r.Account = "small"
		s.Submit(epoch, r)
	}
	var order []int
	running := 100
	for i := range 5 {
		for _, a := range s.Release(at(time.Duration(i+1)*time.Millisecond), ticket(running), scheduler.Finished, time.Millisecond) {
			if g, ok := a.(scheduler.Grant); ok {
				running = int(g.Ticket.Sequence)
				order = append(order, running)
			}
		}
	}
	if want := []int{1, 51, 2, 52, 3}; slices.CompareFunc(order, want, cmp.Compare[int]) != 0 {
		t.Fatalf("items started in the order %v, want %v", order, want)
	}
}

// Guards against a priority that does not decide before the account's share.
func TestPriorityGoesBeforeShare(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range 4 {
		r := online(n+1, epoch)
		r.Account = "high"
		granted(t, s.Submit(epoch, r), n+1)
	}
	now := at(600 * time.Millisecond)
	low := online(5, now)
	low.Account, low.Priority = "low", 1
	s.Submit(now, low)
	high := online(6, now)
	high.Account = "high"
	s.Submit(now, high)
	granted(t, s.Release(at(610*time.Millisecond), ticket(1), scheduler.Finished, time.Millisecond), 6)
}
