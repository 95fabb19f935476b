package fleettest

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// poisonItem is the item whose prompt crashes each engine that runs it. It is idempotent.
	poisonItem = 55
	// maxCrashes is the maximum number of targets that a request may crash.
	maxCrashes = 2
)

// TestAPoisonItemFailsAloneInItsJob checks that an item that crashes engines fails after a bounded number of crashes
// and that all other items of its job complete.
func TestAPoisonItemFailsAloneInItsJob(t *testing.T) {
	t.Parallel()
	f := startFleet(t, speed, prompt(poisonItem))
	job := f.submit(f.vms[0], jobItems)
	o := f.outcome(f.vms[2], job.ID)
	qt.Check(t, o.completed[customID(poisonItem)], qt.HasLen, 0)
	qt.Check(t, o.failed[customID(poisonItem)], qt.HasLen, 1)
	// The oracle has no rule for poison items, so it must report exactly the failure of this item.
	qt.Check(t, o.violations(jobItems), qt.DeepEquals, []string{customID(poisonItem) + " is idempotent and failed"})
	crashes := 0
	for _, e := range f.standin.Engines {
		crashes += e.Crashes()
	}
	qt.Check(t, crashes <= maxCrashes, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	qt.Check(t, crashes > 0, qt.IsTrue)
}
