// Package faulty wraps a table so that calls fail on command, for tests and the stand-in.
package faulty

import (
	"context"
	"sync"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Fault is what happens to one call.
type Fault uint8

// Faults. Reads know only None and Unavailable; any other fault makes a read unavailable.
const (
	// None passes the call through.
	None Fault = iota
	// Unavailable refuses the call; nothing is written.
	Unavailable
	// ResponseLost applies the write and loses the reply.
	ResponseLost
	// RequestLost loses the request; the caller cannot tell it from ReplyLost.
	RequestLost
	// Delayed holds the request back until Flush; the caller cannot tell it from ReplyLost.
	Delayed
)

// Table is a platform.Table whose calls fail on command.
type Table struct {
	inner platform.Table

	mu      sync.Mutex
	down    bool
	pending []Fault
	delayed []platform.Txn
}

var _ platform.Table = (*Table)(nil)

// New wraps inner.
func New(inner platform.Table) *Table { return &Table{inner: inner} }

// SetDown makes all calls unavailable until it is called with false.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Inject makes the next commits meet the faults, one each.
func (t *Table) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = append(t.pending, faults...)
}

// Flush applies the delayed writes, in the order in which they were sent.
func (t *Table) Flush(ctx context.Context) {
	t.mu.Lock()
	delayed := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	for _, txn := range delayed {
		// A condition may have ceased to hold meanwhile; then the write has no effect.
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
	switch t.next(txn) {
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

// next takes the fault for one commit.
func (t *Table) next(txn platform.Txn) Fault {
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
