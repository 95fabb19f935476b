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
	// maxWaitingItems bounds the items of one VM that wait for a slot at a coordinator, which stores and sorts
	// all of them. Further items wait in the local queue, unknown to the coordinator.
	maxWaitingItems = 20
	// overdueWait is how long an item that will miss its due time waits for a slot before it lets other items
	// pass.
	overdueWait = time.Second
)

// waitQueue decides which items of this VM wait for a slot, in the order of the coordinators: a job that was
// submitted early must not hide the items of one that is due sooner.
type waitQueue struct {
	slots scheduling.Slots

	mu        sync.Mutex
	freeTurns int
	queued    []*queuedItem
}

// queuedItem is an item that waits for its turn, which closes the channel turn.
type queuedItem struct {
	request scheduler.Request
	turn    chan struct{}
}

func newWaitQueue(slots scheduling.Slots, turns int) *waitQueue {
	return &waitQueue{slots: slots, freeTurns: turns}
}

// acquire waits for the item's turn and then for a slot. It fails with the error of ctx, with
// *scheduling.RefusedError, or with context.DeadlineExceeded when the item has to queue again because others
// precede it now.
func (q *waitQueue) acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	if err := q.enter(ctx, request); err != nil {
		return nil, err
	}
	defer q.leave()
	wait := overdueWait
	if slack := request.Slack(time.Now()); slack > 0 {
		wait = slack
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return q.slots.Acquire(waitCtx, request)
}

// enter waits for the item's turn, which leave ends.
func (q *waitQueue) enter(ctx context.Context, request scheduler.Request) error {
	q.mu.Lock()
	if q.freeTurns > 0 {
		q.freeTurns--
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
		// The turn was given concurrently: pass it on.
		q.leave()
	}
	return ctx.Err()
}

// leave passes the turn on to the queued item that comes first in order, if there is one.
func (q *waitQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) == 0 {
		q.freeTurns++
		return
	}
	now := time.Now()
	next := slices.MinFunc(q.queued, func(a, b *queuedItem) int { return scheduler.CompareItems(now, a.request, b.request) })
	q.queued = slices.DeleteFunc(q.queued, func(o *queuedItem) bool { return o == next })
	close(next.turn)
}
