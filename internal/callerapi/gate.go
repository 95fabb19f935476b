package callerapi

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// overloadedRetryAfter is the minimum Retry-After of requests rejected because a limit of the entry is reached.
const overloadedRetryAfter = time.Second

func overloaded(message string) error {
	e := notRun(verdict.CodeOverloaded, message)
	e.RetryAfter = jittered(overloadedRetryAfter)
	return e
}

// gate bounds the requests in progress and rejects new ones once it is closed.
type gate struct {
	// limit is the maximum number of requests in progress.
	limit int

	mu            sync.Mutex
	leaving       bool
	closed        bool
	inFlight      int
	drained       chan struct{}
	drainedClosed bool
}

// enter admits one request. The caller must call release when the request has ended.
func (g *gate) enter() (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, notRun(verdict.CodeLeaving, "this entry is leaving; ask another entry")
	}
	if g.inFlight >= g.limit {
		return nil, overloaded("this entry has as many requests in progress as it can hold")
	}
	g.inFlight++
	return g.exit, nil
}

func (g *gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.closeDrainedIfIdle()
}

func (g *gate) inProgress() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.inFlight)
}

// closeDrainedIfIdle closes drained if the gate is closed and no request is in progress. g.mu must be held.
func (g *gate) closeDrainedIfIdle() {
	if g.closed && g.inFlight == 0 && g.drained != nil && !g.drainedClosed {
		g.drainedClosed = true
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

// drain rejects new requests and waits for those in progress.
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
	g.closeDrainedIfIdle()
	return g.drained
}

// Leave removes this entry from /v1/entries and closes callers' connections after their next response. Requests
// are still served.
func (s *Server) Leave() { s.gate.setLeaving() }

// Drain rejects new requests and waits until those in progress have ended. It returns ctx.Err() if ctx ends first.
func (s *Server) Drain(ctx context.Context) error { return s.gate.drain(ctx) }
