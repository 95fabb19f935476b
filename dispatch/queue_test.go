package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemarydyke/rosemarydyke/internal/rapidtest"
)

var epoch = time.Unix(1000, 0)

func anyItem(*Item) bool { return true }

// testQueue is implemented by the real queue and the naive one.
type testQueue interface {
	Push(item *Item)
	Next(fits func(*Item) bool) *Item
	Len() int
}

// fifo is the naive queue: first come, first served.
type fifo struct{ items []*Item }

func (q *fifo) Push(item *Item) { q.items = append(q.items, item) }
func (q *fifo) Len() int        { return len(q.items) }

func (q *fifo) Next(fits func(*Item) bool) *Item {
	for i, item := range q.items {
		if fits(item) {
			q.items = append(q.items[:i:i], q.items[i+1:]...)
			return item
		}
	}
	return nil
}

func checkAgainstFIFO(t *testing.T, property func(t *rapid.T, q testQueue)) {
	t.Run("fair queue passes", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) { property(t, NewQueue()) })
	})
	t.Run("FIFO queue fails", func(t *testing.T) {
		rapidtest.MustFail(t, func(t *rapid.T) { property(t, &fifo{}) })
	})
}

func drawItem(t *rapid.T, n int) *Item {
	client := rapid.IntRange(0, 3).Draw(t, "client")
	return &Item{
		ID:       fmt.Sprint(n),
		Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Client:   fmt.Sprint(client),
		Weight:   float64(client%2 + 1),
		Deadline: epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second),
	}
}

func TestOnlineRequestNeverWaitsBehindBatch(t *testing.T) {
	checkAgainstFIFO(t, func(t *rapid.T, q testQueue) {
		online := 0
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				item := drawItem(t, n)
				q.Push(item)
				if item.Class == Online {
					online++
				}
				continue
			}
			item := q.Next(anyItem)
			if item == nil {
				continue
			}
			if item.Class == Batch && online > 0 {
				t.Fatalf("a batch request was served before %d online requests", online)
			}
			if item.Class == Online {
				online--
			}
		}
	})
}

// While two clients are both backlogged, the service that each has received relative to its weight differs by
// at most one request of each (Goyal, Vin and Cheng 1996, theorem 1).
func TestBackloggedClientsShareSlotsByWeight(t *testing.T) {
	checkAgainstFIFO(t, func(t *rapid.T, q testQueue) {
		waiting := make(map[string]int)
		served := make(map[string]float64)
		for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "push") > 0 {
				item := drawItem(t, n)
				item.Class = Online
				if waiting[item.Client] == 0 {
					// The bound holds for intervals in which both clients are backlogged: a new interval begins.
					clear(served)
				}
				waiting[item.Client]++
				q.Push(item)
				continue
			}
			item := q.Next(anyItem)
			if item == nil {
				continue
			}
			waiting[item.Client]--
			served[item.Client] += 1 / item.Weight
			if waiting[item.Client] == 0 {
				clear(served)
				continue
			}
			assertFair(t, waiting, served)
		}
	})
}

func assertFair(t *rapid.T, waiting map[string]int, served map[string]float64) {
	for a := range waiting {
		for b := range waiting {
			if waiting[a] == 0 || waiting[b] == 0 {
				continue
			}
			// The lightest weight is 1, so one request of each is at most 2 units of service.
			if difference := math.Abs(served[a] - served[b]); difference > 2 {
				t.Fatalf("service relative to weight: client %s %.1f, client %s %.1f", a, served[a], b, served[b])
			}
		}
	}
}

func TestEarliestDeadlineOfClientGoesFirst(t *testing.T) {
	checkAgainstFIFO(t, func(t *rapid.T, q testQueue) {
		for n := range rapid.IntRange(2, 30).Draw(t, "requests") {
			item := drawItem(t, n)
			item.Class, item.Client = Online, "a"
			q.Push(item)
		}
		last := time.Time{}
		for q.Len() > 0 {
			item := q.Next(anyItem)
			if item.Deadline.Before(last) {
				t.Fatalf("a request due at %s was served after one due at %s", item.Deadline, last)
			}
			last = item.Deadline
		}
	})
}

func TestEveryRequestLeavesQueueExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		queued := make(map[*Item]bool)
		markRemoved := func(item *Item) {
			if !queued[item] {
				t.Fatalf("request %s left the queue twice", item.ID)
			}
			delete(queued, item)
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				item := drawItem(t, n)
				q.Push(item)
				queued[item] = true
			},
			"next": func(t *rapid.T) {
				client := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "client"))
				if item := q.Next(func(i *Item) bool { return i.Client == client }); item != nil {
					markRemoved(item)
				}
			},
			"remove": func(*rapid.T) {
				for item := range queued {
					if !q.Remove(item) || q.Remove(item) {
						t.Fatalf("Remove of request %s did not report true exactly once", item.ID)
					}
					markRemoved(item)
					return
				}
			},
			"expire": func(t *rapid.T) {
				at := epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at")) * time.Second)
				for _, item := range q.PopExpired(at) {
					markRemoved(item)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(queued) {
					t.Fatalf("queue length is %d, want %d", q.Len(), len(queued))
				}
			},
		})
	})
}

func TestAheadCountsRequestsServedBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		for n := range rapid.IntRange(0, 30).Draw(t, "requests") {
			item := drawItem(t, n)
			item.Class, item.Weight = Online, 1
			q.Push(item)
		}
		last := drawItem(t, 99)
		last.Class, last.Weight = Online, 1
		ahead := q.Ahead(Online, last.Client, 1, last.Deadline)
		q.Push(last)
		served := 0
		for q.Next(anyItem) != last {
			served++
		}
		// Each of the other clients may be one request before or behind its share.
		if math.Abs(float64(served-ahead)) > 3 {
			t.Fatalf("Ahead returned %d, but %d requests were served before", ahead, served)
		}
	})
}

func TestHeadHoldsFirstRequestOfEachClient(t *testing.T) {
	q := NewQueue()
	for n := range 12 {
		q.Push(&Item{ID: fmt.Sprint(n), Client: fmt.Sprint(n % 3), Weight: 1, Class: Online})
	}
	head := q.Head(5)
	qt.Assert(t, head, qt.HasLen, 5)
	clients := make(map[string]bool)
	for _, item := range head[:3] {
		clients[item.Client] = true
	}
	qt.Assert(t, clients, qt.HasLen, 3)
	qt.Assert(t, q.Head(100), qt.HasLen, 12)
	qt.Assert(t, q.Len(), qt.Equals, 12)
}

func TestIdleClientIsRemoved(t *testing.T) {
	q := NewQueue()
	for n := range 10000 {
		q.Push(&Item{Client: fmt.Sprint(n), Weight: 1})
		q.Next(anyItem)
	}
	qt.Assert(t, len(q.classQueues[Online].flows) <= 128, qt.IsTrue)
}

func BenchmarkQueuePushNext(b *testing.B) {
	q := NewQueue()
	for n := range 1000 {
		q.Push(&Item{Client: fmt.Sprint(n % 200), Weight: 1})
	}
	item := &Item{Client: "new", Weight: 1}
	b.ResetTimer()
	for range b.N {
		q.Push(item)
		item = q.Next(anyItem)
	}
}
