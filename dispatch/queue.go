// Package dispatch decides which waiting request runs next and on which target.
//
// All types are pure: the clock and the random source are passed in, and nothing here blocks. They
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
	// Online requests have a caller who waits.
	Online Class = iota
	// Batch requests are due hours later.
	Batch
	classes
)

// Item is a waiting request.
type Item struct {
	// ID identifies the request.
	ID string
	// Class is the priority class.
	Class Class
	// Client is the client between which slots are shared.
	Client string
	// Weight is the client's share relative to others. It must be positive.
	Weight float64
	// Deadline is when the first byte of the answer is due. The zero time means never.
	Deadline time.Time
	// Enqueued is when the request began to wait.
	Enqueued time.Time
	// Value is the caller's own.
	Value any

	arrival uint64
}

// Queue orders waiting requests by class, then fairly between clients, then by earliest deadline.
//
// Clients share slots by start-time fair queueing (Goyal, Vin and Cheng 1996): the client with the
// lowest start tag is next, and each request moves its client's tag on by 1/weight.
type Queue struct {
	shares [classes]fairShare
	size   int
	count  uint64
}

// fairShare is the queue of one class.
type fairShare struct {
	virtual float64
	// finish is the highest finish tag of a request served.
	finish  float64
	flows   map[string]*flow
	backlog []*flow
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
	for i := range q.shares {
		q.shares[i].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// LenClass returns the number of waiting requests of one class.
func (q *Queue) LenClass(class Class) int {
	total := 0
	for _, f := range q.shares[class].backlog {
		total += len(f.waiting)
	}
	return total
}

// Push adds a request.
func (q *Queue) Push(item *Item) {
	q.count++
	item.arrival = q.count
	q.size++
	q.shares[item.Class].push(item)
}

func (s *fairShare) push(item *Item) {
	f := s.flows[item.Client]
	if f == nil {
		f = &flow{client: item.Client}
		s.flows[item.Client] = f
	}
	f.weight = item.Weight
	if len(f.waiting) == 0 {
		// A client that was idle gets no credit for that time.
		f.start = max(f.start, s.virtual)
		s.backlog = append(s.backlog, f)
	}
	heap.Push(&f.waiting, item)
}

// Next removes and returns the first request, in order, for which fits returns true, or nil.
// Requests that do not fit keep their place.
func (q *Queue) Next(fits func(*Item) bool) *Item {
	for i := range q.shares {
		if item := q.shares[i].next(fits); item != nil {
			q.size--
			return item
		}
	}
	return nil
}

func (s *fairShare) next(fits func(*Item) bool) *Item {
	slices.SortFunc(s.backlog, compareFlows)
	for _, f := range s.backlog {
		if item := f.first(fits); item != nil {
			s.serve(f, item)
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

// first returns the request with the earliest deadline that fits.
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

func (s *fairShare) serve(f *flow, item *Item) {
	s.virtual = max(s.virtual, f.start)
	f.start += 1 / f.weight
	s.finish = max(s.finish, f.start)
	s.drop(f, item)
}

// drop removes an item without charging its client for it.
func (s *fairShare) drop(f *flow, item *Item) {
	if i := slices.Index(f.waiting, item); i >= 0 {
		heap.Remove(&f.waiting, i)
	}
	if len(f.waiting) > 0 {
		return
	}
	s.backlog = slices.DeleteFunc(s.backlog, func(other *flow) bool { return other == f })
	s.forget()
}

// forget drops idle clients whose tag no longer matters, which bounds memory.
func (s *fairShare) forget() {
	if len(s.backlog) == 0 {
		// Nobody waits: a busy period ends, and with it all differences between clients.
		s.virtual = s.finish
		clear(s.flows)
		return
	}
	if len(s.flows) < 2*len(s.backlog)+64 {
		return
	}
	for client, f := range s.flows {
		if len(f.waiting) == 0 && f.start <= s.virtual {
			delete(s.flows, client)
		}
	}
}

// Head returns up to n requests from near the front: of each client in turn, those with the earliest deadlines.
func (q *Queue) Head(n int) []*Item {
	var head []*Item
	for i := range q.shares {
		head = q.shares[i].head(head, n)
	}
	return head
}

func (s *fairShare) head(head []*Item, n int) []*Item {
	slices.SortFunc(s.backlog, compareFlows)
	for depth := 0; len(head) < n; depth++ {
		before := len(head)
		for _, f := range s.backlog {
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

// Contains reports whether a request waits.
func (q *Queue) Contains(item *Item) bool {
	f := q.shares[item.Class].flows[item.Client]
	return f != nil && slices.Contains(f.waiting, item)
}

// Remove takes a request out and reports whether it was waiting.
func (q *Queue) Remove(item *Item) bool {
	if !q.Contains(item) {
		return false
	}
	s := &q.shares[item.Class]
	s.drop(s.flows[item.Client], item)
	q.size--
	return true
}

// PopExpired removes and returns the requests whose deadline is at or before the given time.
func (q *Queue) PopExpired(at time.Time) []*Item {
	var expired []*Item
	for i := range q.shares {
		for _, f := range slices.Clone(q.shares[i].backlog) {
			for len(f.waiting) > 0 && f.waiting[0].isDue(at) {
				item := f.waiting[0]
				q.shares[i].drop(f, item)
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
// Until n further requests of the client have been served, another client of weight v has at most
// (n+1)*v/w served, and never more than it has waiting.
func (q *Queue) Ahead(class Class, client string, weight float64, deadline time.Time) int {
	ahead := 0
	for higher := range class {
		ahead += q.LenClass(higher)
	}
	s := &q.shares[class]
	own := 0
	if f := s.flows[client]; f != nil {
		own = f.before(deadline)
	}
	ahead += own
	for _, f := range s.backlog {
		if f.client == client {
			continue
		}
		share := int(float64(own+1) * f.weight / weight)
		ahead += min(len(f.waiting), max(share, 1))
	}
	return ahead
}

// before returns how many waiting requests of the client are due before the deadline, or equally soon.
func (f *flow) before(deadline time.Time) int {
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
