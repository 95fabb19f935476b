package runner

import (
	"math/rand/v2"
	"time"
)

const (
	// starvedAfter is how long a chunk is kept for which the entry grants no slot. A VM that owns no
	// target of the model gets none, and others could work on the chunk.
	starvedAfter = 5 * time.Second
	// starvedPause is the mean time until a chunk of the model is taken again, to see whether there are slots now.
	starvedPause = 30 * time.Second
)

// starvation tells the models for which the entry grants no slots.
type starvation struct {
	// grantedAt is when a slot was last granted for a model.
	grantedAt map[string]time.Time
	// until holds the end of the pause of each model that got no slots. A grant removes the model.
	until map[string]time.Time
}

func newStarvation() starvation {
	return starvation{grantedAt: map[string]time.Time{}, until: map[string]time.Time{}}
}

// begin pauses a model.
func (s *starvation) begin(model string, now time.Time) {
	s.until[model] = now.Add(starvedPause/2 + rand.N(starvedPause))
}

// granted ends the pause of a model.
func (s *starvation) granted(model string, now time.Time) {
	s.grantedAt[model] = now
	delete(s.until, model)
}

// mayTake reports whether another chunk of the model may be taken: one at a time until a slot is granted.
func (s *starvation) mayTake(model string, holds bool, now time.Time) bool {
	until, starved := s.until[model]
	return !starved || !holds && now.After(until)
}

// isStarved reports whether the chunk has work for slots, and no slot of its model was granted for too
// long. The caller holds the lock.
func (r *Runner) isStarved(h *heldChunk, now time.Time) bool {
	if len(h.running) > 0 || !r.mayDispatch(h, now) {
		return false
	}
	hasWork := h.run.Ready(now) > 0 || len(h.readySuspects(now)) > 0
	granted := r.starvation.grantedAt[h.run.Chunk().Model]
	return hasWork && now.Sub(granted) >= starvedAfter && now.Sub(h.takenAt) >= starvedAfter
}

// holdsModel reports whether a chunk of the model is held. The caller holds the lock.
func (r *Runner) holdsModel(model string) bool {
	for _, h := range r.held {
		if h.run.Chunk().Model == model {
			return true
		}
	}
	return false
}
