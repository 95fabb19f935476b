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
	window := min(s.config.HeadroomWindow, p.onlineSlotTime)
	arriving := p.expectedArrivals(now, window)
	ending := float64(p.onlineRuns) * float64(window) / float64(p.onlineSlotTime)
	wanted := max(arriving-ending, 0) + headroomDeviations*math.Sqrt(arriving)
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

// slotsOf returns the number of slots of usable targets of a version, and how many of them are free.
func (p *pool) slotsOf(now time.Time, version string) (slots, free int) {
	for _, t := range p.targets {
		if t.runsVersion(version) && p.usable(now, t) {
			slots += p.slots(t)
			free += max(p.free(now, t), 0)
		}
	}
	return slots, free
}

// runsVersion reports whether a target runs a version, or whether that is empty.
func (t *targetState) runsVersion(version string) bool { return version == "" || version == t.Version }

func (p *pool) usableSlots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		if p.usable(now, t) {
			n += p.slots(t)
		}
	}
	return n
}
