package batchjobs

import (
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"
)

const (
	// freeTextBytes is what the text of an item may take while the texts of others take all there is.
	freeTextBytes = 16 << 10
	// textStep is the number of bytes that are reserved at a time.
	textStep = 64 << 10
)

var (
	errNoTextRoom = errors.New("there is no room for the text of the item beside those of others; it starts anew")

	textsRefused = metrics.NewCounter(`rosemarydyke_item_texts_without_room_total`)
)

// textRoom is what the texts of a job's items take of Config.TextMemory until they are committed. A nil *textRoom has no bound.
type textRoom struct {
	left *semaphore.Weighted

	mu     sync.Mutex
	held   map[int]int64
	closed bool
}

func newTextRoom(left *semaphore.Weighted) *textRoom {
	return &textRoom{left: left, held: map[int]int64{}}
}

// cover reserves memory for an item's text of a size. It reports false if there is none.
func (r *textRoom) cover(index, bytes int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	more := int64(bytes) - freeTextBytes - r.held[index]
	if more <= 0 || r.closed {
		return true
	}
	more = (more + textStep - 1) / textStep * textStep
	if !r.left.TryAcquire(more) {
		textsRefused.Inc()
		return false
	}
	r.held[index] += more
	return true
}

// release frees what an item's text takes.
func (r *textRoom) release(index int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left.Release(r.held[index])
	delete(r.held, index)
}

// close frees what all texts take. The job does not run any more.
func (r *textRoom) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, bytes := range r.held {
		r.left.Release(bytes)
	}
	r.held, r.closed = nil, true
}
