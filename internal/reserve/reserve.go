// Package reserve bounds the memory that many holders share, such as the responses of targets. Each may hold a little whatever others
// hold, so that ordinary ones do not depend on large ones.
package reserve

import "golang.org/x/sync/semaphore"

const (
	// FreeBytes is what each holder may hold without a reservation.
	FreeBytes = 16 << 10
	// step is the number of bytes that are reserved at a time.
	step = 64 << 10
)

// Room is the memory that is shared.
type Room struct{ left *semaphore.Weighted }

// NewRoom returns a room for a number of bytes.
func NewRoom(bytes int64) *Room { return &Room{semaphore.NewWeighted(bytes)} }

// Reservation is what one holder has reserved. It is not safe for concurrent use.
type Reservation struct {
	room *Room
	held int64
}

// Reserve returns a reservation of nothing.
func (r *Room) Reserve() Reservation { return Reservation{room: r} }

// Cover reserves memory for a holder that holds a number of bytes. It reports false if there is none left.
func (r *Reservation) Cover(bytes int) bool {
	more := int64(bytes) - FreeBytes - r.held
	if more <= 0 {
		return true
	}
	more = (more + step - 1) / step * step
	if !r.room.left.TryAcquire(more) {
		return false
	}
	r.held += more
	return true
}

// Release gives back what is reserved.
func (r *Reservation) Release() {
	if r.held > 0 {
		r.room.left.Release(r.held)
		r.held = 0
	}
}
