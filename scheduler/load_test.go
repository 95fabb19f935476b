package scheduler_test

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// The replays simulate user traffic whose rate alternates between 0.378 times the mean for 3 s and 1.85 times the mean
// for 2.2 s, with requests of 0.7 s and items of 4.7 s. The fleet has 9 targets of 8 slots, of which the overload test
// has lost 3.

// event is a scheduled step of a replay.
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

// replay runs a scheduler in simulated time, or a naive FIFO queue if naive is set.
type replay struct {
	queue   events
	random  *rand.Rand
	s       *scheduler.Scheduler
	next    int
	arrived map[scheduler.Ticket]time.Duration
	// firstArrival is the time of the first attempt of a request's client.
	firstArrival map[scheduler.Ticket]time.Duration
	serviceTime  map[scheduler.Ticket]time.Duration

	// attempts counts the attempts of a request's client, by its first arrival, and retries is the number of retries it makes.
	attempts map[time.Duration]int
	retries  int

	naive bool
	free  int
	fifo  []scheduler.Ticket

	// abandoned counts the clients among lost that had been told to return.
	onTime, retried, startedLate, lost, abandoned int
	// expiredInQueue counts the requests that were refused after they had waited until their start deadline.
	expiredInQueue int

	// itemStarted is when the items in progress were granted their slots.
	itemStarted map[scheduler.Ticket]time.Duration
	// itemStarts counts the slots that were granted to items, preemptedAtStart those that were lost before the item's
	// first event, and itemWork is the time in which items produced events.
	itemStarts, preemptedAtStart int
	itemWork                     time.Duration
	// granted is when each target got requests, of which a repeated grant is none.
	granted map[string][]time.Duration
}

const (
	replayLength = 40 * time.Second
	onlineRun    = 700 * time.Millisecond
	// retryWithin is a third of a client's timeout of 5 s.
	retryWithin   = 1660 * time.Millisecond
	clientTimeout = 5 * time.Second
	// itemRun is the duration of an item, and itemSetup the part of each run that processes the prompt and the text
	// generated so far.
	itemRun   = 4700 * time.Millisecond
	itemSetup = 60 * time.Millisecond
	// firstItem is the sequence number of the first item; lower numbers are online requests.
	firstItem = 1_000_000
)

func newReplay(targets int, naive bool) *replay {
	return &replay{
		random: rand.New(rand.NewPCG(3, 4)), s: newScheduler(targets, 8), naive: naive, free: targets * 8,
		arrived: map[scheduler.Ticket]time.Duration{}, firstArrival: map[scheduler.Ticket]time.Duration{},
		granted: map[string][]time.Duration{}, attempts: map[time.Duration]int{}, retries: 1,
		serviceTime: map[scheduler.Ticket]time.Duration{}, itemStarted: map[scheduler.Ticket]time.Duration{},
	}
}

// addItems keeps count items waiting or running, which are all due long after the replay.
func (r *replay) addItems(count int) {
	for n := range count {
		r.schedule(0, func(now time.Time) { r.apply(now, r.s.Submit(now, item(firstItem+n, at(time.Hour)))) })
	}
	for at := time.Duration(0); at < replayLength; at += 100 * time.Millisecond {
		r.schedule(at, func(now time.Time) {
			for n := range count {
				r.apply(now, r.s.Submit(now, item(firstItem+n, epoch.Add(time.Hour))))
			}
		})
	}
}

func (r *replay) startItem(id scheduler.Ticket, now time.Duration) {
	if _, running := r.itemStarted[id]; running {
		return
	}
	r.itemStarted[id] = now
	r.itemStarts++
	r.schedule(now+itemRun, func(end time.Time) {
		if r.itemStarted[id] == now {
			r.endItem(id, end, scheduler.Finished)
		}
	})
}

func (r *replay) endItem(id scheduler.Ticket, end time.Time, outcome scheduler.Outcome) {
	startedAt, running := r.itemStarted[id]
	if !running {
		return
	}
	delete(r.itemStarted, id)
	productive := end.Sub(epoch) - startedAt - itemSetup
	if productive <= 0 {
		r.preemptedAtStart++
	}
	r.itemWork += max(productive, 0)
	r.apply(end, r.s.Release(end, id, outcome, 0))
	if end.Before(at(replayLength)) {
		r.apply(end, r.s.Submit(end, item(int(id.Sequence), at(time.Hour))))
	}
}

// schedule runs a step at a time of the replay.
func (r *replay) schedule(at time.Duration, run func(now time.Time)) {
	heap.Push(&r.queue, event{at, run})
}

// rate returns the number of requests per second at a time of the replay.
func rate(mean float64, now time.Duration) float64 {
	if now%(5200*time.Millisecond) < 3*time.Second {
		return 0.378 * mean
	}
	return 1.85 * mean
}

func (r *replay) run(mean float64) {
	r.scheduleArrivals(mean, 0)
	for at := time.Duration(0); at < replayLength; at += 25 * time.Millisecond {
		r.schedule(at, func(now time.Time) {
			for _, ticket := range r.waiting() {
				r.apply(now, r.s.Submit(now, online(int(ticket.Sequence), epoch)))
			}
			r.apply(now, r.s.Tick(now))
		})
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(event)
		e.run(at(e.at))
	}
}

// waiting returns the waiting requests, which are submitted repeatedly.
func (r *replay) waiting() []scheduler.Ticket {
	if r.naive {
		return nil
	}
	return slices.SortedFunc(maps.Keys(r.arrived), func(a, b scheduler.Ticket) int { return cmp.Compare(a.Sequence, b.Sequence) })
}

func (r *replay) scheduleArrivals(mean float64, now time.Duration) {
	if now > replayLength {
		return
	}
	r.schedule(now, func(time.Time) { r.submit(now, now, false) })
	gap := time.Duration(r.random.ExpFloat64() / rate(mean, now) * float64(time.Second))
	r.schedule(now+gap, func(time.Time) { r.scheduleArrivals(mean, now+gap) })
}

func (r *replay) submit(now, firstArrival time.Duration, retry bool) {
	r.next++
	id := ticket(r.next)
	r.arrived[id], r.firstArrival[id] = now, firstArrival
	r.serviceTime[id] = time.Duration((0.5 + r.random.Float64()) * float64(onlineRun))
	if r.naive {
		r.fifo = append(r.fifo, id)
		r.serveNaive(now)
		return
	}
	request := online(r.next, at(now))
	request.Retry, request.RetryWithin = retry, retryWithin
	if left := firstArrival + clientTimeout - now; retry {
		request.RetryWithin, request.AnswerBy = left/3, at(now+left)
	}
	r.attempts[firstArrival]++
	r.apply(at(now), r.s.Submit(at(now), request))
}

func (r *replay) serveNaive(now time.Duration) {
	for r.free > 0 && len(r.fifo) > 0 {
		id := r.fifo[0]
		r.fifo = r.fifo[1:]
		r.free--
		r.recordStart(id, now)
		r.schedule(now+r.serviceTime[id], func(end time.Time) {
			r.free++
			r.serveNaive(end.Sub(epoch))
		})
	}
}

// recordStart counts a request by when it started.
func (r *replay) recordStart(id scheduler.Ticket, now time.Duration) {
	waited := now - r.arrived[id]
	switch {
	case waited > latencyObjective:
		r.startedLate++
	case r.firstArrival[id] != r.arrived[id]:
		r.retried++
	default:
		r.onTime++
	}
	delete(r.arrived, id)
}

func (r *replay) apply(now time.Time, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Preempt:
			r.schedule(now.Sub(epoch)+time.Millisecond, func(end time.Time) { r.endItem(a.Ticket, end, scheduler.Abandoned) })
		case scheduler.Grant:
			r.recordGrant(a, now.Sub(epoch))
			if a.Ticket.Sequence >= firstItem {
				r.startItem(a.Ticket, now.Sub(epoch))
				continue
			}
			if _, waiting := r.arrived[a.Ticket]; !waiting {
				continue
			}
			r.recordStart(a.Ticket, now.Sub(epoch))
			r.schedule(now.Sub(epoch)+r.serviceTime[a.Ticket], func(end time.Time) {
				r.apply(end, r.s.Release(end, a.Ticket, scheduler.Finished, 20*time.Millisecond))
			})
		case scheduler.Refuse:
			if a.Reason == scheduler.StartDeadlineExceeded {
				r.expiredInQueue++
			}
			firstArrival := r.firstArrival[a.Ticket]
			delete(r.arrived, a.Ticket)
			if attempts := r.attempts[firstArrival]; attempts > r.retries || a.RetryAfter > (firstArrival+clientTimeout-now.Sub(epoch))/3 {
				r.lost++
				if attempts > 1 {
					r.abandoned++
				}
				continue
			}
			retryAt := now.Sub(epoch) + a.RetryAfter
			r.schedule(retryAt, func(time.Time) { r.submit(retryAt, firstArrival, true) })
		}
	}
}

// utility returns what the responses are worth to users, as a share of the maximum: 8.2 if a request starts on time,
// 1.2 if it starts late, and the mean of both if it starts on time after a refusal. A client that returns in vain loses
// another 0.3 of the maximum.
func (r *replay) utility() float64 {
	total := r.onTime + r.retried + r.startedLate + r.lost
	return (8.2*(float64(r.onTime)-0.3*float64(r.abandoned)) + 4.7*float64(r.retried) + 1.2*float64(r.startedLate)) / (8.2 * float64(total))
}

func TestReplayWithinCapacityStartsOnTime(t *testing.T) {
	r := newReplay(9, false)
	r.run(42)
	qt.Assert(t, r.utility() > 0.98, qt.IsTrue, qt.Commentf("utility %.3f, %d on time, %d late, %d lost", r.utility(), r.onTime, r.startedLate, r.lost))
}

// In the peaks more requests arrive than the slots can serve, and fewer in between.
func TestReplayUnderOverloadBeatsNaiveQueue(t *testing.T) {
	for _, mean := range []float64{60, 80, 110} {
		scheduled, naive := newReplay(6, false), newReplay(6, true)
		scheduled.run(mean)
		naive.run(mean)
		t.Logf("mean %.0f/s on 48 slots: utility %.3f (%d on time, %d after a refusal, %d late, %d lost), naive queue %.3f", mean, scheduled.utility(), scheduled.onTime, scheduled.retried, scheduled.startedLate, scheduled.lost, naive.utility())
		qt.Assert(t, scheduled.utility() > 1.2*naive.utility(), qt.IsTrue)
	}
}

// After an outage of one second all clients reconnect at once, and all slots are taken at the same moment.
func TestReplayAfterAnOutageExpiresFewQueuedRequests(t *testing.T) {
	r := newReplay(9, false)
	for n := range 160 {
		at := time.Duration(n) * 2 * time.Millisecond
		r.schedule(at, func(time.Time) { r.submit(at, at, false) })
	}
	r.run(30)
	t.Logf("%d on time, %d after a refusal, %d late, %d lost, %d expired in the queue", r.onTime, r.retried, r.startedLate, r.lost, r.expiredInQueue)
	qt.Assert(t, r.expiredInQueue < 16, qt.IsTrue, qt.Commentf("%d of 160 expired in the queue", r.expiredInQueue))
}

// Items that fill all slots are preempted by the next requests of a peak before their prompts are processed.
func TestReplayHeadroomReducesPreemptionsAtStart(t *testing.T) {
	runReplay := func(headroom time.Duration) *replay {
		r := newReplay(9, false)
		r.s = scheduler.New(scheduler.Config{HeadroomWindow: headroom}, rand.New(rand.NewPCG(1, 2)))
		r.s.SetTargets(epoch, fleet(9, 8))
		r.addItems(80)
		r.run(46)
		t.Logf("headroom window %s: %d item starts, %d preempted at start, %s of work; %d online on time, %d after a refusal, %d late, %d lost",
			headroom, r.itemStarts, r.preemptedAtStart, r.itemWork, r.onTime, r.retried, r.startedLate, r.lost)
		return r
	}
	withoutHeadroom, withHeadroom := runReplay(time.Nanosecond), runReplay(0)
	qt.Assert(t, 4*withHeadroom.preemptedAtStart < withoutHeadroom.preemptedAtStart, qt.IsTrue)
	qt.Assert(t, withHeadroom.utility() > 0.95*withoutHeadroom.utility(), qt.IsTrue)
	qt.Assert(t, withHeadroom.itemWork > withoutHeadroom.itemWork*9/10, qt.IsTrue)
}
