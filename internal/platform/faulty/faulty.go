// Package faulty wraps a table to inject faults into its calls. It is for tests and the stand-in platform.
package faulty

import (
	"context"
	"sync"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Fault is what happens to one call.
type Fault uint8

// Faults are injected into commits only. Reads fail only while the table is down (SetDown).
const (
	// None passes the call through.
	None Fault = iota
	// Unavailable rejects the call; nothing is written.
	Unavailable
	// ResponseLost applies the write and drops the response.
	ResponseLost
	// RequestLost drops the request; the caller cannot tell it from ResponseLost.
	RequestLost
	// Delayed holds the request back until Flush; the caller cannot tell it from ResponseLost.
	Delayed
)

// Table is a platform.Table with injected faults.
type Table struct {
	inner platform.Table

	mu      sync.Mutex
	down    bool
	pending []Fault
	delayed []platform.Txn
}

var _ platform.Table = (*Table)(nil)

// New returns a table that passes calls on to inner, without faults at first.
func New(inner platform.Table) *Table { return &Table{inner: inner} }

// SetDown makes all calls fail with platform.ErrUnavailable until it is called with false.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Inject queues faults for the next commits, one for each commit.
func (t *Table) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = append(t.pending, faults...)
}

// Flush applies the delayed transactions in the order in which they were sent.
func (t *Table) Flush(ctx context.Context) {
	t.mu.Lock()
	delayed := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	for _, txn := range delayed {
		// A condition may no longer hold; then the transaction has no effect.
		_, _ = t.inner.Commit(ctx, txn)
	}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.isDown() {
		return nil, platform.ErrUnavailable
	}
	return t.inner.Get(ctx, keys...)
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.isDown() {
		return nil, platform.ErrUnavailable
	}
	return t.inner.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	switch t.nextFault(txn) {
	case Unavailable:
		return 0, platform.ErrUnavailable
	case RequestLost, Delayed:
		return 0, platform.ErrOutcomeUnknown
	case ResponseLost:
		_, _ = t.inner.Commit(ctx, txn)
		return 0, platform.ErrOutcomeUnknown
	default:
		return t.inner.Commit(ctx, txn)
	}
}

func (t *Table) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// nextFault removes and returns the fault for a commit, and keeps txn if it is delayed.
func (t *Table) nextFault(txn platform.Txn) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return Unavailable
	}
	if len(t.pending) == 0 {
		return None
	}
	fault := t.pending[0]
	t.pending = t.pending[1:]
	if fault == Delayed {
		t.delayed = append(t.delayed, txn)
	}
	return fault
}
