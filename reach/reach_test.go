package reach_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
	"github.com/rosemarydyke/rosemarydyke/reach"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 150) }

const (
	roundTrip   = 2 * time.Millisecond
	dialTimeout = 150 * time.Millisecond
	// settling is the time after a change of links in which connections may fail or be attributed wrongly.
	settling = time.Second
)

// world is the links between VMs and targets as they are, which the VMs don't know.
type world struct {
	vms, targets []string
	// cut are the VMs without links, and dead the targets that accept no connection.
	cut, dead map[string]bool
	// hangs means that broken links drop packets instead of refusing connections.
	hangs bool
	paths map[string]*reach.Paths
	// naive VMs have no other path, and blame the target for each failure.
	naive bool
}

// outcome is how a dial ended.
type outcome struct {
	connected, blamed bool
	via               string
	took              time.Duration
}

func (w *world) direct(vm, target string) (ok bool, took time.Duration) {
	switch {
	case !w.cut[vm] && !w.dead[target]:
		return true, roundTrip
	case w.hangs:
		return false, dialTimeout
	default:
		return false, roundTrip
	}
}

// relayed is what a VM does that is asked to connect in place of another one.
func (w *world) relayed(now time.Time, vm, target string) (reach.RelayResult, time.Duration) {
	p := w.paths[vm]
	took := time.Duration(0)
	if !p.SkipsDirect(now, target) {
		var ok bool
		if ok, took = w.direct(vm, target); ok {
			p.RecordConnected(now.Add(took), target)
			return reach.RelayConnected, took + roundTrip
		}
		p.RecordFailed(now.Add(took), target)
	}
	if p.IsWitness(target) {
		return reach.RelayWitnessed, took + roundTrip
	}
	return reach.RelayFailed, took + roundTrip
}

// dial connects like internal/targetrelay, in simulated time.
func (w *world) dial(now time.Time, vm, target string) outcome {
	p := w.paths[vm]
	if w.naive {
		ok, took := w.direct(vm, target)
		return outcome{connected: ok, blamed: !ok, took: took}
	}
	others := slices.DeleteFunc(slices.Clone(w.vms), func(o string) bool { return o == vm })
	best := outcome{took: time.Hour}
	var failedBy time.Duration
	witnesses := 0
	for _, a := range p.Plan(now, target, others) {
		// An attempt starts when it is due, or when all before it have failed.
		start := min(a.After, failedBy)
		if start > best.took {
			break
		}
		ok, witness, took := false, false, time.Duration(0)
		if a.Via == reach.Direct {
			if ok, took = w.direct(vm, target); ok {
				p.RecordConnected(now.Add(start+took), target)
			} else {
				p.RecordFailed(now.Add(min(start+took, best.took)), target)
			}
		} else {
			var result reach.RelayResult
			result, took = w.relayed(now.Add(start), a.Via, target)
			ok, witness = result == reach.RelayConnected, result == reach.RelayWitnessed
			p.RecordRelay(now.Add(start+took), a.Via, result)
		}
		switch {
		case ok && start+took < best.took:
			best = outcome{connected: true, via: a.Via, took: start + took}
		case !ok:
			failedBy = max(failedBy, start+took)
			if witness {
				witnesses++
			}
		}
	}
	if !best.connected {
		best = outcome{blamed: p.JudgeUnreachable(target, witnesses, len(others)), took: failedBy}
	}
	return best
}

func draw(t *rapid.T, from []string, label string) map[string]bool {
	chosen := map[string]bool{}
	for _, name := range from {
		if rapid.Bool().Draw(t, label+" "+name) {
			chosen[name] = true
		}
	}
	return chosen
}

// connects checks what a VM decides against the links as they are: once it had a second to find out, each connection to a
// live target succeeds while some VM has links, within a latency objective, and no live target is blamed; dead ones are, by
// the VMs that have links; and once the links are up, they are used again.
func connects(naive bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &world{naive: naive, paths: map[string]*reach.Paths{}, cut: map[string]bool{}, dead: map[string]bool{}}
		for i := range rapid.IntRange(2, 12).Draw(t, "VMs") {
			vm := fmt.Sprintf("vm-%d", i)
			w.vms = append(w.vms, vm)
			w.paths[vm] = reach.New(reach.Config{}, rand.New(rand.NewPCG(uint64(i), 1)))
		}
		for i := range rapid.IntRange(3, 9).Draw(t, "targets") {
			w.targets = append(w.targets, fmt.Sprintf("t%d", i))
		}
		w.hangs = rapid.Bool().Draw(t, "broken links hang")
		now := time.Unix(1_000_000, 0)
		for range 4 {
			w.cut, w.dead = draw(t, w.vms, "cut"), map[string]bool{}
			if rapid.Bool().Draw(t, "one target dead") {
				w.dead[w.targets[0]] = true
			}
			changed := now
			linked := len(w.cut) < len(w.vms)
			for ; now.Sub(changed) < 3*time.Second; now = now.Add(100 * time.Millisecond) {
				for i, vm := range w.vms {
					target := w.targets[(int(now.UnixMilli()/100)+i)%len(w.targets)]
					got := w.dial(now, vm, target)
					settled := now.Sub(changed) > settling
					switch {
					case w.dead[target] && got.connected:
						t.Fatalf("connected to a dead target")
					case w.dead[target] && settled && !w.cut[vm] && len(w.cut) == 0 && !got.blamed:
						t.Fatalf("%s: the dead target %s is not blamed", vm, target)
					case w.dead[target] || !linked || !settled:
					case got.blamed:
						t.Fatalf("%s blames the live target %s; cut off are %v", vm, target, w.cut)
					case !got.connected:
						t.Fatalf("%s does not connect to %s; cut off are %v", vm, target, w.cut)
					case got.took > 100*time.Millisecond:
						t.Fatalf("%s needs %s to connect to %s; cut off are %v", vm, got.took, target, w.cut)
					}
				}
			}
			if len(w.cut) == 0 && len(w.dead) == 0 {
				for _, vm := range w.vms {
					if got := w.dial(now, vm, w.targets[0]); got.via != reach.Direct {
						t.Fatalf("%s connects by way of %s although its links work", vm, got.via)
					}
				}
			}
		}
	}
}

func TestTargetsAreReachedWhileAnyVMHasLinks(t *testing.T) {
	rapid.Check(t, connects(false))
	t.Run("which a VM that trusts its own failures does not", func(t *testing.T) { rapidtest.MustFail(t, connects(true)) })
}

func TestPlan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	type step func(p *reach.Paths)
	failed := func(target string) step { return func(p *reach.Paths) { p.RecordFailed(now, target) } }
	for name, test := range map[string]struct {
		steps []step
		after time.Duration
		vms   []string
		want  []reach.Attempt
	}{
		"direct first, others when it is slow": {nil, 0, []string{"a"}, []reach.Attempt{{}, {Via: "a", After: 40 * time.Millisecond}}},
		"another VM first once the direct path has failed": {[]step{failed("t")}, 0, []string{"a"},
			[]reach.Attempt{{Via: "a"}}},
		"both at once when the direct path is due for a recheck": {[]step{failed("t")}, time.Second, []string{"a"},
			[]reach.Attempt{{}, {Via: "a"}}},
		"other targets are not affected by one failure": {[]step{failed("u")}, 0, []string{"a"},
			[]reach.Attempt{{}, {Via: "a", After: 40 * time.Millisecond}}},
		"two failures mean that the VM is cut off": {[]step{failed("u"), failed("v"), func(p *reach.Paths) { p.Plan(now, "t", []string{"a"}) }}, 0, []string{"a"},
			[]reach.Attempt{{Via: "a"}}},
		"a VM that failed comes last": {[]step{func(p *reach.Paths) { p.RecordRelay(now, "a", reach.RelayFailed) }, func(p *reach.Paths) { p.RecordRelay(now, "c", reach.RelayConnected) }}, 0, []string{"a", "b", "c"},
			[]reach.Attempt{{}, {Via: "c", After: 40 * time.Millisecond}, {Via: "b", After: 80 * time.Millisecond}, {Via: "a", After: 120 * time.Millisecond}}},
		"alone": {[]step{failed("t")}, 0, nil, []reach.Attempt{{}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := reach.New(reach.Config{}, rand.New(rand.NewPCG(1, 2)))
			for _, s := range test.steps {
				s(p)
			}
			qt.Assert(t, p.Plan(now.Add(test.after), "t", test.vms), qt.DeepEquals, test.want)
		})
	}
}
