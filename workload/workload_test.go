package workload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/workload"
)

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against a client that evicts what is known of others by stating all sizes, or as many accounts and routes as it can.
func TestEstimatorIsBoundedAndFallsBackToCoarserClasses(t *testing.T) {
	e := workload.NewEstimator()
	usual := workload.Class{Route: "chat", Account: "a", PromptTokens: 450, OutputTokens: 240}
	for n := range 20 {
		e.Observe(at(time.Duration(n)*time.Millisecond), usual, 700*time.Millisecond)
	}
	for n := range 100_000 {
		flood := workload.Class{Route: "chat", Account: fmt.Sprint(n), PromptTokens: 1 << (n % 20), OutputTokens: 1 << (n % 17)}
		if flood.OutputTokens < 2048 {
			flood.OutputTokens += 2048
		}
		e.Observe(at(time.Second), flood, 5*time.Second)
	}
	qt.Assert(t, e.Entries() < 1000, qt.IsTrue)
	estimate := e.Estimate(at(time.Second), usual)
	qt.Assert(t, estimate.Known, qt.IsTrue)
	qt.Assert(t, estimate.Mean.Round(time.Millisecond), qt.Equals, 700*time.Millisecond, qt.Commentf("the size class of the route is still known"))
	usual.PromptTokens, usual.OutputTokens = 0, 0
	qt.Assert(t, e.Estimate(at(time.Second), usual).Mean > 4*time.Second, qt.IsTrue, qt.Commentf("an unknown size falls back to the route"))
}

// Guards against estimates that rest on a load that is long over.
func TestObservationsDecay(t *testing.T) {
	e, c := workload.NewEstimator(), workload.Class{Route: "chat"}
	qt.Assert(t, e.Estimate(epoch, c).Known, qt.IsFalse)
	for range 50 {
		e.Observe(epoch, c, time.Second)
	}
	qt.Assert(t, e.Estimate(at(10*time.Minute), c).Known, qt.IsFalse)
	for range 20 {
		e.Observe(at(2*time.Minute), c, 100*time.Millisecond)
	}
	qt.Assert(t, e.Estimate(at(2*time.Minute), c).Mean < 300*time.Millisecond, qt.IsTrue)
}

// observeSpeed lets a target with a slowdown end 10 requests a second for a time. Costs vary tenfold around the median, and each 4 s
// the target has a phase of 600 ms in which it takes 2.5 times as long.
func observeSpeed(s *workload.Speed, random *rand.Rand, from, length time.Duration, slowdown, full float64) (lowest, highest float64) {
	lowest, highest = math.Inf(1), 0
	for now := from; now < from+length; now += 100 * time.Millisecond {
		d, nearlyFull := 0.7*math.Pow(10, random.Float64()-0.5)*slowdown, random.IntN(3) == 0
		if now%(4*time.Second) < 600*time.Millisecond {
			d *= 2.5
		}
		if nearlyFull {
			d *= full
		}
		s.Observe(at(now), time.Duration(d*float64(time.Second)), 700*time.Millisecond, nearlyFull)
		if now > from+length/2 {
			usual := s.Slowdown(at(now), false)
			lowest, highest = min(lowest, usual), max(highest, usual)
		}
	}
	return lowest, highest
}

// Guards against speeds that jump with phases of 2.5 times the usual time or are trusted after a few requests. The bounds keep a
// target of 0.55 apart from one of 1.2 of the mean speed: the point halfway between them is 1/0.81.
func TestSpeedIsLearnedDespiteNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var slow, fast workload.Speed
	qt.Assert(t, slow.Slowdown(epoch, true), qt.Equals, 1.0)
	slow.Observe(epoch, 7*time.Second, 700*time.Millisecond, false)
	qt.Assert(t, slow.Slowdown(epoch, false) < 1.1, qt.IsTrue, qt.Commentf("one observation"))
	lowest, _ := observeSpeed(&slow, random, 0, 60*time.Second, 1/0.55, 1)
	_, highest := observeSpeed(&fast, random, 0, 60*time.Second, 1/1.2, 1.6)
	qt.Assert(t, lowest > 1/0.81 && highest < 1/0.81, qt.IsTrue, qt.Commentf("lowest of the slow target %.2f, highest of the fast one %.2f", lowest, highest))
	now := at(60 * time.Second)
	qt.Assert(t, fast.Slowdown(now, true) > 1.2*fast.Slowdown(now, false), qt.IsTrue, qt.Commentf("slower when nearly full"))
	_, highest = observeSpeed(&slow, random, 60*time.Second, 60*time.Second, 1/1.2, 1)
	qt.Assert(t, highest < 1/0.81, qt.IsTrue, qt.Commentf("a target that has become fast"))
	qt.Assert(t, math.Abs(slow.Slowdown(at(time.Hour), false)-1) < 0.01, qt.IsTrue, qt.Commentf("a target without requests"))
}

// Guards against prefixes of a target that has restarted, and against a memory that grows with the prompts.
func TestPrefixesAreBoundedAndForgotten(t *testing.T) {
	p := workload.NewPrefixes[string]()
	for n := range 5000 {
		p.Record(epoch, uint64(n), fmt.Sprint(n%7))
	}
	p.Record(epoch, 5, "t1")
	p.Record(epoch, 5, "t2")
	p.Forget("t1")
	readers, n := p.Readers(epoch, 5)
	qt.Assert(t, readers[:n], qt.DeepEquals, []string{"t2"}, qt.Commentf("the first 5000 have evicted the earlier reader"))
	_, n = p.Readers(at(time.Minute), 5)
	qt.Assert(t, n, qt.Equals, 0)
}
