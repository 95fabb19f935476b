package scheduler_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// A replay of the users' traffic: steps of 1.85 times the mean for 2.2 s after 3 s at 0.378 times, requests of
// 0.7 s and items of 4.7 s on 9 targets of 8 slots, of which some are lost.

// event is something that happens in a replay.
type event struct {
	at  time.Duration
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replay drives a scheduler, or the naive queue when naive is set.
type replay struct {
	queue   events
	random  *rand.Rand
	s       *scheduler.Scheduler
	next    int
	arrived map[scheduler.Ticket]time.Duration
	// came is when a client that was refused came first.
	came map[scheduler.Ticket]time.Duration
	work map[scheduler.Ticket]time.Duration

	naive bool
	free  int
	fifo  []scheduler.Ticket

	onTime, returned, late, lost int
	// heldInVain counts the requests that were refused after they had waited for their time to start.
	heldInVain int

	// began is when the items that run got their slots.
	began map[scheduler.Ticket]time.Duration
	// itemStarts counts the slots that items got, cutEarly those that they lost before they had made an event, and
	// itemWork is the time in which they made events.
	itemStarts, cutEarly int
	itemWork             time.Duration
}

const (
	replayLength = 40 * time.Second
	onlineRun    = 700 * time.Millisecond
	// returnWithin is a third of a client's patience of 5 s.
	returnWithin = 1660 * time.Millisecond
	// itemRun is the length of an item, and itemStart the part of each run that reads the prompt and the text again.
	itemRun   = 4700 * time.Millisecond
	itemStart = 60 * time.Millisecond
	// firstItem is the number of the first item; those below are online requests.
	firstItem = 1_000_000
)

func newReplay(targets int, naive bool) *replay {
	return &replay{
		random: rand.New(rand.NewPCG(3, 4)), s: newScheduler(targets, 8), naive: naive, free: targets * 8,
		arrived: map[scheduler.Ticket]time.Duration{}, came: map[scheduler.Ticket]time.Duration{},
		work: map[scheduler.Ticket]time.Duration{}, began: map[scheduler.Ticket]time.Duration{},
	}
}

// addItems keeps a number of items waiting or running, which are all due long after the replay.
func (r *replay) addItems(count int) {
	for n := range count {
		r.after(0, func(now time.Time) { r.take(now, r.s.Submit(now, item(firstItem+n, at(time.Hour)))) })
	}
	for at := time.Duration(0); at < replayLength; at += 100 * time.Millisecond {
		r.after(at, func(now time.Time) {
			for n := range count {
				r.take(now, r.s.Submit(now, item(firstItem+n, epoch.Add(time.Hour))))
			}
		})
	}
}

func (r *replay) startItem(id scheduler.Ticket, now time.Duration) {
	if _, runs := r.began[id]; runs {
		return
	}
	r.began[id] = now
	r.itemStarts++
	r.after(now+itemRun, func(end time.Time) {
		if r.began[id] == now {
			r.endItem(id, end, scheduler.Finished)
		}
	})
}

func (r *replay) endItem(id scheduler.Ticket, end time.Time, outcome scheduler.Outcome) {
	began, runs := r.began[id]
	if !runs {
		return
	}
	delete(r.began, id)
	worked := end.Sub(epoch) - began - itemStart
	if worked <= 0 {
		r.cutEarly++
	}
	r.itemWork += max(worked, 0)
	r.take(end, r.s.Release(end, id, outcome, 0))
	if end.Before(at(replayLength)) {
		r.take(end, r.s.Submit(end, item(int(id.Sequence), at(time.Hour))))
	}
}

func (r *replay) after(d time.Duration, run func(now time.Time)) {
	heap.Push(&r.queue, event{d, run})
}

// rate is the requests per second at a time.
func rate(mean float64, now time.Duration) float64 {
	if now%(5200*time.Millisecond) < 3*time.Second {
		return 0.378 * mean
	}
	return 1.85 * mean
}

func (r *replay) run(mean float64) {
	r.arrive(mean, 0)
	for at := time.Duration(0); at < replayLength; at += 25 * time.Millisecond {
		r.after(at, func(now time.Time) {
			for _, ticket := range r.waiting() {
				r.take(now, r.s.Submit(now, online(int(ticket.Sequence), epoch)))
			}
			r.take(now, r.s.Tick(now))
		})
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(event)
		e.run(at(e.at))
	}
}

// waiting returns the requests that wait, which are submitted again and again.
func (r *replay) waiting() []scheduler.Ticket {
	if r.naive {
		return nil
	}
	return slices.Collect(maps.Keys(r.arrived))
}

func (r *replay) arrive(mean float64, now time.Duration) {
	if now > replayLength {
		return
	}
	r.after(now, func(time.Time) { r.submit(now, now, false) })
	gap := time.Duration(r.random.ExpFloat64() / rate(mean, now) * float64(time.Second))
	r.after(now+gap, func(time.Time) { r.arrive(mean, now+gap) })
}

func (r *replay) submit(now, came time.Duration, returned bool) {
	r.next++
	id := ticket(r.next)
	r.arrived[id], r.came[id] = now, came
	r.work[id] = time.Duration((0.5 + r.random.Float64()) * float64(onlineRun))
	if r.naive {
		r.fifo = append(r.fifo, id)
		r.serveNaive(now)
		return
	}
	request := online(r.next, at(now))
	request.Returned, request.ReturnWithin = returned, returnWithin
	r.take(at(now), r.s.Submit(at(now), request))
}

func (r *replay) serveNaive(now time.Duration) {
	for r.free > 0 && len(r.fifo) > 0 {
		id := r.fifo[0]
		r.fifo = r.fifo[1:]
		r.free--
		r.count(id, now)
		r.after(now+r.work[id], func(end time.Time) {
			r.free++
			r.serveNaive(end.Sub(epoch))
		})
	}
}

// count notes when a request was started.
func (r *replay) count(id scheduler.Ticket, now time.Duration) {
	waited := now - r.arrived[id]
	switch {
	case waited > goal:
		r.late++
	case r.came[id] != r.arrived[id]:
		r.returned++
	default:
		r.onTime++
	}
	delete(r.arrived, id)
}

func (r *replay) take(now time.Time, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Preempt:
			r.after(now.Sub(epoch)+time.Millisecond, func(end time.Time) { r.endItem(a.Ticket, end, scheduler.Abandoned) })
		case scheduler.Grant:
			if a.Ticket.Sequence >= firstItem {
				r.startItem(a.Ticket, now.Sub(epoch))
				continue
			}
			if _, waits := r.arrived[a.Ticket]; !waits {
				continue
			}
			r.count(a.Ticket, now.Sub(epoch))
			r.after(now.Sub(epoch)+r.work[a.Ticket], func(end time.Time) {
				r.take(end, r.s.Release(end, a.Ticket, scheduler.Finished, 20*time.Millisecond))
			})
		case scheduler.Refuse:
			if a.Reason == scheduler.Late {
				r.heldInVain++
			}
			came, first := r.came[a.Ticket], r.came[a.Ticket] == r.arrived[a.Ticket]
			delete(r.arrived, a.Ticket)
			if !first || a.RetryAfter > returnWithin {
				r.lost++
				continue
			}
			back := now.Sub(epoch) + a.RetryAfter
			r.after(back, func(time.Time) { r.submit(back, came, true) })
		}
	}
}

// worth is what the requests are worth to the users: 8.2 on time, 1.2 late, and the mean when served in time
// after a refusal.
func (r *replay) worth() float64 {
	total := r.onTime + r.returned + r.late + r.lost
	return (8.2*float64(r.onTime) + 4.7*float64(r.returned) + 1.2*float64(r.late)) / (8.2 * float64(total))
}

func TestReplayOfStepsThatFitIsServedInTime(t *testing.T) {
	r := newReplay(9, false)
	r.run(42)
	qt.Assert(t, r.worth() > 0.98, qt.IsTrue, qt.Commentf("worth %.3f, %d on time, %d late, %d lost", r.worth(), r.onTime, r.late, r.lost))
}

// Overload in the steps: more comes than the slots can serve, and less between them.
func TestReplayOfOverloadIsWorthMoreThanWithAPlainQueue(t *testing.T) {
	for _, mean := range []float64{60, 80, 110} {
		ours, naive := newReplay(6, false), newReplay(6, true)
		ours.run(mean)
		naive.run(mean)
		t.Logf("mean %.0f/s on 48 slots: worth %.3f (%d on time, %d after a refusal, %d late, %d lost), plain queue %.3f", mean, ours.worth(), ours.onTime, ours.returned, ours.late, ours.lost, naive.worth())
		qt.Assert(t, ours.worth() > 1.2*naive.worth(), qt.IsTrue)
	}
}

// After an outage of a second all clients come at once, and all slots are taken at the same moment.
func TestReplayOfTheReturnAfterAnOutageHoldsFewInVain(t *testing.T) {
	r := newReplay(9, false)
	for n := range 160 {
		at := time.Duration(n) * 2 * time.Millisecond
		r.after(at, func(time.Time) { r.submit(at, at, false) })
	}
	r.run(30)
	t.Logf("%d on time, %d after a refusal, %d late, %d lost, %d held in vain", r.onTime, r.returned, r.late, r.lost, r.heldInVain)
	qt.Assert(t, r.heldInVain < 16, qt.IsTrue, qt.Commentf("%d of 160 held in vain", r.heldInVain))
}

// Items that fill every slot lose them to the next requests of a step before they have read their prompts.
func TestReplayOfStepsWithItemsStartsFewOfThemInVain(t *testing.T) {
	play := func(headroom time.Duration) *replay {
		r := newReplay(9, false)
		r.s = scheduler.New(scheduler.Config{ItemHeadroom: headroom}, rand.New(rand.NewPCG(1, 2)))
		r.s.SetTargets(epoch, fleet(9, 8))
		r.addItems(80)
		r.run(46)
		t.Logf("headroom %s: %d starts of items, %d in vain, %s of work; %d online on time, %d after a refusal, %d late, %d lost",
			headroom, r.itemStarts, r.cutEarly, r.itemWork, r.onTime, r.returned, r.late, r.lost)
		return r
	}
	none, ours := play(time.Nanosecond), play(0)
	qt.Assert(t, 4*ours.cutEarly < none.cutEarly, qt.IsTrue)
	qt.Assert(t, ours.worth() > 0.95*none.worth(), qt.IsTrue)
	qt.Assert(t, ours.itemWork > none.itemWork*9/10, qt.IsTrue)
}
