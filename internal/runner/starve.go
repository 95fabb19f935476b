package runner

import (
	"math/rand/v2"
	"time"
)

const (
	// starvationTimeout is how long a chunk is held while the entry grants no slot for its model. A VM that owns no
	// target of the model gets no slots, and other runners could execute the chunk.
	starvationTimeout = 5 * time.Second
	// starvationBackoff is the mean time until a chunk of a starved model is claimed again, to probe for slots.
	starvationBackoff = 30 * time.Second
)

// starvation tracks the models for which the entry grants no slots.
type starvation struct {
	// grantedAt is when a slot was last granted for a model.
	grantedAt map[string]time.Time
	// pausedUntil holds the end of the pause of each starved model. A grant removes the model.
	pausedUntil map[string]time.Time
}

func newStarvation() starvation {
	return starvation{grantedAt: map[string]time.Time{}, pausedUntil: map[string]time.Time{}}
}

// pause stops claims of the model's chunks for a random time around starvationBackoff.
func (s *starvation) pause(model string, now time.Time) {
	s.pausedUntil[model] = now.Add(starvationBackoff/2 + rand.N(starvationBackoff))
}

// slotGranted records a granted slot and ends the pause of the model.
func (s *starvation) slotGranted(model string, now time.Time) {
	s.grantedAt[model] = now
	delete(s.pausedUntil, model)
}

// mayClaim reports whether another chunk of the model may be claimed. For a starved model it allows one chunk at a
// time, after the pause, until a slot is granted.
func (s *starvation) mayClaim(model string, holdsChunk bool, now time.Time) bool {
	until, paused := s.pausedUntil[model]
	return !paused || !holdsChunk && now.After(until)
}

// isStarved reports whether the chunk has items ready for dispatch, and no slot of its model was granted for
// starvationTimeout. The caller holds the lock.
func (r *Runner) isStarved(h *heldChunk, now time.Time) bool {
	if len(h.running) > 0 || !r.mayDispatch(h, now) {
		return false
	}
	hasWork := h.run.Ready(now) > 0 || len(h.readySuspects(now)) > 0
	grantedAt := r.starvation.grantedAt[h.run.Chunk().Model]
	return hasWork && now.Sub(grantedAt) >= starvationTimeout && now.Sub(h.claimedAt) >= starvationTimeout
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
