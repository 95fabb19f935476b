package batchjobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

const (
	// maxWaits bounds the items of one VM that wait for a slot at a coordinator, which keeps and orders them all. Further
	// items wait here, unknown to it.
	maxWaits = 20
	// lateWait is how long an item that misses its due time anyway waits before it lets the others pass.
	lateWait = time.Second
)

// waitQueue decides which items of this VM wait for a slot, in the coordinators' order: a job that came early must not
// keep the items of one that is due before it from being seen.
type waitQueue struct {
	slots scheduling.Slots

	mu     sync.Mutex
	free   int
	queued []*queuedItem
}

// queuedItem is an item that waits for its turn, which comes when turn is closed.
type queuedItem struct {
	request scheduler.Request
	turn    chan struct{}
}

func newWaitQueue(slots scheduling.Slots, waits int) *waitQueue {
	return &waitQueue{slots: slots, free: waits}
}

// acquire waits for the item's turn and then for a slot. It fails with the error of ctx, with *scheduling.RefusedError,
// or with context.DeadlineExceeded when the item has to queue again since others go before it now.
func (q *waitQueue) acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	if err := q.enter(ctx, request); err != nil {
		return nil, err
	}
	defer q.leave()
	wait := lateWait
	if slack := request.Slack(time.Now()); slack > 0 {
		wait = slack
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return q.slots.Acquire(waiting, request)
}

// enter waits for the item's turn, which leave ends.
func (q *waitQueue) enter(ctx context.Context, request scheduler.Request) error {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return nil
	}
	item := &queuedItem{request: request, turn: make(chan struct{})}
	q.queued = append(q.queued, item)
	q.mu.Unlock()
	select {
	case <-item.turn:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	index := slices.Index(q.queued, item)
	if index >= 0 {
		q.queued = slices.Delete(q.queued, index, index+1)
	}
	q.mu.Unlock()
	if index < 0 {
		// The turn came at the same moment.
		q.leave()
	}
	return ctx.Err()
}

// leave gives the turn to the first item in order.
func (q *waitQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) == 0 {
		q.free++
		return
	}
	now := time.Now()
	next := slices.MinFunc(q.queued, func(a, b *queuedItem) int { return scheduler.CompareItems(now, a.request, b.request) })
	q.queued = slices.DeleteFunc(q.queued, func(o *queuedItem) bool { return o == next })
	close(next.turn)
}
