package group

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxLoadAge is the age above which the load of another group says nothing about its free slots: several times the
// interval at which coordinators send it.
const maxLoadAge = time.Second

// Load is the load of a group as its coordinator sees it.
type Load struct {
	// Slots is the number of slots of usable targets.
	Slots int
	// Free is the number of free slots, and Spare the number of these beyond what is kept for online requests. Open is the
	// number of slots that online requests could get at once, also by preempting items.
	Free, Spare, Open int
	// Waiting is the number of online requests in the queue.
	Waiting int
	// At is when the load was received.
	At time.Time
}

// waitRatio is the number of requests per slot that a new request would wait for.
func (l Load) waitRatio() float64 { return float64(l.Waiting+1) / float64(max(l.Slots, 1)) }

// Choose returns the group that a request of a VM is sent to: one in the VM's availability zone, and otherwise any in
// proportion to their slots. Groups for which avoid returns true are chosen only if there are no others. It returns ""
// if the service has no targets.
func (d *Division) Choose(service, zone string, avoid func(key string) bool, random *rand.Rand) string {
	groups := d.byService[service]
	var local, usable []*Group
	for _, g := range groups {
		if avoid(g.Key) {
			continue
		}
		usable = append(usable, g)
		if g.AvailabilityZone == zone {
			local = append(local, g)
		}
	}
	for _, choice := range [][]*Group{local, usable, groups} {
		if g := pick(choice, func(g *Group) int { return g.Slots }, random); g != nil {
			return g.Key
		}
	}
	return ""
}

// Redirect decides whether a request is sent on from its group to another one, and to which. Requests leave a group that
// has no slot for them without preempting an item, if another one has slots to spare; online requests also leave one in
// which they would have to wait, for one in which they would not, or only in a queue less than half as long. Of several
// groups one is chosen in proportion to the slots, because several coordinators redirect at the same time.
//
// A request of a version is sent to groups that serve it only, and leaves one that does not for any of these, also for one whose
// load is not known.
func (d *Division) Redirect(own *Group, load Load, loads map[string]Load, version string, item bool, now time.Time, random *rand.Rand) (string, bool) {
	if !item && load.Free > 0 || item && load.Spare > 0 {
		return "", false
	}
	var others []*Group
	for _, g := range d.byService[own.Service] {
		if l, known := loads[g.Key]; known && g != own && g.Serves(version) && l.Slots > 0 && now.Sub(l.At) <= maxLoadAge {
			others = append(others, g)
		}
	}
	if !own.Serves(version) {
		serving := slices.DeleteFunc(slices.Clone(d.byService[own.Service]), func(g *Group) bool { return !g.Serves(version) })
		for _, choice := range [][]*Group{others, serving} {
			if g := pick(choice, func(g *Group) int { return g.Slots }, random); g != nil {
				return g.Key, true
			}
		}
		return "", false
	}
	if g := pick(others, func(g *Group) int { return max(loads[g.Key].Spare, 0) }, random); g != nil {
		return g.Key, true
	}
	if item || load.Open > 0 {
		return "", false
	}
	if g := pick(others, func(g *Group) int { return max(loads[g.Key].Open, 0) }, random); g != nil {
		return g.Key, true
	}
	var best *Group
	for _, g := range others {
		if best == nil || loads[g.Key].waitRatio() < loads[best.Key].waitRatio() {
			best = g
		}
	}
	if best == nil || load.Slots > 0 && 2*loads[best.Key].waitRatio() >= load.waitRatio() {
		return "", false
	}
	return best.Key, true
}

// pick returns a group with a probability proportional to its weight, or nil if all weights are zero.
func pick(groups []*Group, weight func(*Group) int, random *rand.Rand) *Group {
	total := 0
	for _, g := range groups {
		total += weight(g)
	}
	if total == 0 {
		return nil
	}
	remaining := random.IntN(total)
	for _, g := range groups {
		if remaining -= weight(g); remaining < 0 {
			return g
		}
	}
	return nil
}
