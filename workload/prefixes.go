package workload

import (
	"container/list"
	"slices"
	"time"
)

const (
	// maxPrefixes bounds the prefixes that are remembered; the least recently read one is evicted.
	maxPrefixes = 1024
	// maxReaders bounds the targets that are remembered for one prefix.
	maxReaders = 4
	// prefixLifetime is how long a prefix is expected to stay in the memory of a target after it was read last.
	prefixLifetime = 30 * time.Second
)

// Prefixes remembers which targets have read a prefix of prompts.
type Prefixes[T comparable] struct {
	entries map[uint64]*list.Element
	recent  *list.List
}

type prefixEntry[T comparable] struct {
	prefix  uint64
	readers []reader[T]
}

type reader[T comparable] struct {
	target T
	at     time.Time
}

// NewPrefixes returns an empty memory of prefixes.
func NewPrefixes[T comparable]() *Prefixes[T] {
	return &Prefixes[T]{entries: map[uint64]*list.Element{}, recent: list.New()}
}

// Record records that a target reads a prefix. Zero means no prefix.
func (p *Prefixes[T]) Record(now time.Time, prefix uint64, target T) {
	if prefix == 0 {
		return
	}
	element := p.entries[prefix]
	if element == nil {
		if len(p.entries) >= maxPrefixes {
			oldest := p.recent.Back()
			delete(p.entries, p.recent.Remove(oldest).(*prefixEntry[T]).prefix)
		}
		element = p.recent.PushFront(&prefixEntry[T]{prefix: prefix})
		p.entries[prefix] = element
	}
	p.recent.MoveToFront(element)
	e := element.Value.(*prefixEntry[T])
	e.readers = slices.DeleteFunc(e.readers, func(r reader[T]) bool { return r.target == target })
	if len(e.readers) >= maxReaders {
		e.readers = slices.Delete(e.readers, 0, 1)
	}
	e.readers = append(e.readers, reader[T]{target, now})
}

// Readers returns the targets that have read a prefix recently.
func (p *Prefixes[T]) Readers(now time.Time, prefix uint64) (targets [maxReaders]T, n int) {
	element := p.entries[prefix]
	if prefix == 0 || element == nil {
		return targets, 0
	}
	for _, r := range element.Value.(*prefixEntry[T]).readers {
		if now.Sub(r.at) < prefixLifetime {
			targets[n] = r.target
			n++
		}
	}
	return targets, n
}

// Forget removes a target, whose memory is lost.
func (p *Prefixes[T]) Forget(target T) {
	for _, element := range p.entries {
		e := element.Value.(*prefixEntry[T])
		e.readers = slices.DeleteFunc(e.readers, func(r reader[T]) bool { return r.target == target })
	}
}
