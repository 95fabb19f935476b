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

func (h *manualSlots) Acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	h.mu.Lock()
	h.requested = append(h.requested, request.Service)
	h.waiting++
	h.maxWaiting = max(h.maxWaiting, h.waiting)
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.waiting--
	}()
	select {
	case <-h.grant:
		return &scheduling.Slot{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// state returns the services of all requests so far, the number that wait now, and the largest number that
// waited at the same time.
func (h *manualSlots) state() (requested []string, waiting, maxWaiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.requested), h.waiting, h.maxWaiting
}

// state returns the number of free turns and of items that wait for one.
func (q *waitQueue) state() (free, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.freeTurns, len(q.queued)
}

// queueItem queues an item of 4 s, identified by its service, until it acquires a slot.
func queueItem(ctx context.Context, q *waitQueue, name string, due time.Duration) {
	request := scheduler.Request{Service: name, StartBy: time.Now().Add(due), Expected: 4 * time.Second}
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

func TestTurnsAreNeitherLostNorDuplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turns = 3
		random := rand.New(rand.NewPCG(5, 6))
		q, slots := newTestQueue(turns)
		var stops []context.CancelFunc
		for range 300 {
			ctx, cancel := context.WithCancel(t.Context())
			stops = append(stops, cancel)
			queueItem(ctx, q, "", time.Duration(random.IntN(30))*time.Second)
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
			free, left := q.state()
			qt.Assert(t, waiting+free, qt.Equals, turns)
			qt.Assert(t, free == 0 || left == 0, qt.IsTrue)
		}
		for _, stop := range stops {
			stop()
		}
		synctest.Wait()
		free, _ := q.state()
		qt.Assert(t, free, qt.Equals, turns)
	})
}
