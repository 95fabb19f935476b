package scheduler

import (
	"math"
	"time"
)

const (
	// headroomDeviations is the number of standard deviations of the arrivals, taken as independent of each other, that
	// the headroom covers: more come in one of forty cases.
	headroomDeviations = 2
	// maxHeadroomShare bounds the headroom, as a share of the slots. A few slots are worth more to items than what their
	// restarts cost.
	maxHeadroomShare = 0.25
)

// headroom is the number of free slots that items leave alone. In a step of the traffic each slot that becomes free is
// wanted by the next online request within milliseconds. An item that gets it meanwhile loses it while it reads its
// prompt, and begins again elsewhere.
func (s *Scheduler) headroom(now time.Time, p *pool) int {
	// A slot that is taken for less than the whole time serves a second request in it.
	ahead := min(s.config.ItemHeadroom, p.onlineRun)
	coming := p.arrivalsWithin(now, ahead)
	ending := float64(p.onlineRuns) * float64(ahead) / float64(p.onlineRun)
	wanted := max(coming-ending, 0) + headroomDeviations*math.Sqrt(coming)
	return int(min(wanted, maxHeadroomShare*float64(p.usableSlots(now))))
}

// isUrgent reports whether a waiting item has to start now to be done when it is due.
func (s *Scheduler) isUrgent(now time.Time, w *waiting) bool {
	return s.isNearlyDue(w.Slack(now))
}

// isNearlyDue reports whether an item with this slack can meet its due time only if it is not kept waiting.
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
