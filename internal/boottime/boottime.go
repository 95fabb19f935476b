// Package boottime reads a clock that keeps running while the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary point. It never runs backwards.
type Clock func() time.Duration

// Now returns the time since the boot of the VM, including time for which it was suspended. The monotonic clock of package time
// stands still meanwhile, so that what happened before a suspension looks more recent than it is.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since version 2.6.39.
		panic("boottime: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Monotonic returns a clock that may stand still while the VM is suspended. It follows the virtual time of tests.
func Monotonic() Clock {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}
