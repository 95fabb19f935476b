package batching

import "container/list"

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	// Stored is true for a block that was stored, false for one that was evicted.
	Stored bool
	Block  uint64
}

// prefixCache is a least-recently-used cache of prompt blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) store(blocks []uint64) []CacheEvent {
	var events []CacheEvent
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		events = append(events, CacheEvent{Stored: true, Block: block})
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		block := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		events = append(events, CacheEvent{Block: block})
	}
	return events
}
