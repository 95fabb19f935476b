package target

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

var start = time.Unix(1000, 0)

func newGroup(names ...string) *HealthGroup {
	g := NewHealthGroup(HealthConfig{})
	g.SetTargets(names)
	return g
}

func stateOf(g *HealthGroup, name string) State {
	state, _ := g.State(name)
	return state
}

func TestSignalsThatEject(t *testing.T) {
	tests := map[string]struct {
		signals []Signal
		want    State
	}{
		"one failed connection ejects":     {[]Signal{Unreachable}, Ejected},
		"one refusal ejects":               {[]Signal{Refused}, Ejected},
		"two interruptions do not eject":   {[]Signal{Interrupted, Interrupted}, Healthy},
		"three consecutive failures eject": {[]Signal{Interrupted, TimedOut, Interrupted}, Ejected},
		"a success resets the count":       {[]Signal{Interrupted, Interrupted, Succeeded, Interrupted, Interrupted}, Healthy},
		"successes alone change nothing":   {[]Signal{Succeeded, Succeeded}, Healthy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup("a", "b")
			for _, signal := range test.signals {
				g.Observe(start, "a", signal, 0)
			}
			qt.Assert(t, stateOf(g, "a"), qt.Equals, test.want)
		})
	}
}

func TestSlowTargetIsEjected(t *testing.T) {
	g := newGroup("a", "b", "c")
	for range 20 {
		g.Observe(start, "a", Succeeded, 3*time.Second)
		g.Observe(start, "b", Succeeded, 200*time.Millisecond)
		g.Observe(start, "c", Succeeded, 300*time.Millisecond)
	}
	qt.Assert(t, stateOf(g, "a"), qt.Equals, Ejected)
	qt.Assert(t, stateOf(g, "b"), qt.Equals, Healthy)
}

func TestEjectedTargetReturnsThroughProbeAndSlowStart(t *testing.T) {
	g := newGroup("a", "b")
	g.Observe(start, "a", Unreachable, 0)
	qt.Assert(t, g.Share(start, "a"), qt.Equals, 0.0)
	qt.Assert(t, g.DueProbes(start), qt.HasLen, 0)
	now := start.Add(time.Second)
	qt.Assert(t, g.DueProbes(now), qt.DeepEquals, []string{"a"})
	g.RecordProbe(now, "a", false)
	qt.Assert(t, g.DueProbes(now.Add(time.Second)), qt.HasLen, 0)
	now = now.Add(2 * time.Second)
	qt.Assert(t, g.DueProbes(now), qt.DeepEquals, []string{"a"})
	g.RecordProbe(now, "a", true)
	qt.Assert(t, g.Share(now, "a"), qt.Equals, 0.1)
	qt.Assert(t, g.Share(now.Add(5*time.Second), "a"), qt.Equals, 0.5)
	g.Observe(now.Add(10*time.Second), "a", Succeeded, 0)
	qt.Assert(t, stateOf(g, "a"), qt.Equals, Healthy)
}

func TestTargetInSlowStartIsEjectedByOneFailure(t *testing.T) {
	g := newGroup("a", "b")
	g.Observe(start, "a", Unreachable, 0)
	now := start.Add(time.Second)
	g.DueProbes(now)
	g.RecordProbe(now, "a", true)
	qt.Assert(t, stateOf(g, "a"), qt.Equals, SlowStart)
	g.Observe(now, "a", Interrupted, 0)
	state, reason := g.State("a")
	qt.Assert(t, state, qt.Equals, Ejected)
	qt.Assert(t, reason, qt.Equals, "breaks off responses or responds with errors")
}

func TestLeavingTargetTakesNoWork(t *testing.T) {
	g := newGroup("a", "b")
	g.SetLeaving("a", "listed")
	qt.Assert(t, g.Share(start, "a"), qt.Equals, 0.0)
	g.SetLeaving("a", "")
	qt.Assert(t, g.Share(start, "a"), qt.Equals, 1.0)
	qt.Assert(t, stateOf(g, "unknown"), qt.Equals, Leaving)
}

// ejectionProperty asserts that at least half of a group stays in use, whatever its targets' failures.
func ejectionProperty(config HealthConfig) func(t *rapid.T) {
	return func(t *rapid.T) {
		g := NewHealthGroup(config)
		size := rapid.IntRange(1, 9).Draw(t, "size")
		var names []string
		for i := range size {
			names = append(names, fmt.Sprint(i))
		}
		g.SetTargets(names)
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			name := names[rapid.IntRange(0, size-1).Draw(t, "target")]
			signal := Signal(rapid.IntRange(int(Succeeded), int(TimedOut)).Draw(t, "signal"))
			g.Observe(now, name, signal, time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms"))*time.Millisecond)
			now = now.Add(100 * time.Millisecond)
			for _, due := range g.DueProbes(now) {
				g.RecordProbe(now, due, rapid.Bool().Draw(t, "ok"))
			}
			inUse := 0
			for _, n := range names {
				if g.Share(now, n) > 0 {
					inUse++
				}
			}
			if 2*inUse < size {
				t.Fatalf("only %d of %d targets are in use", inUse, size)
			}
		}
	}
}

func TestEjectionKeepsHalfOfGroupInUse(t *testing.T) {
	rapid.Check(t, ejectionProperty(HealthConfig{}))
	rapidtest.MustFail(t, ejectionProperty(HealthConfig{MaxEjected: 1}))
}

func TestPacerDecreasesAboveHighRatioAndIncreasesBelowLowRatio(t *testing.T) {
	p := NewPacer(PacerConfig{}, 10)
	now := start
	observe := func(n int, firstToken time.Duration) {
		for range n {
			now = now.Add(500 * time.Millisecond)
			p.Observe(now, firstToken, 0)
		}
	}
	observe(5, 100*time.Millisecond)
	qt.Assert(t, p.Limit(), qt.Equals, 10)
	observe(4, 400*time.Millisecond)
	reduced := p.Limit()
	qt.Assert(t, reduced < 8, qt.IsTrue, qt.Commentf("%d", reduced))
	observe(40, 100*time.Millisecond)
	qt.Assert(t, p.Limit(), qt.Equals, 10)
}

func TestPacerKeepsLimitBetweenRatios(t *testing.T) {
	p := NewPacer(PacerConfig{}, 10)
	p.limit = 5
	p.firstToken = ratio{current: 0.175, baseline: 0.1}
	for i := range 10 {
		p.Observe(start.Add(time.Duration(i)*time.Second), 175*time.Millisecond, 0)
	}
	qt.Assert(t, p.Limit(), qt.Equals, 5)
}

func TestPacerUsesLoadReportsOnlyWithoutFreshObservations(t *testing.T) {
	p := NewPacer(PacerConfig{}, 10)
	p.Observe(start, 100*time.Millisecond, 0)
	p.Report(start.Add(time.Second), 3)
	qt.Assert(t, p.Limit(), qt.Equals, 10)
	p.Report(start.Add(6*time.Second), 3)
	qt.Assert(t, p.Limit(), qt.Equals, 7)
}
