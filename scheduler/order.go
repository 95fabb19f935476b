package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// returnedShare is the share of the slots that clients who return are expected to get until they are due, and that they may
	// claim ahead of first attempts.
	returnedShare = 0.5
	// claimLead is how much earlier a claim is made, since slots don't become free at equal intervals.
	claimLead = 100 * time.Millisecond
	// overcommitMemory is how long after a client that returned was refused no claims are made: longer than the pauses between
	// the peaks of a load that comes in waves.
	overcommitMemory = 6 * time.Second
)

// standing is the place of a request relative to others of its priority and account. Lower values are served first.
type standing uint8

const (
	// interrupted requests have a client that has a part of the response.
	interrupted standing = iota
	// overdue requests have returned, and get no response unless they claim a slot now.
	overdue
	// first requests are first attempts.
	first
	// returned requests have a client that was refused before, and can still start within the objective.
	returned
	// late requests have returned and missed their objective. Their clients still get a response until they are due.
	late
)

// order sets the standing of each turn: those who can be answered in time before those who can't. If clients who return went
// before first attempts, a backlog would never end, because each of them makes a first attempt return later. So they claim slots
// only when they are due, and only while the slots suffice for all of them.
func (p *pool) order(now time.Time, turns []turn, interval time.Duration) {
	for i := range turns {
		turns[i].standing = standingOf(now, turns[i])
	}
	if p.overcommitted.IsZero() || now.Sub(p.overcommitted) > overcommitMemory {
		claim(now, turns, interval)
	}
}

func standingOf(now time.Time, t turn) standing {
	switch {
	case t.interrupted:
		return interrupted
	case !t.retry:
		return first
	case !t.startBy.Before(now):
		return returned
	default:
		return late
	}
}

// claim marks the requests that have to start now, so that they and those that are due later can all start in time.
func claim(now time.Time, turns []turn, interval time.Duration) {
	var waiting []*turn
	for i := range turns {
		if turns[i].standing > first {
			waiting = append(waiting, &turns[i])
		}
	}
	slices.SortStableFunc(waiting, func(a, b *turn) int { return a.due.Compare(b.due) })
	spacing := time.Duration(float64(interval) / returnedShare)
	latest := time.Duration(math.MaxInt64)
	for i := len(waiting) - 1; i >= 0; i-- {
		latest = min(latest-spacing, waiting[i].due.Sub(now)-claimLead)
		if latest <= 0 {
			for _, t := range waiting[:i+1] {
				t.standing = overdue
			}
			return
		}
	}
}

// compareStandings orders the requests of one priority and account.
func compareStandings(a, b turn) int {
	switch {
	case a.standing != b.standing:
		return cmp.Compare(a.standing, b.standing)
	case a.standing == late || a.standing == overdue:
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.arrival, b.arrival))
	}
	return cmp.Compare(a.arrival, b.arrival)
}
