package idempotency_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// faultyTable passes calls on to a table, and loses, delays and refuses some of them.
type faultyTable struct {
	platform.Table

	mu     sync.Mutex
	random *rand.Rand
	// faults is the share of commits that go wrong.
	faults float64
	// late waits for commits that take effect after their caller was told that the outcome is unknown.
	late sync.WaitGroup
}

type fault int

const (
	faultNone fault = iota
	faultRefused
	faultLostRequest
	faultLostReply
	faultLateEffect
)

func (t *faultyTable) draw() (fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := time.Duration(t.random.IntN(40)) * time.Millisecond
	if t.random.Float64() >= t.faults {
		return faultNone, delay
	}
	kind := fault(1 + t.random.IntN(4))
	if kind == faultLateEffect {
		t.late.Add(1)
	}
	return kind, delay
}

func (t *faultyTable) heal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = 0
}

// Commit implements platform.Table.
func (t *faultyTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	kind, delay := t.draw()
	time.Sleep(delay)
	switch kind {
	case faultRefused:
		return 0, platform.ErrUnavailable
	case faultLostRequest:
		return 0, platform.ErrOutcomeUnknown
	case faultLostReply:
		_, _ = t.Table.Commit(context.WithoutCancel(ctx), txn)
		return 0, platform.ErrOutcomeUnknown
	case faultLateEffect:
		go func() {
			defer t.late.Done()
			time.Sleep(10 * delay)
			_, _ = t.Table.Commit(context.WithoutCancel(ctx), txn)
		}()
		return 0, platform.ErrOutcomeUnknown
	default:
		return t.Table.Commit(ctx, txn)
	}
}
