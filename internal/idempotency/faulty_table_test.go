package idempotency_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// faultyTable forwards calls to a table, delays commits, and makes some of them fail.
type faultyTable struct {
	platform.Table

	mu     sync.Mutex
	random *rand.Rand
	// faultRate is the fraction of commits that fail, from 0 to 1.
	faultRate float64
	// lateCommits counts the running commits that take effect only after Commit has returned ErrOutcomeUnknown.
	lateCommits sync.WaitGroup
}

type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultLostRequest
	faultLostResponse
	faultLateCommit
)

func (t *faultyTable) drawFault() (fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := time.Duration(t.random.IntN(40)) * time.Millisecond
	if t.random.Float64() >= t.faultRate {
		return faultNone, delay
	}
	kind := fault(1 + t.random.IntN(4))
	if kind == faultLateCommit {
		t.lateCommits.Add(1)
	}
	return kind, delay
}

func (t *faultyTable) stopFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultRate = 0
}

// Commit implements platform.Table.
func (t *faultyTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	kind, delay := t.drawFault()
	time.Sleep(delay)
	switch kind {
	case faultUnavailable:
		return 0, platform.ErrUnavailable
	case faultLostRequest:
		return 0, platform.ErrOutcomeUnknown
	case faultLostResponse:
		_, _ = t.Table.Commit(context.WithoutCancel(ctx), txn)
		return 0, platform.ErrOutcomeUnknown
	case faultLateCommit:
		go func() {
			defer t.lateCommits.Done()
			time.Sleep(10 * delay)
			_, _ = t.Table.Commit(context.WithoutCancel(ctx), txn)
		}()
		return 0, platform.ErrOutcomeUnknown
	default:
		return t.Table.Commit(ctx, txn)
	}
}
