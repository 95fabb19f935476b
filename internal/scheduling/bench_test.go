package scheduling_test

import (
	"testing"

	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// BenchmarkAcquire measures the acquisition and release of a slot that another VM grants, on 60 targets of 7 slots of
// which 300 are taken.
func BenchmarkAcquire(b *testing.B) {
	vms := start(b, 2, 60, 7, always)
	for range 300 {
		acquire(b, vms[1], online())
	}
	for b.Loop() {
		acquire(b, vms[1], online()).Release(scheduler.Finished, 0)
	}
}
