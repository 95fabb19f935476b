package ingress

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// silenceError means that a run was left because its target sent nothing for the timeout.
type silenceError struct {
	target  string
	timeout time.Duration
	cause   error
}

func (e *silenceError) Error() string {
	return fmt.Sprintf("target %q sent nothing for %s: %v", e.target, e.timeout, e.cause)
}

func (e *silenceError) Unwrap() error { return e.cause }

// idleTimer cancels a request to a target that sends nothing for too long.
type idleTimer struct {
	ctx     context.Context
	timer   *time.Timer
	timeout atomic.Int64
	fired   atomic.Bool
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
	s.timeout.Store(int64(timeout))
	s.timer.Reset(timeout)
}

// explain says in the error of a run that the timer cancelled it, if it did.
func (s *idleTimer) explain(target string, err error) error {
	if err == nil || !s.expired() {
		return err
	}
	return &silenceError{target: target, timeout: time.Duration(s.timeout.Load()), cause: err}
}

func (s *idleTimer) expired() bool { return s.fired.Load() }
