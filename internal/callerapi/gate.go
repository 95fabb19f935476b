package callerapi

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// fullRetryAfter is what callers are told while an entry is full.
const fullRetryAfter = time.Second

func full(message string) error {
	e := notRun(verdict.CodeOverloaded, message)
	e.RetryAfter = jittered(fullRetryAfter)
	return e
}

// gate admits requests until it is closed or full, and counts those in progress.
type gate struct {
	// limit bounds the requests in progress.
	limit int

	mu        sync.Mutex
	leaving   bool
	closed    bool
	running   int
	drained   chan struct{}
	signalled bool
}

// enter admits one request. The returned function must be called when it has ended.
func (g *gate) enter() (leave func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, notRun(verdict.CodeLeaving, "this entry is leaving; ask another entry")
	}
	if g.running >= g.limit {
		return nil, full("this entry has as many requests in progress as it can hold")
	}
	g.running++
	return g.exit, nil
}

func (g *gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.signal()
}

func (g *gate) inProgress() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.running)
}

// signal closes drained once nothing runs behind a closed gate. The lock must be held.
func (g *gate) signal() {
	if g.closed && g.running == 0 && g.drained != nil && !g.signalled {
		g.signalled = true
		close(g.drained)
	}
}

func (g *gate) setLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

func (g *gate) isLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// drain refuses new requests and waits for those in progress.
func (g *gate) drain(ctx context.Context) error {
	drained := g.close()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	g.signal()
	return g.drained
}

// Leave tells callers on open connections to go elsewhere. Requests are still served.
func (s *Server) Leave() { s.gate.setLeaving() }

// Drain refuses new requests and waits until those in progress have ended, or ctx has.
func (s *Server) Drain(ctx context.Context) error { return s.gate.drain(ctx) }
