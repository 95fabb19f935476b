package scheduler_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/routing"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
	"github.com/rosemarydyke/rosemarydyke/workload"
)

// The replays of this file run engines of which a quarter has 0.55 and the others 1.2 of the mean speed, with phases of 600 ms each
// 4 s in which a target takes 2.5 times as long, and with outputs that vary tenfold. Every third target slows down when nearly full.

const (
	engineTick = 5 * time.Millisecond
	// firstEventObjective is the latency objective to the first event, which includes the wait for the slot.
	firstEventObjective = 300 * time.Millisecond
	// eventMs is the time of an event at speed 1.
	eventMs = 36.0
)

// engineRun is a request on an engine, in ms at speed 1.
type engineRun struct {
	ticket           scheduler.Ticket
	request          scheduler.Request
	arrived, granted time.Duration
	promptMs, leftMs float64
	outputMs         float64
	begun            bool
	target           int
	ended            bool
}

type engines struct {
	s       *scheduler.Scheduler
	random  *rand.Rand
	targets []routing.Target
	runs    [][]*engineRun
	offset  []time.Duration
	// requests holds the requests that wait or run.
	requests map[scheduler.Ticket]*engineRun
	waiting  []*engineRun
	next     int
	memory   int
	config   scheduler.Config
	// prepare changes a new coordinator.
	prepare func(*scheduler.Scheduler)

	onTime, late, refused, preempted, itemsDone int
	// exceeded counts the times at which a target held more tokens than its memory.
	exceeded int
}

func newEngines(seed uint64, count, memory int, config scheduler.Config, prepare func(*scheduler.Scheduler)) *engines {
	e := &engines{random: rand.New(rand.NewPCG(seed, 6)), targets: fleet(count, 8), runs: make([][]*engineRun, count), requests: map[scheduler.Ticket]*engineRun{}, memory: memory, config: config, prepare: prepare}
	for range e.targets {
		e.offset = append(e.offset, time.Duration(e.random.IntN(4000))*time.Millisecond)
	}
	e.s = e.coordinator()
	return e
}

func (e *engines) coordinator() *scheduler.Scheduler {
	s := scheduler.New(e.config, rand.New(rand.NewPCG(1, 2)))
	s.SetEngines(service, &scheduler.EngineInfo{MemoryTokens: e.memory})
	s.SetTargets(epoch, e.targets)
	if e.prepare != nil {
		e.prepare(s)
	}
	return s
}

// replaceCoordinator starts a new coordinator, which learns the runs from a report.
func (e *engines) replaceCoordinator(now time.Duration) {
	e.s = e.coordinator()
	var runs []scheduler.Run
	for i, list := range e.runs {
		for _, r := range list {
			runs = append(runs, scheduler.Run{Sequence: r.ticket.Sequence, Class: r.request.Class, Target: e.targets[i].ID, DueIn: r.request.StartBy.Sub(at(now)),
				Expected: r.request.Expected, Age: now - r.granted, PromptTokens: r.request.PromptTokens, OutputTokens: r.request.OutputTokens, Route: r.request.Route})
		}
	}
	actions, _ := e.s.Report(at(now), "vm", runs, nil)
	e.apply(now, actions)
}

// slowness returns how many times as long as at speed 1 a target takes.
func (e *engines) slowness(i int, now time.Duration) float64 {
	slowness := 1 / 1.2
	if i%4 == 0 {
		slowness = 1 / 0.55
	}
	if (now+e.offset[i])%(4*time.Second) < 600*time.Millisecond {
		slowness *= 2.5
	}
	if i%3 == 0 && len(e.runs[i]) >= 7 {
		slowness *= 1.3
	}
	return slowness * (1 + 0.03*float64(len(e.runs[i])))
}

func (e *engines) step(now time.Duration) {
	for i := range e.runs {
		work := float64(engineTick) / float64(time.Millisecond) / e.slowness(i, now)
		reading := work
		var ended []*engineRun
		kept := e.runs[i][:0]
		for _, r := range e.runs[i] {
			if r.promptMs > 0 {
				read := min(reading, r.promptMs)
				r.promptMs -= read
				reading -= read
			} else {
				r.leftMs -= work
			}
			if !r.begun && r.promptMs <= 0 && r.outputMs-r.leftMs >= eventMs {
				r.begun = true
				e.count(r, now)
			}
			if r.leftMs <= 0 {
				ended = append(ended, r)
			} else {
				kept = append(kept, r)
			}
		}
		e.runs[i] = kept
		for _, r := range ended {
			e.end(now, r, scheduler.Finished)
		}
	}
}

func (e *engines) count(r *engineRun, now time.Duration) {
	switch {
	case r.request.Class == scheduler.Item:
	case now-r.arrived <= firstEventObjective:
		e.onTime++
	default:
		e.late++
	}
}

func (e *engines) end(now time.Duration, r *engineRun, outcome scheduler.Outcome) {
	r.ended = true
	delete(e.requests, r.ticket)
	e.apply(now, e.s.Release(at(now), r.ticket, outcome, 20*time.Millisecond))
	if r.request.Class == scheduler.Item {
		if outcome == scheduler.Finished {
			e.itemsDone++
			r.leftMs = 140 * eventMs
		}
		e.submitItem(now, r.leftMs)
	}
}

func (e *engines) submit(now time.Duration, r *engineRun) {
	e.requests[r.ticket] = r
	e.waiting = append(e.waiting, r)
	e.apply(now, e.s.Submit(at(now), r.request))
}

// submitOnline submits a request whose output takes 4 to 40 events and whose client states up to twice as many.
func (e *engines) submitOnline(now time.Duration) {
	e.next++
	r := online(e.next, at(now))
	events := 6 * math.Pow(10, e.random.Float64())
	r.Route, r.PromptTokens, r.OutputTokens = "chat", int(150*math.Pow(10, e.random.Float64())), int(12*events*(1+e.random.Float64()))
	e.submit(now, &engineRun{ticket: r.Ticket, request: r, arrived: now, promptMs: float64(r.PromptTokens) / 75, leftMs: events * eventMs, outputMs: events * eventMs})
}

func (e *engines) submitItem(now time.Duration, leftMs float64) {
	e.next++
	r := item(e.next, at(now+18*time.Second))
	r.Expected = time.Duration(leftMs * float64(time.Millisecond))
	r.OutputTokens = 2000
	e.submit(now, &engineRun{ticket: r.Ticket, request: r, arrived: now, promptMs: 350.0 / 75, leftMs: leftMs, outputMs: leftMs})
}

func (e *engines) apply(now time.Duration, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			r := e.requests[a.Ticket]
			if r == nil || r.granted != 0 {
				continue
			}
			for i := range e.targets {
				if e.targets[i].ID == a.Target {
					r.target, r.granted = i, now
					e.runs[i] = append(e.runs[i], r)
				}
			}
			held := 0
			for _, o := range e.runs[r.target] {
				held += o.request.PromptTokens + o.request.OutputTokens
			}
			if e.memory > 0 && held > e.memory {
				e.exceeded++
			}
		case scheduler.Refuse:
			e.refused++
			delete(e.requests, a.Ticket)
		case scheduler.Preempt:
			r := e.requests[a.Ticket]
			if r == nil || r.granted == 0 || r.ended {
				continue
			}
			e.preempted++
			e.runs[r.target] = slices.DeleteFunc(slices.Clone(e.runs[r.target]), func(o *engineRun) bool { return o == r })
			e.end(now, r, scheduler.Abandoned)
		}
	}
}

// run replays a load with a mean rate of online requests per second, and with a number of items.
func (e *engines) run(mean float64, items int) *engines {
	for range items {
		e.submitItem(engineTick, 140*eventMs*e.random.Float64())
	}
	nextArrival := time.Duration(0)
	for now := engineTick; now < replayLength; now += engineTick {
		if now == replayLength/2 {
			e.replaceCoordinator(now)
		}
		e.step(now)
		for ; nextArrival < now; nextArrival += time.Duration(e.random.ExpFloat64() / rate(mean, now) * float64(time.Second)) {
			e.submitOnline(now)
		}
		if now%(25*time.Millisecond) == 0 {
			e.apply(now, e.s.Tick(at(now)))
			e.waiting = slices.DeleteFunc(e.waiting, func(r *engineRun) bool { return r.granted != 0 || e.requests[r.ticket] != r })
			for _, r := range slices.Clone(e.waiting) {
				e.apply(now, e.s.Submit(at(now), r.request))
			}
		}
	}
	return e
}

func (e *engines) missed() float64 {
	return float64(e.late+e.refused) / float64(e.onTime+e.late+e.refused)
}

// wrongEstimates expects the less time the more a request takes.
func wrongEstimates(s *scheduler.Scheduler) {
	s.EstimateWith(service, func(c workload.Class) workload.Estimate {
		d := time.Duration(float64(700*time.Millisecond) * 400 / float64(c.OutputTokens+1))
		return workload.Estimate{Mean: d, Median: d, High: 2 * d, Known: true}
	})
}

var byCost = scheduler.Config{ByCost: true}

// missedShare returns the share of online requests without a first event within the objective, over several replays.
func missedShare(t *testing.T, name string, mean float64, items int, config scheduler.Config, prepare func(*scheduler.Scheduler)) float64 {
	var sum engines
	for seed := range uint64(5) {
		e := newEngines(seed, 20, 0, config, prepare).run(mean, items)
		sum.onTime, sum.late, sum.refused = sum.onTime+e.onTime, sum.late+e.late, sum.refused+e.refused
		sum.preempted, sum.itemsDone = sum.preempted+e.preempted, sum.itemsDone+e.itemsDone
	}
	t.Logf("%s, mean %.0f/s, %d items: %d on time, %d late, %d refused; %d items preempted, %d done", name, mean, items, sum.onTime, sum.late, sum.refused, sum.preempted, sum.itemsDone)
	return sum.missed()
}

// Guards against placement that ignores speeds and costs: at this load the slots suffice, so that 999 of 1,000 requests can have
// their first event in time.
func TestReplayOfUnevenTargetsMeetsTheObjective(t *testing.T) {
	const tolerated = 0.001
	qt.Check(t, missedShare(t, "by cost", 70, 0, byCost, nil) <= tolerated, qt.IsTrue)
	qt.Check(t, missedShare(t, "mean alone", 70, 0, byCost, (*scheduler.Scheduler).PlaceByMeanAlone) > tolerated, qt.IsTrue)
}

// Guards against trust in estimates that are always wrong, below the capacity and beyond it.
func TestReplayWithWrongEstimatesIsNoWorseThanFreeSlots(t *testing.T) {
	for _, mean := range []float64{60, 90} {
		wrong, free := missedShare(t, "wrong", mean, 60, byCost, wrongEstimates), missedShare(t, "free slots", mean, 60, scheduler.Config{}, nil)
		qt.Check(t, wrong <= free, qt.IsTrue)
	}
}

// Guards against crashes of targets that hold more tokens than their memory, also after a change of the coordinator.
func TestReplayNeverExceedsMemory(t *testing.T) {
	e := newEngines(1, 14, 6000, byCost, nil).run(50, 40)
	t.Logf("%d on time, %d late, %d refused, %d items preempted, %d done", e.onTime, e.late, e.refused, e.preempted, e.itemsDone)
	qt.Check(t, e.exceeded, qt.Equals, 0)
	qt.Check(t, e.missed() < 0.5 && e.itemsDone > 0, qt.IsTrue)
	byFreeSlots := newEngines(1, 14, 6000, scheduler.Config{}, nil).run(50, 40)
	qt.Check(t, byFreeSlots.exceeded > 0, qt.IsTrue, qt.Commentf("memory limits nothing in this replay"))
}

// Guards against a new coordinator that takes runs of a report for new ones, and against one that expects fields which an older build
// does not send.
func TestNewCoordinatorKnowsRemainingWorkFromReports(t *testing.T) {
	for _, age := range []time.Duration{600 * time.Millisecond, 0} {
		s := scheduler.New(byCost, rand.New(rand.NewPCG(1, 2)))
		s.SetEngines(service, &scheduler.EngineInfo{MemoryTokens: 1000})
		s.SetTargets(epoch, fleet(2, 8))
		runs := make([]scheduler.Run, 8)
		for n := range runs {
			runs[n] = scheduler.Run{Sequence: uint64(n + 1), Target: []string{"t0", "t1"}[n%2]}
			if n%2 == 1 {
				runs[n].Age, runs[n].OutputTokens = age, int(age/(3*time.Millisecond))
			}
		}
		s.Report(epoch, "vm", runs, nil)
		request := online(20, epoch)
		if age > 0 {
			qt.Assert(t, granted(t, s.Submit(epoch, request), 20).Target, qt.Equals, "t1", qt.Commentf("its runs are nearly done"))
			request = online(21, epoch)
			request.PromptTokens = 300
			qt.Assert(t, granted(t, s.Submit(epoch, request), 21).Target, qt.Equals, "t0", qt.Commentf("t1 has no memory left"))
			continue
		}
		granted(t, s.Submit(epoch, request), 20)
	}
}

// Guards against the loss of nearly complete items, which have the most slack of their job.
func TestNearlyCompleteItemIsPreemptedLast(t *testing.T) {
	s := scheduler.New(byCost, rand.New(rand.NewPCG(1, 2)))
	s.SetTargets(epoch, fleet(1, 2))
	granted(t, s.Submit(epoch, item(1, at(20*time.Second))), 1)
	now := at(3500 * time.Millisecond)
	granted(t, s.Submit(now, item(2, at(20*time.Second))), 2)
	qt.Assert(t, preemptions(s.Submit(now, online(3, now))), qt.DeepEquals, []scheduler.Ticket{ticket(2)})
	qt.Assert(t, preemptions(s.Submit(now, online(4, now))), qt.DeepEquals, []scheduler.Ticket{ticket(1)})
}

// BenchmarkPlaceByCost measures one placement and one release on 60 targets with 5 of 8 slots taken.
func BenchmarkPlaceByCost(b *testing.B) {
	for name, config := range map[string]scheduler.Config{"by cost": byCost, "by free slots": {}} {
		b.Run(name, func(b *testing.B) {
			s := scheduler.New(config, rand.New(rand.NewPCG(1, 2)))
			s.SetEngines(service, &scheduler.EngineInfo{MemoryTokens: 101_495})
			s.SetTargets(epoch, fleet(60, 8))
			now := epoch
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(2 * time.Millisecond)
				r := online(n, now)
				r.Route, r.Account, r.PromptTokens, r.OutputTokens, r.Prefix = "chat", "a", 300+n%300, 100+n%300, uint64(n%50)
				s.Submit(now, r)
				s.Release(now, ticket(n-300), scheduler.Finished, 20*time.Millisecond)
			}
		})
	}
}
