package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// settled returns a ledger that grants batch slots already, and the time then.
func settled(slots int) (*Ledger, time.Time) {
	return NewLedger(LedgerConfig{}, slots, start), start.Add(time.Minute)
}

func ask(holder string, sequence uint64, held, inUse, want int) CreditRequest {
	return CreditRequest{Holder: holder, Session: 1, Sequence: sequence, Held: held, InUse: inUse, Want: want}
}

func grantBatch(l *Ledger, n int) {
	for id := range uint64(n) {
		l.GrantBatch(id + 1)
	}
}

func TestANewOwnerWaitsBeforeItGrantsBatchSlots(t *testing.T) {
	l := NewLedger(LedgerConfig{}, 8, start)
	qt.Assert(t, l.AvailableBatchSlots(start.Add(2*time.Second), 8), qt.Equals, 0)
	qt.Assert(t, l.AvailableBatchSlots(start.Add(3*time.Second), 8), qt.Equals, 8)
}

func TestOnlineRequestsTakeTheNewestBatchSlots(t *testing.T) {
	l, now := settled(4)
	grantBatch(l, 4)
	answer, revoke := l.HandleRequest(now, ask("a", 1, 0, 0, 2))
	qt.Assert(t, answer.Granted, qt.Equals, 0)
	qt.Assert(t, revoke, qt.DeepEquals, []uint64{4, 3})
	_, again := l.HandleRequest(now, ask("a", 1, 0, 0, 2))
	qt.Assert(t, again, qt.HasLen, 0)
	qt.Assert(t, l.PendingReclaim("a"), qt.Equals, 2)
	l.ReleaseBatch(4)
	answer, _ = l.HandleRequest(now, ask("a", 1, 0, 0, 2))
	qt.Assert(t, answer.Granted, qt.Equals, 1)
	qt.Assert(t, l.AvailableBatchSlots(now, 4), qt.Equals, 0)
}

func TestObtainableLeavesOutWhatOthersWaitFor(t *testing.T) {
	l, now := settled(8)
	grantBatch(l, 6)
	answer, _ := l.HandleRequest(now, ask("a", 1, 0, 0, 1))
	qt.Assert(t, answer.Obtainable, qt.Equals, 7)
	_, _ = l.HandleRequest(now, ask("b", 1, 0, 0, 4))
	answer, _ = l.HandleRequest(now, ask("a", 2, 1, 1, 1))
	qt.Assert(t, answer.Obtainable, qt.Equals, 3)
	qt.Assert(t, answer.Scarce, qt.IsTrue)
}

func TestHeadroomFollowsTheLargestRecentBurstUpToItsBound(t *testing.T) {
	l, now := settled(64)
	qt.Assert(t, l.AvailableBatchSlots(now, 64), qt.Equals, 64)
	_, _ = l.HandleRequest(now, ask("a", 1, 0, 0, 0))
	_, _ = l.HandleRequest(now, ask("a", 2, 0, 0, 3))
	qt.Assert(t, l.Headroom(now), qt.Equals, 3)
	_, _ = l.HandleRequest(now, ask("a", 3, 0, 0, 20))
	qt.Assert(t, l.Headroom(now), qt.Equals, 4)
	qt.Assert(t, l.Headroom(now.Add(20*time.Second)), qt.Equals, 0)
}

func TestOneSuspectHasTheRightToRunAtATime(t *testing.T) {
	l, now := settled(8)
	suspect := func(holder string, sequence, fingerprint uint64) uint64 {
		a := ask(holder, sequence, 0, 0, 1)
		a.Suspect = fingerprint
		answer, _ := l.HandleRequest(now, a)
		return answer.Suspect
	}
	qt.Assert(t, suspect("a", 1, 7), qt.Equals, uint64(7))
	qt.Assert(t, suspect("b", 1, 8), qt.Equals, uint64(0))
	qt.Assert(t, l.CanRunSuspect(), qt.IsFalse)
	qt.Assert(t, suspect("a", 2, 0), qt.Equals, uint64(0))
	qt.Assert(t, suspect("b", 2, 8), qt.Equals, uint64(8))
	l.Expire(now.Add(time.Minute), func(string) bool { return true })
	l.GrantSuspectBatch(1)
	qt.Assert(t, suspect("a", 3, 7), qt.Equals, uint64(0))
	l.ReleaseBatch(1)
	qt.Assert(t, suspect("a", 4, 7), qt.Equals, uint64(7))
}

func TestARestartedHolderGivesUpWhatItsFormerProcessHad(t *testing.T) {
	l, now := settled(4)
	_, _ = l.HandleRequest(now, ask("a", 5, 0, 0, 4))
	restarted := ask("a", 1, 0, 0, 1)
	restarted.Session = 2
	answer, _ := l.HandleRequest(now, restarted)
	qt.Assert(t, answer.Granted, qt.Equals, 1)
	qt.Assert(t, l.Usage().Credits, qt.Equals, 1)
}

func TestFairShares(t *testing.T) {
	tests := map[string]struct {
		slots int
		wants []int
		want  map[string]int
	}{
		"everybody gets what little it wants": {8, []int{1, 2}, map[string]int{"a": 1, "b": 2}},
		"equal wants get equal shares":        {8, []int{9, 9}, map[string]int{"a": 4, "b": 4}},
		"what one leaves the others divide":   {9, []int{1, 20, 20}, map[string]int{"a": 1, "b": 4, "c": 4}},
		"what does not divide goes by name":   {4, []int{5, 5, 5}, map[string]int{"a": 2, "b": 1, "c": 1}},
		"no slots are no share":               {0, []int{5}, map[string]int{"a": 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var demands []demand
			for i, want := range test.wants {
				demands = append(demands, demand{string(rune('a' + i)), want})
			}
			qt.Assert(t, fairShares(test.slots, demands), qt.DeepEquals, test.want)
		})
	}
}
