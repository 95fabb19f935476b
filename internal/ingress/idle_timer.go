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
	s := &idleTimer{ctx: ctx}
	s.timer = time.AfterFunc(time.Hour, func() {
		s.fired.Store(true)
		cancel()
	})
	s.reset(timeout)
	return s, func() {
		s.timer.Stop()
		cancel()
	}
}

// reset restarts the timer. Zero stops it.
func (s *idleTimer) reset(timeout time.Duration) {
	if timeout <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(timeout)
}

func (s *idleTimer) expired() bool { return s.fired.Load() }
