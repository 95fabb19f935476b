package batchjobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/scheduling"
	"github.com/rosemarydyke/rosemarydyke/scheduler"
)

// heldSlots grants a slot for each value that grant takes, to any of those that wait, and notes who waits.
type heldSlots struct {
	grant chan struct{}

	mu      sync.Mutex
	asked   []string
	waiting int
	most    int
}

func (h *heldSlots) Acquire(ctx context.Context, request scheduler.Request) (*scheduling.Slot, error) {
	h.mu.Lock()
	h.asked = append(h.asked, request.Service)
	h.waiting++
	h.most = max(h.most, h.waiting)
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

// queued is an item of 4 s, named by its service, that waits until it has a slot.
func queued(ctx context.Context, q *waitQueue, name string, due time.Duration) {
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

func startQueue(waits int) (*waitQueue, *heldSlots) {
	slots := &heldSlots{grant: make(chan struct{})}
	return newWaitQueue(slots, waits), slots
}

func TestItemsWaitForSlotsInTheOrderOfTheirDueTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, slots := startQueue(1)
		queued(ctx, q, "first", 18*time.Second)
		queued(ctx, q, "later", 18*time.Second)
		queued(ctx, q, "too late", 3*time.Second)
		queued(ctx, q, "due first", 9*time.Second)
		for range 4 {
			slots.grant <- struct{}{}
			synctest.Wait()
		}
		qt.Assert(t, slots.asked, qt.DeepEquals, []string{"first", "due first", "later", "too late"})
	})
}

// A VM whose early job filled all waits kept the items of its next jobs from the coordinator until they were late
// (scale-1, auxilio-andino, standard seed).
func TestAnItemThatIsLateLetsTheOthersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, slots := startQueue(1)
		queued(ctx, q, "late from the start", time.Second)
		queued(ctx, q, "in time", 18*time.Second)
		time.Sleep(lateWait)
		synctest.Wait()
		qt.Assert(t, slots.asked, qt.DeepEquals, []string{"late from the start", "in time"})

		time.Sleep(15 * time.Second)
		synctest.Wait()
		qt.Assert(t, slots.asked[2], qt.Equals, "late from the start", qt.Commentf("%v", slots.asked))
		qt.Assert(t, slots.most, qt.Equals, 1)
	})
}

func TestNoTurnIsLostOrGivenTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waits = 3
		random := rand.New(rand.NewPCG(5, 6))
		q, slots := startQueue(waits)
		var stops []context.CancelFunc
		for range 300 {
			ctx, cancel := context.WithCancel(t.Context())
			stops = append(stops, cancel)
			queued(ctx, q, "", time.Duration(random.IntN(30))*time.Second)
			switch random.IntN(3) {
			case 0:
				stops[random.IntN(len(stops))]()
			case 1:
				slots.grant <- struct{}{}
			default:
				time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
			}
			synctest.Wait()
			qt.Assert(t, slots.waiting+q.free, qt.Equals, waits)
			qt.Assert(t, q.free == 0 || len(q.queued) == 0, qt.IsTrue)
		}
		for _, stop := range stops {
			stop()
		}
		synctest.Wait()
		qt.Assert(t, q.free, qt.Equals, waits)
	})
}
