package batchjobs

import (
	"cmp"
	"context"
	"errors"
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

// errTurnRevoked means that an item of another account got the turn of an item.
var errTurnRevoked = errors.New("an item of another account got the turn")

// waitQueue decides which items of this VM wait for a slot. Within an account it is the order in which coordinators grant slots:
// a job that was submitted early must not hide the items of one that is due sooner. Accounts share the turns by weight, so that
// the coordinator knows items of each of them.
type waitQueue struct {
	slots scheduling.Slots

	mu        sync.Mutex
	freeTurns int
	queued    []*queuedItem
	// holders are the items that have a turn, in the order in which they got it, and held their number by account.
	holders []*queuedItem
	held    map[string]int
	// revoking is the item whose turn is being taken, or nil.
	revoking *queuedItem
}

// queuedItem is an item that waits for its turn or has one. The channel turn is closed when the turn has come.
type queuedItem struct {
	request scheduler.Request
	turn    chan struct{}
	// revoke ends the item's wait for a slot.
	revoke context.CancelCauseFunc
}

func newWaitQueue(slots scheduling.Slots, turns int) *waitQueue {
	return &waitQueue{slots: slots, freeTurns: turns, held: map[string]int{}}
}

// share returns how many turns for its weight an item's account would have with the given number of turns more. The caller holds
// the lock.
func (q *waitQueue) share(item *queuedItem, more int) float64 {
	weight := item.request.Weight
	if weight <= 0 {
		weight = 1
	}
	return float64(q.held[item.request.Account]+more) / weight
}

// acquire waits for the item's turn and then for a slot. It fails with the error of ctx, with
// *scheduling.RefusedError, or with context.DeadlineExceeded when the item has to queue again because others
// precede it now.
func (q *waitQueue) acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	for {
		slot, err := q.acquireOnce(ctx, request)
		if !errors.Is(err, errTurnRevoked) {
			return slot, err
		}
	}
}

// acquireOnce waits for one turn. It fails with errTurnRevoked if another account took the turn.
func (q *waitQueue) acquireOnce(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	turnCtx, revoke := context.WithCancelCause(ctx)
	defer revoke(nil)
	item := &queuedItem{request: request, turn: make(chan struct{}), revoke: revoke}
	if err := q.enter(ctx, item); err != nil {
		return nil, err
	}
	defer q.leave(item)
	wait := overdueWait
	if slack := request.Slack(time.Now()); slack > 0 {
		wait = slack
	}
	waitCtx, cancel := context.WithTimeout(turnCtx, wait)
	defer cancel()
	slot, err := q.slots.Acquire(waitCtx, request)
	if err != nil && errors.Is(context.Cause(turnCtx), errTurnRevoked) {
		return nil, errTurnRevoked
	}
	return slot, err
}

// enter waits for the item's turn, which leave ends.
func (q *waitQueue) enter(ctx context.Context, item *queuedItem) error {
	q.mu.Lock()
	if q.freeTurns > 0 {
		q.freeTurns--
		q.give(item)
		q.mu.Unlock()
		return nil
	}
	q.queued = append(q.queued, item)
	q.revokeFor(item)
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
		q.leave(item)
	}
	return ctx.Err()
}

// give records that an item has a turn. The caller holds the lock.
func (q *waitQueue) give(item *queuedItem) {
	q.holders = append(q.holders, item)
	q.held[item.request.Account]++
	close(item.turn)
}

// leave passes the turn of an item on to the queued item that comes first in order, if there is one.
func (q *waitQueue) leave(item *queuedItem) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holders = slices.DeleteFunc(q.holders, func(o *queuedItem) bool { return o == item })
	if q.held[item.request.Account]--; q.held[item.request.Account] == 0 {
		delete(q.held, item.request.Account)
	}
	if q.revoking == item {
		q.revoking = nil
	}
	next := q.first()
	if next == nil {
		q.freeTurns++
		return
	}
	q.queued = slices.DeleteFunc(q.queued, func(o *queuedItem) bool { return o == next })
	q.give(next)
	if len(q.held) < 2 {
		return
	}
	if next = q.first(); next != nil {
		q.revokeFor(next)
	}
}

// first returns the queued item that gets the next turn, or nil: that of the account with the fewest turns for its weight, and
// the first in order within the account. The caller holds the lock.
func (q *waitQueue) first() *queuedItem {
	if len(q.queued) == 0 {
		return nil
	}
	now := time.Now()
	return slices.MinFunc(q.queued, func(a, b *queuedItem) int {
		if a.request.Account != b.request.Account {
			if byShare := cmp.Compare(q.share(a, 1), q.share(b, 1)); byShare != 0 {
				return byShare
			}
		}
		return scheduler.CompareItems(now, a.request, b.request)
	})
}

// revokeFor takes a turn from the account with the most turns for its weight if that keeps no fewer than the item's account has
// then: the items of a large job hold their turns for as long as no slot is free. Turns are taken one at a time, each of which
// leave passes on. The caller holds the lock.
func (q *waitQueue) revokeFor(item *queuedItem) {
	if q.revoking != nil {
		return
	}
	now := time.Now()
	var last *queuedItem
	for _, o := range q.holders {
		switch {
		case o.request.Account == item.request.Account:
		case last == nil, o.request.Account != last.request.Account && q.share(o, 0) > q.share(last, 0):
			last = o
		case o.request.Account == last.request.Account && scheduler.CompareItems(now, o.request, last.request) >= 0:
			last = o
		}
	}
	if last != nil && q.share(item, 1) <= q.share(last, -1) {
		q.revoking = last
		last.revoke(errTurnRevoked)
	}
}
