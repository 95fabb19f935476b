// Package dispatch decides which waiting request runs next and on which target.
//
// The types perform no I/O and do not block; the current time and the random source are passed in. They
// are not safe for concurrent use.
package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// Class is a priority class. Requests of a lower class wait while one of a higher class can run.
type Class uint8

// Classes, the highest priority first.
const (
	// Online requests have a caller waiting for the response.
	Online Class = iota
	// Batch requests are due hours later.
	Batch
	classCount
)

// Item is a waiting request.
type Item struct {
	// ID identifies the request.
	ID string
	// Class is the priority class.
	Class Class
	// Client is the client whose share of the slots the request uses.
	Client string
	// Weight is the client's share relative to others. It must be positive.
	Weight float64
	// Deadline is when the first byte of the response is due. The zero time means never.
	Deadline time.Time
	// Enqueued is when the request was enqueued.
	Enqueued time.Time
	// Value is opaque to the queue.
	Value any

	arrival uint64
}

// Queue orders waiting requests by class, then fairly between clients, then by earliest deadline.
//
// Clients share slots by start-time fair queueing (Goyal, Vin and Cheng 1996): the client with the
// lowest start tag is next, and each request advances its client's tag by 1/weight.
type Queue struct {
	classQueues [classCount]fairQueue
	size        int
	arrivals    uint64
}

// fairQueue is the queue of one class.
type fairQueue struct {
	virtualTime float64
	// maxFinish is the highest finish tag of all requests served.
	maxFinish  float64
	flows      map[string]*flow
	backlogged []*flow
}

// flow is the queue of one client within a class.
type flow struct {
	client  string
	weight  float64
	start   float64
	waiting deadlineHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.classQueues {
		q.classQueues[i].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// LenClass returns the number of waiting requests of one class.
func (q *Queue) LenClass(class Class) int {
	total := 0
	for _, f := range q.classQueues[class].backlogged {
		total += len(f.waiting)
	}
	return total
}

// Push enqueues a request.
func (q *Queue) Push(item *Item) {
	q.arrivals++
	item.arrival = q.arrivals
	q.size++
	q.classQueues[item.Class].push(item)
}

func (q *fairQueue) push(item *Item) {
	f := q.flows[item.Client]
	if f == nil {
		f = &flow{client: item.Client}
		q.flows[item.Client] = f
	}
	f.weight = item.Weight
	if len(f.waiting) == 0 {
		// A client earns no credit for the time that it was idle.
		f.start = max(f.start, q.virtualTime)
		q.backlogged = append(q.backlogged, f)
	}
	heap.Push(&f.waiting, item)
}

// Next removes and returns the first request, in order, for which fits returns true, or nil.
// Requests that do not fit keep their place.
func (q *Queue) Next(fits func(*Item) bool) *Item {
	for i := range q.classQueues {
		if item := q.classQueues[i].next(fits); item != nil {
			q.size--
			return item
		}
	}
	return nil
}

func (q *fairQueue) next(fits func(*Item) bool) *Item {
	slices.SortFunc(q.backlogged, compareFlows)
	for _, f := range q.backlogged {
		if item := f.first(fits); item != nil {
			q.serve(f, item)
			return item
		}
	}
	return nil
}

func compareFlows(a, b *flow) int {
	switch {
	case a.start != b.start:
		if a.start < b.start {
			return -1
		}
		return 1
	case a.waiting[0].arrival < b.waiting[0].arrival:
		return -1
	default:
		return 1
	}
}

// first returns the request with the earliest deadline for which fits returns true, or nil.
func (f *flow) first(fits func(*Item) bool) *Item {
	if fits(f.waiting[0]) {
		return f.waiting[0]
	}
	if len(f.waiting) == 1 {
		return nil
	}
	rest := slices.Clone(f.waiting[1:])
	slices.SortFunc(rest, compareItems)
	for _, item := range rest {
		if fits(item) {
			return item
		}
	}
	return nil
}

func (q *fairQueue) serve(f *flow, item *Item) {
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += 1 / f.weight
	q.maxFinish = max(q.maxFinish, f.start)
	q.remove(f, item)
}

// remove removes an item without charging its client for it.
func (q *fairQueue) remove(f *flow, item *Item) {
	if i := slices.Index(f.waiting, item); i >= 0 {
		heap.Remove(&f.waiting, i)
	}
	if len(f.waiting) > 0 {
		return
	}
	q.backlogged = slices.DeleteFunc(q.backlogged, func(other *flow) bool { return other == f })
	q.removeIdleFlows()
}

// removeIdleFlows removes idle clients whose tags no longer matter, which bounds memory.
func (q *fairQueue) removeIdleFlows() {
	if len(q.backlogged) == 0 {
		// The queue is empty: the busy period ends, and the differences between clients end with it.
		q.virtualTime = q.maxFinish
		clear(q.flows)
		return
	}
	if len(q.flows) < 2*len(q.backlogged)+64 {
		return
	}
	for client, f := range q.flows {
		if len(f.waiting) == 0 && f.start <= q.virtualTime {
			delete(q.flows, client)
		}
	}
}

// Head returns up to n requests from near the front: those with the earliest deadlines of each client in turn.
func (q *Queue) Head(n int) []*Item {
	var head []*Item
	for i := range q.classQueues {
		head = q.classQueues[i].head(head, n)
	}
	return head
}

func (q *fairQueue) head(head []*Item, n int) []*Item {
	slices.SortFunc(q.backlogged, compareFlows)
	for depth := 0; len(head) < n; depth++ {
		before := len(head)
		for _, f := range q.backlogged {
			if depth < len(f.waiting) && len(head) < n {
				head = append(head, f.waiting[depth])
			}
		}
		if len(head) == before {
			break
		}
	}
	return head
}

// Contains reports whether a request is in the queue.
func (q *Queue) Contains(item *Item) bool {
	f := q.classQueues[item.Class].flows[item.Client]
	return f != nil && slices.Contains(f.waiting, item)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(item *Item) bool {
	if !q.Contains(item) {
		return false
	}
	fair := &q.classQueues[item.Class]
	fair.remove(fair.flows[item.Client], item)
	q.size--
	return true
}

// PopExpired removes and returns the requests whose deadline is at or before the given time.
func (q *Queue) PopExpired(at time.Time) []*Item {
	var expired []*Item
	for i := range q.classQueues {
		for _, f := range slices.Clone(q.classQueues[i].backlogged) {
			for len(f.waiting) > 0 && f.waiting[0].isDue(at) {
				item := f.waiting[0]
				q.classQueues[i].remove(f, item)
				q.size--
				expired = append(expired, item)
			}
		}
	}
	return expired
}

func (i *Item) isDue(at time.Time) bool { return !i.Deadline.IsZero() && !i.Deadline.After(at) }

// Ahead returns how many waiting requests would be served before a new one of the client.
//
// Until n further requests of the client have been served, another client of weight v has been served at
// most (n+1)*v/w requests, and never more than it has waiting.
func (q *Queue) Ahead(class Class, client string, weight float64, deadline time.Time) int {
	ahead := 0
	for higher := range class {
		ahead += q.LenClass(higher)
	}
	fair := &q.classQueues[class]
	own := 0
	if f := fair.flows[client]; f != nil {
		own = f.dueBefore(deadline)
	}
	ahead += own
	for _, f := range fair.backlogged {
		if f.client == client {
			continue
		}
		share := int(float64(own+1) * f.weight / weight)
		ahead += min(len(f.waiting), max(share, 1))
	}
	return ahead
}

// dueBefore returns how many waiting requests of the client are due no later than the deadline.
func (f *flow) dueBefore(deadline time.Time) int {
	n := 0
	for _, item := range f.waiting {
		if deadline.IsZero() || !item.Deadline.IsZero() && !item.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// deadlineHeap is a heap of items by deadline, then by arrival.
type deadlineHeap []*Item

func compareItems(a, b *Item) int {
	switch {
	case a.Deadline.Equal(b.Deadline):
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	case a.Deadline.IsZero():
		return 1
	case b.Deadline.IsZero():
		return -1
	default:
		return a.Deadline.Compare(b.Deadline)
	}
}

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return compareItems(h[i], h[j]) < 0 }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*Item)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
