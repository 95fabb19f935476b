package ratelimit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/ratelimit"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 300) }

var epoch = time.Unix(1_000_000, 0)

// granter is the limit as one coordinator keeps it.
type granter interface {
	Observe(now time.Time, statement ratelimit.Statement) bool
	Available(now time.Time) int
	Take(now time.Time)
}

// perVM is a naive granter that allows each of several VMs the whole rate.
type perVM struct {
	limiters [4]ratelimit.Limiter
	next     int
}

func (p *perVM) Observe(now time.Time, s ratelimit.Statement) bool {
	for i := range p.limiters {
		p.limiters[i].Observe(now, s)
	}
	return true
}
func (p *perVM) Available(now time.Time) int { return p.limiters[p.next].Available(now) }
func (p *perVM) Take(now time.Time) {
	p.limiters[p.next].Take(now)
	p.next = (p.next + 1) % len(p.limiters)
}

// limitHolds checks a limit under any load against what the target may count: in each window of 4 s at most one and a half
// times the limit and 5 more, also while a second coordinator grants too for up to a second. A demand that lasts is served
// at the stated rate.
func limitHolds(newGranter func() granter) func(*rapid.T) {
	return func(t *rapid.T) {
		const window, overlap, step = 4 * time.Second, time.Second, 5 * time.Millisecond
		perSecond := rapid.Float64Range(0.2, 40).Draw(t, "requests per second")
		takeover := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "takeover ms")) * time.Millisecond
		// The demand is drawn anew each half second, from none to far above the limit.
		demand := rapid.SliceOfN(rapid.IntRange(0, 20), 24, 24).Draw(t, "demand per step, in tenths")
		saturated := rapid.Bool().Draw(t, "saturated")
		former, latter := newGranter(), newGranter()
		statement := ratelimit.Statement{PerSecond: perSecond, At: epoch}
		former.Observe(epoch, statement)
		var taken []time.Duration
		wanted := 0.0
		for at := time.Duration(0); at < 12*time.Second; at += step {
			now := epoch.Add(at)
			granters := []granter{former}
			if at >= takeover {
				latter.Observe(now, statement)
				granters = []granter{former, latter}[min(int(at/(takeover+overlap)), 1):]
			}
			wanted = min(wanted+float64(demand[at/(500*time.Millisecond)])/10, 50)
			if saturated {
				wanted = 50
			}
			for _, g := range granters {
				for ; wanted >= 1 && g.Available(now) > 0; wanted-- {
					g.Take(now)
					taken = append(taken, at)
				}
			}
		}
		first, allowed := 0, 1.5*perSecond*window.Seconds()+5
		for i, at := range taken {
			for at-taken[first] > window {
				first++
			}
			if got := i - first + 1; float64(got) > allowed {
				t.Fatalf("%d requests in the 4 s before %s, %.1f allowed", got, at, allowed)
			}
		}
		// The new coordinator begins with an empty bucket.
		if least := int(math.Floor(perSecond*10)) - 2; saturated && len(taken) < least {
			t.Fatalf("%d requests in 12 s of demand, at least %d expected", len(taken), least)
		}
	}
}

func TestLimitHoldsUnderAnyLoad(t *testing.T) {
	rapid.Check(t, limitHolds(func() granter { return &ratelimit.Limiter{} }))
	t.Run("which a limit that each VM keeps by itself does not", func(t *testing.T) {
		rapidtest.MustFail(t, limitHolds(func() granter { return &perVM{} }))
	})
}

func TestNewestStatementIsInForce(t *testing.T) {
	type stated struct {
		at        time.Duration
		perSecond float64
	}
	for name, test := range map[string]struct {
		statements []stated
		want       float64
	}{
		"none":                      {nil, 0},
		"a limit":                   {[]stated{{1, 3}}, 3},
		"a lower limit":             {[]stated{{1, 3}, {2, 1}}, 1},
		"an end":                    {[]stated{{1, 3}, {2, 0}}, 0},
		"a limit that arrives late": {[]stated{{2, 0}, {1, 3}}, 0},
		"an end that arrives late":  {[]stated{{1, 3}, {3, 2}, {2, 0}}, 2},
		"a limit that is reported by a second VM": {[]stated{{1, 3}, {1, 3}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			var limiter ratelimit.Limiter
			for _, s := range test.statements {
				at := epoch.Add(s.at * time.Second)
				limiter.Observe(at, ratelimit.Statement{PerSecond: s.perSecond, At: at})
			}
			qt.Assert(t, limiter.Statement().PerSecond, qt.Equals, test.want)
			qt.Assert(t, limiter.Limited(), qt.Equals, test.want > 0)
			now := epoch.Add(time.Minute)
			if test.want == 0 {
				qt.Assert(t, limiter.Available(now), qt.Equals, math.MaxInt)
				qt.Assert(t, limiter.Capacity(8, time.Second), qt.Equals, 8.0)
				return
			}
			qt.Assert(t, limiter.Capacity(8, time.Second), qt.Equals, test.want)
			limiter.Take(now)
			qt.Assert(t, limiter.Wait(now, 2).Round(time.Millisecond), qt.Equals, time.Duration(float64(2-limiter.Available(now))/test.want*float64(time.Second)).Round(time.Millisecond))
		})
	}
}

func TestStatements(t *testing.T) {
	at := func(seconds int, perSecond float64) ratelimit.Statement {
		return ratelimit.Statement{PerSecond: perSecond, At: epoch.Add(time.Duration(seconds) * time.Second)}
	}
	t.Run("of targets that state no limit take no memory", func(t *testing.T) {
		s := ratelimit.NewStatements()
		qt.Assert(t, s.Record("a", at(1, 0)), qt.IsFalse)
		qt.Assert(t, s.Recent(epoch), qt.HasLen, 0)
	})
	t.Run("are recorded in the order of the responses", func(t *testing.T) {
		s := ratelimit.NewStatements()
		qt.Assert(t, s.Record("a", at(2, 3)), qt.IsTrue)
		qt.Assert(t, s.Record("a", at(1, 0)), qt.IsFalse)
		qt.Assert(t, s.Record("a", at(3, 3)), qt.IsFalse)
		qt.Assert(t, s.Record("a", at(4, 0)), qt.IsTrue)
		statement, _ := s.Of("a")
		qt.Assert(t, statement, qt.Equals, at(4, 0))
	})
	t.Run("are reported with the newest first, and forgotten when they are old or their target is gone", func(t *testing.T) {
		s := ratelimit.NewStatements()
		for i := range 5 {
			s.Record(fmt.Sprint("t", i), at(i, 1))
		}
		s.Forget("t3")
		qt.Assert(t, s.Recent(epoch.Add(61500*time.Millisecond)), qt.DeepEquals, []string{"t4", "t2"})
	})
}
