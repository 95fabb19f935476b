package batchjobs

import (
	"container/list"
	"sync"
)

// textCacheBytes bounds the cached texts. It is enough for several hundred items.
const textCacheBytes = 4 << 20

type textCacheKey struct {
	job      string
	position int
}

type cachedText struct {
	key  textCacheKey
	text []byte
}

// textCache is an LRU cache of result texts, which never change.
type textCache struct {
	mu    sync.Mutex
	order *list.List
	index map[textCacheKey]*list.Element
	bytes int
}

func newTextCache() *textCache {
	return &textCache{order: list.New(), index: map[textCacheKey]*list.Element{}}
}

func (c *textCache) get(key textCacheKey) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.index[key]
	if element == nil {
		return nil, false
	}
	c.order.MoveToFront(element)
	return element.Value.(*cachedText).text, true
}

func (c *textCache) put(key textCacheKey, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index[key] != nil {
		return
	}
	c.index[key] = c.order.PushFront(&cachedText{key, text})
	c.bytes += len(text)
	for c.bytes > textCacheBytes {
		last := c.order.Back()
		old := last.Value.(*cachedText)
		c.order.Remove(last)
		delete(c.index, old.key)
		c.bytes -= len(old.text)
	}
}
