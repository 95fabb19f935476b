package job

import "time"

// MarkSuspect marks an item whose response was cut off by a target, which the item may have crashed. Next skips
// it from then on, so that it is never sent together with others that would be cut off with it.
func (r *Run) MarkSuspect(index int) { r.items[index].isSuspect = true }

// IsPending reports whether the item waits for a dispatch now or later.
func (r *Run) IsPending(index int) bool { return r.items[index].state == itemPending }

// IsReadySuspect reports whether TakeSuspect would succeed.
func (r *Run) IsReadySuspect(index int, now time.Time) bool {
	return !r.stopped && r.items[index].isSuspect && r.isReady(index, now)
}

// TakeSuspect marks a suspect as running, if it can be sent now.
func (r *Run) TakeSuspect(index int, now time.Time) bool {
	if !r.IsReadySuspect(index, now) {
		return false
	}
	r.items[index].state = itemRunning
	return true
}

func (r *Run) isReady(i int, now time.Time) bool {
	it := &r.items[i]
	if it.state != itemPending || it.notBefore.After(now) {
		return false
	}
	return r.lines[i].IsIdempotent() || r.chunk.Intents.Has(i)
}
