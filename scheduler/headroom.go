package scheduler

import (
	"math"
	"time"
)

const (
	// headroomDeviations is the number of standard deviations of the arrivals, assumed to be independent, that the
	// headroom covers: it is exceeded in one of forty cases.
	headroomDeviations = 2
	// maxHeadroomShare bounds the headroom, as a share of the slots. A few slots are worth more to items than what
	// their restarts cost.
	maxHeadroomShare = 0.25
)

// headroom returns the number of free slots that items must leave. During a surge the next online request needs each
// freed slot within milliseconds. An item that gets the slot in between is preempted while its prompt is being
// processed, and starts again elsewhere.
func (s *Scheduler) headroom(now time.Time, p *pool) int {
	// If requests are shorter than the window, a slot serves several of them within it.
	ahead := min(s.config.HeadroomWindow, p.onlineSlotTime)
	coming := p.expectedArrivals(now, ahead)
	ending := float64(p.onlineRuns) * float64(ahead) / float64(p.onlineSlotTime)
	wanted := max(coming-ending, 0) + headroomDeviations*math.Sqrt(coming)
	return int(min(wanted, maxHeadroomShare*float64(p.usableSlots(now))))
}

// isUrgent reports whether a waiting item has to start now to meet its due time.
func (s *Scheduler) isUrgent(now time.Time, w *waiter) bool {
	return s.isNearlyDue(w.Slack(now))
}

// isNearlyDue reports whether an item with this slack meets its due time only if it is not delayed further.
func (s *Scheduler) isNearlyDue(slack time.Duration) bool {
	return slack >= 0 && slack < s.config.ProtectedSlack
}

func (p *pool) freeSlots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		n += max(p.free(now, t), 0)
	}
	return n
}

func (p *pool) usableSlots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if p.usable(now, t) {
			n += t.Slots
		}
	}
	return n
}
