package group

import (
	"math/rand/v2"
	"time"
)

// maxLoadAge is the age above which the load of another group says nothing about its free slots: several times the
// interval at which coordinators send it.
const maxLoadAge = time.Second

// Load is the load of a group as its coordinator sees it.
type Load struct {
	// Slots is the number of slots of usable targets.
	Slots int
	// Open is the number of slots that online requests could get at once, and Spare the number that items could get.
	Open, Spare int
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

// Redirect decides whether a request that would have to wait in a group is sent to another one instead, and to which. A
// group of which another coordinator has said that it has free slots is chosen in proportion to these, because several
// coordinators redirect at the same time; without any, an online request goes to the group with the shortest queue if it
// is less than half as long.
func (d *Division) Redirect(own *Group, load Load, loads map[string]Load, item bool, now time.Time, random *rand.Rand) (string, bool) {
	available := func(l Load) int {
		if item {
			return l.Spare
		}
		return l.Open
	}
	if available(load) > 0 {
		return "", false
	}
	var others []*Group
	for _, g := range d.byService[own.Service] {
		if l, known := loads[g.Key]; known && g != own && l.Slots > 0 && now.Sub(l.At) <= maxLoadAge {
			others = append(others, g)
		}
	}
	if g := pick(others, func(g *Group) int { return max(available(loads[g.Key]), 0) }, random); g != nil {
		return g.Key, true
	}
	if item {
		return "", false
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
