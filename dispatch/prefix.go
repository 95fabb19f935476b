package dispatch

import "container/list"

// PrefixIndex records which prompt blocks were recently sent to which targets. Its contents are only hints:
// targets may evict blocks before they report it.
type PrefixIndex struct {
	capacity int
	entries  map[prefixKey]*list.Element
	recent   *list.List
}

type prefixKey struct {
	target string
	block  uint64
}

// NewPrefixIndex returns an index that holds up to capacity pairs of target and block, the most recently used ones.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: capacity, entries: make(map[prefixKey]*list.Element), recent: list.New()}
}

// Store records that the target has, or will soon have, the blocks in its cache.
func (x *PrefixIndex) Store(target string, blocks ...uint64) {
	for _, block := range blocks {
		key := prefixKey{target, block}
		if element, ok := x.entries[key]; ok {
			x.recent.MoveToFront(element)
			continue
		}
		x.entries[key] = x.recent.PushFront(key)
	}
	for len(x.entries) > x.capacity {
		oldest := x.recent.Back()
		x.recent.Remove(oldest)
		delete(x.entries, oldest.Value.(prefixKey))
	}
}

// Evict records that the target has dropped the blocks.
func (x *PrefixIndex) Evict(target string, blocks ...uint64) {
	for _, block := range blocks {
		key := prefixKey{target, block}
		if element, ok := x.entries[key]; ok {
			x.recent.Remove(element)
			delete(x.entries, key)
		}
	}
}

// Match returns the share of the leading blocks that the target is believed to have cached. A nil index
// matches nothing.
func (x *PrefixIndex) Match(target string, blocks []uint64) float64 {
	if x == nil || len(blocks) == 0 {
		return 0
	}
	matched := 0
	for _, block := range blocks {
		if _, ok := x.entries[prefixKey{target, block}]; !ok {
			break
		}
		matched++
	}
	return float64(matched) / float64(len(blocks))
}

// Len returns the number of pairs of target and block in the index.
func (x *PrefixIndex) Len() int { return len(x.entries) }
