package ingress

import (
	"context"
	"sync/atomic"
	"time"
)

// silence cancels a request to a target that sends nothing for too long.
type silence struct {
	ctx   context.Context
	timer *time.Timer
	hit   atomic.Bool
}

// newSilence starts with a timeout; zero means none.
func newSilence(parent context.Context, timeout time.Duration) (*silence, func()) {
	ctx, cancel := context.WithCancel(parent)
	s := &silence{ctx: ctx}
	s.timer = time.AfterFunc(time.Hour, func() {
		s.hit.Store(true)
		cancel()
	})
	s.reset(timeout)
	return s, func() {
		s.timer.Stop()
		cancel()
	}
}

// reset starts the time anew. Zero turns it off.
func (s *silence) reset(timeout time.Duration) {
	if timeout <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(timeout)
}

func (s *silence) fired() bool { return s.hit.Load() }
