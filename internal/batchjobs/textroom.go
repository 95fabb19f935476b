package batchjobs

import (
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/internal/reserve"
)

var (
	errNoTextRoom = errors.New("there is no room for the text of the item beside those of others; it starts anew")

	textsRefused = metrics.NewCounter(`rosemarydyke_item_texts_without_room_total`)
)

// textRoom is what the texts of a job's items take of Config.TextMemory until they are committed. A nil *textRoom has no bound.
type textRoom struct {
	room *reserve.Room

	mu     sync.Mutex
	held   map[int]reserve.Reservation
	closed bool
}

func newTextRoom(room *reserve.Room) *textRoom {
	return &textRoom{room: room, held: map[int]reserve.Reservation{}}
}

// cover reserves memory for an item's text of a size. It reports false if there is none.
func (r *textRoom) cover(index, bytes int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if bytes <= reserve.FreeBytes || r.closed {
		return true
	}
	held, ok := r.held[index]
	if !ok {
		held = r.room.Reserve()
	}
	if !held.Cover(bytes) {
		textsRefused.Inc()
		return false
	}
	r.held[index] = held
	return true
}

// release frees what an item's text takes.
func (r *textRoom) release(index int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if held, ok := r.held[index]; ok {
		held.Release()
		delete(r.held, index)
	}
}

// close frees what all texts take. The job does not run any more.
func (r *textRoom) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.held {
		held.Release()
	}
	r.held, r.closed = nil, true
}
