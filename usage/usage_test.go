package usage_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 300) }

const (
	name = "acme"
	step = 10 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// counter counts requests that arrive at VMs. counting is the index of the VM that counts.
type counter interface {
	count(now time.Time, counting, arrivedAt int, id usage.ID, limit account.Limit, version uint64, term usage.Term) bool
	tick(now time.Time, vm int)
	restart(now time.Time, vm int)
}

// central counts at the counting VM.
type central struct{ vms []*usage.Buckets }

func newCentral(vms int) counter {
	c := &central{vms: make([]*usage.Buckets, vms)}
	for i := range c.vms {
		c.restart(epoch, i)
	}
	return c
}

func (c *central) count(now time.Time, counting, _ int, id usage.ID, limit account.Limit, version uint64, term usage.Term) bool {
	return c.vms[counting].Count(now, id, name, limit, version, term).Allowed
}
func (c *central) tick(now time.Time, vm int)    { c.vms[vm].Tick(now) }
func (c *central) restart(now time.Time, vm int) { c.vms[vm] = usage.NewBuckets(now) }

// perVM is a naive counter that gives each VM its share of the limit.
type perVM struct{ central }

func newPerVM(vms int) counter { return &perVM{*newCentral(vms).(*central)} }

func (c *perVM) count(now time.Time, _, arrivedAt int, id usage.ID, limit account.Limit, version uint64, term usage.Term) bool {
	term.Share = 1 / float64(len(c.vms))
	return c.central.count(now, arrivedAt, arrivedAt, id, limit, version, term)
}

// forgetful is a naive counter whose buckets are full after a takeover and after a pause.
type forgetful struct{ central }

func newForgetful(vms int) counter { return &forgetful{*newCentral(vms).(*central)} }

func (c *forgetful) count(now time.Time, counting, arrivedAt int, id usage.ID, limit account.Limit, version uint64, term usage.Term) bool {
	term.Since = epoch.Add(-time.Hour)
	return c.central.count(now, counting, arrivedAt, id, limit, version, term)
}

func drawLimit(t *rapid.T, label string) account.Limit {
	return account.Limit{
		PerSecond: rapid.Float64Range(0.2, 60).Draw(t, label+" per second"),
		Burst:     rapid.Float64Range(0, 80).Draw(t, label+" burst"),
	}
}

// handover is a change of the counting VM.
type handover struct {
	at time.Duration
	to int
	// restarted means that the new VM has just started, and overlap that the former one goes on counting too.
	restarted bool
	overlap   time.Duration
}

// drawHandovers draws up to three changes of the counting VM, most of them within one Window. The VM that counted first
// may return after a pause, when it still has its bucket, or after a restart.
func drawHandovers(t *rapid.T) []handover {
	var list []handover
	at, left := time.Duration(0), 120
	for i := range rapid.IntRange(0, 3).Draw(t, "handovers") {
		at += time.Duration(rapid.IntRange(200, 3000).Draw(t, "ms until handover")) * time.Millisecond
		overlap := rapid.IntRange(0, left).Draw(t, "overlap ms")
		left -= overlap
		h := handover{at: at, to: i + 1, overlap: time.Duration(overlap) * time.Millisecond}
		if i == 1 && rapid.Bool().Draw(t, "the first VM returns") {
			h.to, h.restarted = 0, rapid.Bool().Draw(t, "restarted")
		}
		list = append(list, h)
	}
	return list
}

// capHolds checks the limit over sliding windows under any load, with takeovers, two VMs that count for a moment, pauses,
// restarts, repeated questions and a change of the limit.
func capHolds(newCounter func(vms int) counter) func(*rapid.T) {
	return func(t *rapid.T) {
		first := drawLimit(t, "limit")
		limit, next, version := first, first, uint64(1)
		changeAt := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms until the limit changes")) * time.Millisecond
		if changeAt < 12*time.Second {
			next = drawLimit(t, "next limit")
		}
		handovers := drawHandovers(t)
		demand := rapid.SliceOfN(rapid.IntRange(0, 12), 24, 24).Draw(t, "demand per step, in tenths")
		saturated := rapid.Bool().Draw(t, "saturated")
		c := newCounter(4)
		terms := make([]usage.Term, 4)
		terms[0] = usage.Term{Since: epoch.Add(-time.Hour), Takeovers: 1, Share: 1}
		counting, former, overlapUntil := 0, 0, time.Duration(0)
		// departed holds the last time at which each VM ceased to count, as far as the others know.
		departed := map[int]time.Duration{}
		var allowed []time.Duration
		wanted, sequence, done := 0.0, uint64(0), 0
		for at := time.Duration(0); at < 12*time.Second; at += step {
			now := epoch.Add(at)
			if at >= changeAt {
				limit, version = next, 2
			}
			if done < len(handovers) && at >= handovers[done].at {
				h := handovers[done]
				done++
				departed[counting] = at
				counting, former, overlapUntil = h.to, counting, at+h.overlap
				switch {
				case h.restarted:
					c.restart(now, h.to)
					terms[h.to] = usage.TermOf(name, member.Member{VM: "vm"}, now, nil)
				case h.to != 0:
					terms[h.to] = usage.Term{Since: now, Takeovers: 0, Share: 1}
					for _, gone := range departed {
						if at-gone < usage.Window {
							terms[h.to].Takeovers++
						}
					}
				}
			}
			c.tick(now, counting)
			if wanted += float64(demand[at/(500*time.Millisecond)]) / 10; saturated {
				wanted += 2
			}
			for ; wanted >= 1; wanted-- {
				sequence++
				vm := counting
				if at < overlapUntil && sequence%2 == 0 {
					vm = former
				}
				id := usage.ID{Process: 1, Sequence: sequence}
				ok := c.count(now, vm, int(sequence)%4, id, limit, version, terms[vm])
				if repeated := c.count(now, vm, int(sequence)%4, id, limit, version, terms[vm]); repeated != ok {
					t.Fatalf("the repeated question %d got another answer", sequence)
				}
				if ok {
					allowed = append(allowed, at)
				}
			}
		}
		checkWindows(t, allowed, changeAt, first, next)
	}
}

// checkWindows compares the requests of each window with the limits in force in it.
func checkWindows(t *rapid.T, allowed []time.Duration, changeAt time.Duration, first, next account.Limit) {
	start := 0
	for i, at := range allowed {
		for at-allowed[start] > usage.Window {
			start++
		}
		limit := first
		if at >= changeAt {
			limit = account.Limit{PerSecond: max(first.PerSecond, next.PerSecond), Burst: max(first.Burst, next.Burst)}
		}
		if allowed[start] >= changeAt {
			limit = next
		}
		if got, most := float64(i-start+1), (limit.PerSecond*5+limit.Burst)*1.1+20; got > most {
			t.Fatalf("%.0f requests in the 5 s before %s, %.1f permitted", got, at, most)
		}
	}
}

func TestLimitHoldsOverSlidingWindows(t *testing.T) {
	rapid.Check(t, capHolds(newCentral))
	t.Run("which a counter that fills its bucket at a takeover does not", func(t *testing.T) {
		rapidtest.MustFail(t, capHolds(newForgetful))
	})
}

// belowCapIsServed checks that no request below the limit is refused: the demand is what an exact bucket of the limit allows, through
// all VMs, with repeated questions, returns, idle times in which the bucket is dropped, and a raised limit.
func belowCapIsServed(newCounter func(vms int) counter) func(*rapid.T) {
	return func(t *rapid.T) {
		limit := drawLimit(t, "limit")
		raiseAt := time.Duration(rapid.IntRange(0, 40).Draw(t, "half seconds until the limit is raised")) * 500 * time.Millisecond
		busy := rapid.SliceOfN(rapid.Bool(), 24, 24).Draw(t, "half seconds with demand")
		c := newCounter(4)
		term := usage.Term{Since: epoch.Add(-time.Hour), Takeovers: 1, Share: 1}
		oracle, sequence, version := max(limit.Burst, 1), uint64(0), uint64(1)
		for at := time.Duration(0); at < 12*time.Second; at += step {
			now := epoch.Add(at)
			if at > 0 {
				oracle = min(oracle+limit.PerSecond*step.Seconds(), max(limit.Burst, 1))
			}
			if version == 1 && at >= raiseAt && busy[at/(500*time.Millisecond)] {
				// Buckets apply a limit when they get a question with it, which is within the 3 s that a new version takes.
				limit.PerSecond *= 1.5
				limit.Burst += 7
				oracle += max(limit.Burst, 1) - max(limit.Burst-7, 1)
				version++
			}
			c.tick(now, 0)
			// A margin for rounding: the oracle adds the tokens of each step by itself.
			for oracle >= 1+1e-6 && busy[at/(500*time.Millisecond)] {
				sequence++
				oracle--
				id := usage.ID{Process: 1, Sequence: sequence}
				for range 2 {
					if !c.count(now, 0, int(sequence)%4, id, limit, version, term) {
						t.Fatalf("request %d at %s was refused below the limit %+v", sequence, at, limit)
					}
				}
			}
		}
	}
}

func TestRequestBelowTheLimitIsNotRefused(t *testing.T) {
	rapid.Check(t, belowCapIsServed(newCentral))
	t.Run("which a share for each VM fails", func(t *testing.T) {
		rapidtest.MustFail(t, belowCapIsServed(newPerVM))
	})
}

// A request that was not run must not use up the limit, and a repeated or late message must not give back more.
func TestReturnAndCancel(t *testing.T) {
	limit, term := account.Limit{PerSecond: 0.01, Burst: 2}, usage.Term{Since: epoch.Add(-time.Hour), Takeovers: 1, Share: 1}
	b := usage.NewBuckets(epoch)
	count := func(sequence uint64) bool {
		return b.Count(epoch, usage.ID{Process: 1, Sequence: sequence}, name, limit, 1, term).Allowed
	}
	qt.Assert(t, []bool{count(1), count(2), count(3)}, qt.DeepEquals, []bool{true, true, false})
	for range 3 {
		b.Return(epoch, usage.ID{Process: 1, Sequence: 100}, name)
		b.Cancel(epoch, usage.ID{Process: 1, Sequence: 2}, name)
		b.Cancel(epoch, usage.ID{Process: 1, Sequence: 50}, name)
	}
	qt.Assert(t, []bool{count(4), count(5), count(6)}, qt.DeepEquals, []bool{true, true, false})
	qt.Assert(t, count(50), qt.IsFalse, qt.Commentf("a question that arrives after its cancellation"))
}

// Buckets and decisions must stay bounded, and a bucket that is full again must be dropped.
func TestMemoryIsBounded(t *testing.T) {
	b := usage.NewBuckets(epoch)
	now := epoch
	for i := range 40_000 {
		b.Count(now, usage.ID{Sequence: uint64(i)}, fmt.Sprint("a", i), account.Limit{PerSecond: 1, Burst: 3}, 1, usage.Term{Since: epoch, Takeovers: 1, Share: 1})
	}
	qt.Assert(t, b.Len() <= 16_384, qt.IsTrue)
	for range 30 {
		now = now.Add(200 * time.Millisecond)
		b.Tick(now)
	}
	qt.Assert(t, b.Len(), qt.Equals, 0)
}

// A VM that joins, leaves or does not answer must change the counting VM of few accounts, and departures of VMs that
// rank above must begin a new term.
func TestRankAndTerm(t *testing.T) {
	var members []member.Member
	for i := range 12 {
		members = append(members, member.Member{VM: fmt.Sprint("vm", i), State: member.Alive})
	}
	nobody := func(string) (bool, bool) { return false, false }
	full := usage.Rank(name, members, nobody)
	qt.Assert(t, full.VMs, qt.HasLen, 3)
	first, second := full.VMs[0], full.VMs[1]
	for _, counts := range []bool{true, false} {
		r := usage.Rank(name, members, func(vm string) (bool, bool) { return vm == first.VM, counts })
		qt.Assert(t, r.VMs[0].VM, qt.Equals, second.VM)
		qt.Assert(t, r.Deputy, qt.Equals, counts, qt.Commentf("a VM of an older build is not one that may count"))
	}
	started := epoch.Add(-time.Hour)
	departures := []usage.Departure{{Member: first, At: epoch}, {Member: full.VMs[2], At: epoch.Add(time.Second)}}
	qt.Assert(t, usage.TermOf(name, second, started, departures), qt.Equals, usage.Term{Since: epoch, Takeovers: 1, Share: 1})
	qt.Assert(t, usage.TermOf(name, full.VMs[2], started, []usage.Departure{{Member: first, At: epoch}, {Member: second, At: epoch.Add(time.Second)}}),
		qt.Equals, usage.Term{Since: epoch.Add(time.Second), Takeovers: 2, Share: 1})
	qt.Assert(t, usage.TermOf(name, first, started, departures), qt.Equals, usage.Term{Since: started, Takeovers: 2, Share: 1})
}
