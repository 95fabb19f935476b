package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func alwaysZero(int) int { return 0 }

func candidate(name string) Candidate {
	return Candidate{Name: name, Healthy: true, Share: 1, Free: 1, Slots: 8}
}

func TestFilters(t *testing.T) {
	tests := map[string]struct {
		change func(*Candidate)
		tried  []string
		kept   bool
	}{
		"a healthy target with a credit is kept": {change: func(*Candidate) {}, kept: true},
		"an unhealthy target is dropped":         {change: func(c *Candidate) { c.Healthy = false }},
		"a target without a credit is dropped":   {change: func(c *Candidate) { c.Free = 0 }},
		"a target that was tried is dropped":     {change: func(*Candidate) {}, tried: []string{"a"}},
		"a target is kept if another was tried":  {change: func(*Candidate) {}, tried: []string{"b"}, kept: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := candidate("a")
			test.change(&c)
			_, ok := NewChooser(nil).Pick(Query{Tried: test.tried}, []Candidate{c}, alwaysZero)
			qt.Assert(t, ok, qt.Equals, test.kept)
		})
	}
}

func TestLessLoadedTargetIsPicked(t *testing.T) {
	busy, idle := candidate("a"), candidate("b")
	busy.InUse = 4
	i, _ := NewChooser(nil).Pick(Query{}, []Candidate{busy, idle}, alwaysZero)
	qt.Assert(t, i, qt.Equals, 1)
}

func TestTargetWithMoreFreeSlotsIsPicked(t *testing.T) {
	limited, available := candidate("a"), candidate("b")
	available.Free = 5
	i, _ := NewChooser(nil).Pick(Query{}, []Candidate{limited, available}, alwaysZero)
	qt.Assert(t, i, qt.Equals, 1)
}

func TestTargetWithIdleSlotIsPickedBeforeTargetFullOfBatchWork(t *testing.T) {
	full, idle := candidate("a"), candidate("b")
	full.Free, idle.Free = 3, 3
	idle.Idle = 1
	i, _ := NewChooser(nil).Pick(Query{}, []Candidate{full, idle}, alwaysZero)
	qt.Assert(t, i, qt.Equals, 1)
}

func TestTargetInSameZoneIsPickedAmongEquals(t *testing.T) {
	far, near := candidate("a"), candidate("b")
	near.Local = true
	i, _ := NewChooser(nil).Pick(Query{}, []Candidate{far, near}, alwaysZero)
	qt.Assert(t, i, qt.Equals, 1)
}

func TestEqualPromptsGoToOneTargetUpToLoadBound(t *testing.T) {
	var candidates []Candidate
	for i := range 8 {
		candidates = append(candidates, candidate(fmt.Sprint("t", i)))
	}
	query := Query{PrefixBlocks: []uint64{42}}
	chooser := NewChooser(NewPrefixIndex(100))
	preferred, _ := chooser.Pick(query, candidates, alwaysZero)
	for range 5 {
		i, _ := chooser.Pick(query, candidates, alwaysZero)
		qt.Assert(t, i, qt.Equals, preferred)
	}
	candidates[preferred].InUse = 6
	i, _ := chooser.Pick(query, candidates, alwaysZero)
	qt.Assert(t, i, qt.Not(qt.Equals), preferred)
}

func TestPrefixIndexMatchesLongestPrefixAndEvictsOldest(t *testing.T) {
	index := NewPrefixIndex(4)
	index.Store("a", 1, 2)
	index.Store("b", 1)
	qt.Assert(t, index.Match("a", []uint64{1, 2, 3, 4}), qt.Equals, 0.5)
	qt.Assert(t, index.Match("b", []uint64{1, 2}), qt.Equals, 0.5)
	index.Evict("a", 2)
	qt.Assert(t, index.Match("a", []uint64{1, 2}), qt.Equals, 0.5)
	index.Store("c", 5, 6, 7)
	qt.Assert(t, index.Len(), qt.Equals, 4)
	qt.Assert(t, index.Match("a", []uint64{1}), qt.Equals, 0.0)
}

func TestWaitFollowsDrainRate(t *testing.T) {
	var e Estimator
	_, known := e.Wait(3, Capacity{InUse: 2})
	qt.Assert(t, known, qt.IsFalse)
	e.Observe(epoch, time.Second, 4*time.Second)
	wait, _ := e.Wait(3, Capacity{InUse: 2})
	qt.Assert(t, wait, qt.Equals, 8*time.Second)
	wait, _ = e.Wait(3, Capacity{InUse: 2, Obtainable: 4})
	qt.Assert(t, wait, qt.Equals, time.Duration(0))
}

func TestFirstTokenEstimateDecays(t *testing.T) {
	var e Estimator
	e.Observe(epoch, time.Minute, time.Minute)
	qt.Assert(t, e.FirstToken(epoch), qt.Equals, time.Minute)
	qt.Assert(t, e.FirstToken(epoch.Add(time.Minute)) < time.Second, qt.IsTrue)
}

func TestRetryAfterIsJitteredAndBounded(t *testing.T) {
	qt.Assert(t, RetryAfter(10*time.Second, 2*time.Second, 0), qt.Equals, 8*time.Second)
	qt.Assert(t, RetryAfter(10*time.Second, 2*time.Second, 0.5), qt.Equals, 10*time.Second)
	qt.Assert(t, RetryAfter(0, 0, 0), qt.Equals, time.Second)
	qt.Assert(t, RetryAfter(time.Hour, 0, 1), qt.Equals, 90*time.Second)
}

func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	b := NewRetryBudget(RetryConfig{Share: 0.1, Reserve: 2})
	allowed := 0
	for range 1000 {
		b.RecordFirstAttempt()
		if b.Allow() {
			allowed++
		}
	}
	qt.Assert(t, allowed >= 100 && allowed <= 102, qt.IsTrue, qt.Commentf("%d", allowed))
}

func BenchmarkPickOf24(b *testing.B) {
	var candidates []Candidate
	for i := range 24 {
		candidates = append(candidates, candidate(fmt.Sprint("t", i)))
	}
	chooser := NewChooser(NewPrefixIndex(1000))
	query := Query{PrefixBlocks: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}
	for range b.N {
		chooser.Pick(query, candidates, alwaysZero)
	}
}
