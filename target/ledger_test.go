package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// settledLedger returns a ledger whose BatchGrantDelay has passed, and the current time.
func settledLedger(slots int) (*Ledger, time.Time) {
	return NewLedger(LedgerConfig{}, slots, start), start.Add(time.Minute)
}

func creditRequest(holder string, sequence uint64, held, inUse, want int) CreditRequest {
	return CreditRequest{Holder: holder, Session: 1, Sequence: sequence, Held: held, InUse: inUse, Want: want}
}

func grantBatch(l *Ledger, n int) {
	for id := range uint64(n) {
		l.GrantBatch(id + 1)
	}
}

func TestNewOwnerDelaysBatchGrants(t *testing.T) {
	l := NewLedger(LedgerConfig{}, 8, start)
	qt.Assert(t, l.AvailableBatchSlots(start.Add(2*time.Second), 8), qt.Equals, 0)
	qt.Assert(t, l.AvailableBatchSlots(start.Add(3*time.Second), 8), qt.Equals, 8)
}

func TestOnlineRequestsRevokeNewestBatchSlots(t *testing.T) {
	l, now := settledLedger(4)
	grantBatch(l, 4)
	response, revoke := l.HandleRequest(now, creditRequest("a", 1, 0, 0, 2))
	qt.Assert(t, response.Granted, qt.Equals, 0)
	qt.Assert(t, revoke, qt.DeepEquals, []uint64{4, 3})
	_, again := l.HandleRequest(now, creditRequest("a", 1, 0, 0, 2))
	qt.Assert(t, again, qt.HasLen, 0)
	qt.Assert(t, l.PendingReclaim("a"), qt.Equals, 2)
	l.ReleaseBatch(4)
	response, _ = l.HandleRequest(now, creditRequest("a", 1, 0, 0, 2))
	qt.Assert(t, response.Granted, qt.Equals, 1)
	qt.Assert(t, l.AvailableBatchSlots(now, 4), qt.Equals, 0)
}

func TestObtainableExcludesUnmetDemandOfOtherHolders(t *testing.T) {
	l, now := settledLedger(8)
	grantBatch(l, 6)
	response, _ := l.HandleRequest(now, creditRequest("a", 1, 0, 0, 1))
	qt.Assert(t, response.Obtainable, qt.Equals, 7)
	_, _ = l.HandleRequest(now, creditRequest("b", 1, 0, 0, 4))
	response, _ = l.HandleRequest(now, creditRequest("a", 2, 1, 1, 1))
	qt.Assert(t, response.Obtainable, qt.Equals, 3)
	qt.Assert(t, response.Scarce, qt.IsTrue)
}

func TestHeadroomFollowsLargestRecentBurst(t *testing.T) {
	l, now := settledLedger(64)
	qt.Assert(t, l.AvailableBatchSlots(now, 64), qt.Equals, 64)
	_, _ = l.HandleRequest(now, creditRequest("a", 1, 0, 0, 0))
	_, _ = l.HandleRequest(now, creditRequest("a", 2, 0, 0, 3))
	qt.Assert(t, l.Headroom(now), qt.Equals, 3)
	_, _ = l.HandleRequest(now, creditRequest("a", 3, 0, 0, 20))
	qt.Assert(t, l.Headroom(now), qt.Equals, 4)
	qt.Assert(t, l.Headroom(now.Add(20*time.Second)), qt.Equals, 0)
}

func TestOneSuspectRequestMayRunAtATime(t *testing.T) {
	l, now := settledLedger(8)
	suspect := func(holder string, sequence, fingerprint uint64) uint64 {
		request := creditRequest(holder, sequence, 0, 0, 1)
		request.Suspect = fingerprint
		response, _ := l.HandleRequest(now, request)
		return response.Suspect
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

func TestRestartedHolderLosesCreditsOfItsPreviousProcess(t *testing.T) {
	l, now := settledLedger(4)
	_, _ = l.HandleRequest(now, creditRequest("a", 5, 0, 0, 4))
	restarted := creditRequest("a", 1, 0, 0, 1)
	restarted.Session = 2
	response, _ := l.HandleRequest(now, restarted)
	qt.Assert(t, response.Granted, qt.Equals, 1)
	qt.Assert(t, l.Usage().Credits, qt.Equals, 1)
}

func TestFairShares(t *testing.T) {
	tests := map[string]struct {
		slots int
		wants []int
		want  map[string]int
	}{
		"small demands are met in full":            {8, []int{1, 2}, map[string]int{"a": 1, "b": 2}},
		"equal demands get equal shares":           {8, []int{9, 9}, map[string]int{"a": 4, "b": 4}},
		"unused share is divided among the others": {9, []int{1, 20, 20}, map[string]int{"a": 1, "b": 4, "c": 4}},
		"remainder is assigned by name":            {4, []int{5, 5, 5}, map[string]int{"a": 2, "b": 1, "c": 1}},
		"no slots give no share":                   {0, []int{5}, map[string]int{"a": 0}},
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
