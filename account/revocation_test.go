package account

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 300) }

const testBound = 5 * time.Second

// variant is an implementation that the property must reject, except for the first one.
type variant uint8

const (
	correct variant = iota
	// monotonicClock measures ages on a clock that stands still while the VM is frozen.
	monotonicClock
	// ageOfLastHop counts the age of a peer's copy from the peer's answer.
	ageOfLastHop
	// confirmedAtReceipt takes the copy for complete as of the receipt of the store's answer.
	confirmedAtReceipt
	// oldCopyIsFresh takes the copy of a peer that states no age for one that was confirmed when it was sent.
	oldCopyIsFresh
)

// answer is a copy that is under way to a VM: asked for, then taken at its source, then delivered.
type answer struct {
	from         int // Index of a VM, or -1 for the store.
	asked        time.Duration
	trulyAsked   time.Duration
	taken        bool
	version      int
	confirmation Confirmation
	trueAt       time.Duration
}

type simulatedVM struct {
	oldBuild    bool
	rate        float64
	frozenUntil time.Duration
	frozenTotal time.Duration
	tracker     *ConfirmationTracker
	version     int
	pending     *answer
	// trueAt is the true time to which the copy is confirmed, or negative.
	trueAt time.Duration
}

// world knows what the store acknowledged and when. Version v of the configuration has only the key v.
type world struct {
	variant variant
	now     time.Duration
	acked   []time.Duration
	tables  []*Directory
	vms     []*simulatedVM
}

func (w *world) publish() {
	v := len(w.tables)
	d, err := NewDirectory([]Entry{{Account: Account{Name: "a"}, Keys: []Digest{DigestOf(fmt.Sprint(v))}}})
	if err != nil {
		panic(err)
	}
	w.acked, w.tables = append(w.acked, w.now), append(w.tables, d)
}

func (w *world) clock(vm *simulatedVM) time.Duration {
	t := w.now
	if w.variant == monotonicClock {
		t -= vm.frozenTotal
	}
	return time.Duration(vm.rate * float64(t))
}

func (w *world) take(a *answer) {
	a.taken = true
	if a.from < 0 {
		a.version, a.trueAt = len(w.tables)-1, a.trulyAsked
		return
	}
	peer := w.vms[a.from]
	// The time on the way to the peer counts twice, because the receiver does not know it.
	a.version, a.confirmation, a.trueAt = peer.version, peer.tracker.Confirmation(w.clock(peer)), peer.trueAt-(w.now-a.trulyAsked)
	if peer.oldBuild {
		a.confirmation = Confirmation{Known: w.variant == oldCopyIsFresh}
		a.trueAt = -1
	} else if w.variant == ageOfLastHop {
		a.confirmation.Age = 0
	}
}

func (w *world) deliver(vm *simulatedVM, a *answer) {
	if a.version < 0 {
		return
	}
	vm.version, vm.trueAt = max(vm.version, a.version), max(vm.trueAt, a.trueAt)
	switch {
	case a.from >= 0:
		vm.tracker.Copied(a.asked, a.confirmation)
	case w.variant == confirmedAtReceipt:
		vm.tracker.Answered(w.clock(vm))
	default:
		vm.tracker.Answered(a.asked)
	}
}

// request sends a request with each recent key to a VM, and compares the answers with what the store has acknowledged.
func (w *world) request(t *rapid.T, vm *simulatedVM) {
	if vm.version < 0 {
		return
	}
	confirmation := vm.tracker.Confirmation(w.clock(vm))
	for v := max(0, len(w.tables)-4); v < len(w.tables); v++ {
		_, reason := Revocation{testBound}.Authorize(w.tables[vm.version], confirmation, Credentials{Present: true, Valid: true, Key: DigestOf(fmt.Sprint(v))})
		if reason == "" && v+1 < len(w.tables) && w.now > w.acked[v+1]+testBound {
			t.Fatalf("accepted a key that was removed %s ago by a copy of age %s", w.now-w.acked[v+1], confirmation.Age)
		}
		// The clocks differ in rate by 2%.
		if age := w.now - vm.trueAt; reason != "" && v == vm.version && vm.trueAt >= 0 && age < testBound-revocationMargin-testBound/50 {
			t.Fatalf("refused a valid key for %q by a copy that was confirmed %s ago", reason, age)
		}
	}
}

func revocationProperty(variant variant) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &world{variant: variant}
		w.publish()
		start := func(vm *simulatedVM) {
			vm.tracker, vm.version, vm.pending, vm.trueAt = NewConfirmationTracker(), -1, nil, -1
		}
		for i := range 4 {
			vm := &simulatedVM{oldBuild: i == 3, rate: 0.99 + 0.01*float64(i%3)}
			start(vm)
			w.vms = append(w.vms, vm)
		}
		awake := func(t *rapid.T) *simulatedVM {
			vm := rapid.SampledFrom(w.vms).Draw(t, "vm")
			if w.now < vm.frozenUntil {
				t.Skip("frozen")
			}
			return vm
		}
		ask := func(t *rapid.T, vm *simulatedVM) {
			vm.pending = &answer{from: rapid.IntRange(-1, len(w.vms)-1).Draw(t, "from"), asked: w.clock(vm), trulyAsked: w.now}
		}
		wait := func(t *rapid.T, limit int) time.Duration {
			return time.Duration(rapid.IntRange(1, limit).Draw(t, "ms")) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { w.publish() },
			"wait":    func(t *rapid.T) { w.now += wait(t, 3000) },
			"freeze": func(t *rapid.T) {
				vm, d := awake(t), wait(t, 8000)
				vm.frozenUntil, vm.frozenTotal = w.now+d, vm.frozenTotal+d
			},
			"restart": func(t *rapid.T) { start(awake(t)) },
			// A cut, a store that turns a VM away and a lost message are answers that are replaced before they are delivered.
			"ask": func(t *rapid.T) { ask(t, awake(t)) },
			"call": func(t *rapid.T) {
				vm := awake(t)
				if ask(t, vm); vm.pending.from < 0 || w.now >= w.vms[vm.pending.from].frozenUntil {
					w.take(vm.pending)
					w.deliver(vm, vm.pending)
				}
				vm.pending = nil
			},
			"take": func(t *rapid.T) {
				a := rapid.SampledFrom(w.vms).Draw(t, "vm").pending
				if a != nil && !a.taken && (a.from < 0 || w.now >= w.vms[a.from].frozenUntil) {
					w.take(a)
				}
			},
			"deliver": func(t *rapid.T) {
				if vm := awake(t); vm.pending != nil && vm.pending.taken {
					w.deliver(vm, vm.pending)
					vm.pending = nil
				}
			},
			// Requests are sent to each VM after each action.
			"": func(t *rapid.T) {
				for _, vm := range w.vms {
					if w.now >= vm.frozenUntil {
						w.request(t, vm)
					}
				}
			},
		})
	}
}

func TestNoRemovedKeyIsAcceptedAfterTheBound(t *testing.T) {
	rapid.Check(t, revocationProperty(correct))
	for _, naive := range []variant{monotonicClock, ageOfLastHop, confirmedAtReceipt, oldCopyIsFresh} {
		rapidtest.MustFail(t, revocationProperty(naive))
	}
}

// New clients must be sent elsewhere before a VM has to refuse them.
func TestVMIsUnlistedBeforeItRefusesKeys(t *testing.T) {
	r := Revocation{testBound}
	for _, test := range []struct {
		c               Confirmation
		listed, accepts bool
	}{
		{Confirmation{Age: 2999 * time.Millisecond, Known: true}, true, true},
		{Confirmation{Age: 3 * time.Second, Known: true}, false, true},
		{Confirmation{Age: testBound - revocationMargin, Known: true}, false, false},
		{Confirmation{}, false, false},
	} {
		qt.Assert(t, r.Listed(test.c), qt.Equals, test.listed)
		qt.Assert(t, r.AcceptsKeys(test.c), qt.Equals, test.accepts)
	}
	qt.Assert(t, Revocation{}.AcceptsKeys(Confirmation{}) && Revocation{}.Listed(Confirmation{}), qt.IsTrue)
}

// Key lookup, usage limit and queue order together may take 5 microseconds per request.
func BenchmarkAuthorize(b *testing.B) {
	var entries []Entry
	for i := range 4100 {
		entries = append(entries, Entry{Account: Account{Name: fmt.Sprint(i)}, Keys: []Digest{DigestOf(fmt.Sprintf("key-%d-%032d", i, i))}})
	}
	d, err := NewDirectory(entries)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprintf("key-%d-%032d", i%4100, i%4100)
		if _, reason := (Revocation{testBound}).Authorize(d, Confirmation{Known: true}, Credentials{Present: true, Valid: true, Key: DigestOf(key)}); reason != "" {
			b.Fatal(reason)
		}
	}
}
