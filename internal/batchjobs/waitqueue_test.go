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

// state returns who has asked so far, how many wait now and how many did so at the same time at the most.
func (h *heldSlots) state() (asked []string, waiting, most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.asked), h.waiting, h.most
}

// state returns the turns that are free and the items that wait for one.
func (q *waitQueue) state() (free, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.free, len(q.queued)
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
		asked, _, _ := slots.state()
		qt.Assert(t, asked, qt.DeepEquals, []string{"first", "due first", "later", "too late"})
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
		asked, _, _ := slots.state()
		qt.Assert(t, asked, qt.DeepEquals, []string{"late from the start", "in time"})

		time.Sleep(15 * time.Second)
		synctest.Wait()
		asked, _, most := slots.state()
		qt.Assert(t, asked[2], qt.Equals, "late from the start", qt.Commentf("%v", asked))
		qt.Assert(t, most, qt.Equals, 1)
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
			_, waiting, _ := slots.state()
			free, left := q.state()
			qt.Assert(t, waiting+free, qt.Equals, waits)
			qt.Assert(t, free == 0 || left == 0, qt.IsTrue)
		}
		for _, stop := range stops {
			stop()
		}
		synctest.Wait()
		free, _ := q.state()
		qt.Assert(t, free, qt.Equals, waits)
	})
}
