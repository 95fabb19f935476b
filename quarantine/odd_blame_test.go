package quarantine_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// Guards against a stored blame whose count overflows with the next crashes, so that its term is shifted by a negative number.
func TestStoredBlameOfAnOddCountDoesNotOverflow(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.Config{})
	now := time.Unix(1000, 0)
	tracker.MergeStored(now, quarantine.BlameReport{Keys: []uint64{9}, Times: math.MaxInt, AgeMs: math.MinInt64})
	for _, b := range tracker.Blames(now) {
		qt.Assert(t, b.Times <= 1000, qt.IsTrue, qt.Commentf("%d", b.Times))
	}
}
