package ingress

import (
	"context"
	"sync/atomic"
	"time"
)

// idleTimer cancels a request to a target that sends nothing for too long.
type idleTimer struct {
	ctx   context.Context
	timer *time.Timer
	fired atomic.Bool
}

// newIdleTimer starts a timer, and returns a function that stops it. Zero means no timeout.
func newIdleTimer(parent context.Context, timeout time.Duration) (*idleTimer, func()) {
	ctx, cancel := context.WithCancel(parent)
	t := &idleTimer{ctx: ctx}
	t.timer = time.AfterFunc(time.Hour, func() {
		t.fired.Store(true)
		cancel()
	})
	t.reset(timeout)
	return t, func() {
		t.timer.Stop()
		cancel()
	}
}

// reset restarts the timer. Zero stops it.
func (t *idleTimer) reset(timeout time.Duration) {
	if timeout <= 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(timeout)
}

func (t *idleTimer) expired() bool { return t.fired.Load() }
