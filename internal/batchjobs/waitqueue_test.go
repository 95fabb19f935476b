package batchjobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// manualSlots grants a slot to any waiting request for each value sent to grant, and records the requests.
type manualSlots struct {
	grant chan struct{}

	mu         sync.Mutex
	requested  []string
	waiting    int
	maxWaiting int
}

func (s *manualSlots) Acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	s.mu.Lock()
	s.requested = append(s.requested, request.Service)
	s.waiting++
	s.maxWaiting = max(s.maxWaiting, s.waiting)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case <-s.grant:
		return &scheduling.Slot{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// state returns the services of all requests so far, the number that wait now, and the largest number that
// waited at the same time.
func (s *manualSlots) state() (requested []string, waiting, maxWaiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requested), s.waiting, s.maxWaiting
}

// state returns the number of free turns and of items that wait for one.
func (q *waitQueue) state() (free, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.freeTurns, len(q.queued)
}

// queueItem queues an item with an expected slot time of 4 s, identified by its service, until it acquires a
// slot.
func queueItem(ctx context.Context, q *waitQueue, name string, due time.Duration) {
	queueItemOf(ctx, q, "", name, due)
}

func queueItemOf(ctx context.Context, q *waitQueue, account, name string, due time.Duration) {
	request := scheduler.Request{Account: account, Service: name, StartBy: time.Now().Add(due), Expected: 4 * time.Second}
	go func() {
		for ctx.Err() == nil {
			if _, err := q.acquire(ctx, request); err == nil {
				return
			}
		}
	}()
	synctest.Wait()
}

func newTestQueue(turns int) (*waitQueue, *manualSlots) {
	slots := &manualSlots{grant: make(chan struct{})}
	return newWaitQueue(slots, turns), slots
}

func TestItemsAcquireSlotsInOrderOfDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, slots := newTestQueue(1)
		queueItem(ctx, q, "first", 18*time.Second)
		queueItem(ctx, q, "later", 18*time.Second)
		queueItem(ctx, q, "too late", 3*time.Second)
		queueItem(ctx, q, "due first", 9*time.Second)
		for range 4 {
			slots.grant <- struct{}{}
			synctest.Wait()
		}
		requested, _, _ := slots.state()
		qt.Assert(t, requested, qt.DeepEquals, []string{"first", "due first", "later", "too late"})
	})
}

// A VM whose early job held all turns kept the items of its next jobs from the coordinator until they were
// late.
func TestOverdueItemLetsOthersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, slots := newTestQueue(1)
		queueItem(ctx, q, "late from the start", time.Second)
		queueItem(ctx, q, "in time", 18*time.Second)
		time.Sleep(overdueWait)
		synctest.Wait()
		requested, _, _ := slots.state()
		qt.Assert(t, requested, qt.DeepEquals, []string{"late from the start", "in time"})

		time.Sleep(15 * time.Second)
		synctest.Wait()
		requested, _, maxWaiting := slots.state()
		qt.Assert(t, requested[2], qt.Equals, "late from the start", qt.Commentf("%v", requested))
		qt.Assert(t, maxWaiting, qt.Equals, 1)
	})
}

// The items of a large job held all turns while no slot was free, so that the coordinator knew no item of another account.
func TestLargeJobDoesNotHideItemsOfOtherAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, slots := newTestQueue(4)
		for range 30 {
			queueItemOf(ctx, q, "large", "large", 10*time.Second)
		}
		for range 3 {
			queueItemOf(ctx, q, "small", "small", 18*time.Second)
		}
		requested, waiting, maxWaiting := slots.state()
		qt.Assert(t, requested[4:], qt.DeepEquals, []string{"small", "small"})
		qt.Assert(t, []int{waiting, maxWaiting}, qt.DeepEquals, []int{4, 4})
		for range 8 {
			slots.grant <- struct{}{}
			synctest.Wait()
		}
		requested, _, _ = slots.state()
		qt.Assert(t, requested[6:], qt.Contains, "small")
		qt.Assert(t, requested[len(requested)-1], qt.Equals, "large")
	})
}

func TestTurnsAreNeitherLostNorDuplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turns = 3
		random := rand.New(rand.NewPCG(5, 6))
		q, slots := newTestQueue(turns)
		var stops []context.CancelFunc
		for range 300 {
			ctx, cancel := context.WithCancel(t.Context())
			stops = append(stops, cancel)
			queueItemOf(ctx, q, []string{"", "alpha", "beta"}[random.IntN(3)], "", time.Duration(random.IntN(30))*time.Second)
			switch random.IntN(3) {
			case 0:
				stops[random.IntN(len(stops))]()
			case 1:
				slots.grant <- struct{}{}
			default:
				time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
			}
			synctest.Wait()
			_, waiting, _ := slots.state()
			free, queued := q.state()
			qt.Assert(t, waiting+free, qt.Equals, turns)
			qt.Assert(t, free == 0 || queued == 0, qt.IsTrue)
		}
		for _, stop := range stops {
			stop()
		}
		synctest.Wait()
		free, _ := q.state()
		qt.Assert(t, free, qt.Equals, turns)
	})
}
