package controller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

const (
	// maxPlanned is the maximum number of waiting requests for which one pass requests credits.
	maxPlanned = 64
	// maxHeldRequests is the maximum number of one pool's credit requests that owners without a free slot hold.
	maxHeldRequests = 3
	// ownerRetryDelay is the minimum time between requests to an owner that does not respond or no longer owns
	// the target.
	ownerRetryDelay = 250 * time.Millisecond
	// extendWindow is how long a credit request may be extended for further waiting requests. This delays the
	// first of them by at most the same time. It is one round trip within a region: a request that arrives later
	// gets the pending response no later than it would get the response to a credit request of its own.
	extendWindow = 2 * time.Millisecond
)

// requestCredits requests credits for the waiting requests of a pool, first from owners that can grant them
// immediately, otherwise from those where a slot is expected first.
func (c *Controller) requestCredits(p *pool, now time.Time) {
	c.requestForSuspects(p, now)
	missing := min(p.queue.Len(), maxPlanned) - c.pendingCredits(p, now.Add(-c.config.HedgeDelay))
	if missing <= 0 {
		return
	}
	plan := c.planRequests(p, missing, now)
	for i, count := range plan.counts {
		if count > 0 {
			c.requestFrom(p.active[i], c.unmetCredits(p.active[i])+count, false, now)
		}
	}
	if unmet := c.extendRequests(p, plan.unmet, now); len(unmet) > 0 {
		c.requestWithHold(p, unmet, now)
	}
}

// extendRequests replaces recent credit requests with requests for more credits and returns the waiters that did
// not fit any of them. Without it, a burst of more requests than targets would wait for several round trips and
// batch cancellations in sequence.
func (c *Controller) extendRequests(p *pool, waiters []*waiter, now time.Time) []*waiter {
	added := make(map[*targetState]int)
	var unmet []*waiter
	for _, w := range waiters {
		t := c.requestToExtend(p, w, added, now)
		if t == nil {
			unmet = append(unmet, w)
			continue
		}
		added[t]++
	}
	for _, t := range p.active {
		if added[t] > 0 {
			c.requestRemote(t, t.requestedCredits+added[t], false, now)
		}
	}
	return unmet
}

// requestToExtend returns the target with the most room whose pending credit request can be extended for a waiter,
// or nil.
func (c *Controller) requestToExtend(p *pool, w *waiter, added map[*targetState]int, now time.Time) *targetState {
	var best *targetState
	most := 0
	for _, i := range rand.Perm(len(p.active)) {
		t := p.active[i]
		if !t.canExtendRequest(now) || slices.Contains(w.request.Tried, t.settings.Name) {
			continue
		}
		share := p.health.Share(now, t.settings.Name)
		room := min(t.plannableCredits(now), t.remainingShare(share)) - t.requestedCredits - added[t]
		if share > 0 && room > most {
			best, most = t, room
		}
	}
	return best
}

// creditPlan is how many credits to request.
type creditPlan struct {
	// counts is the number of credits for each active target of the pool, in their order.
	counts []int
	// unmet are the waiters for which no target is known to have a slot.
	unmet []*waiter
}

// requestForSuspects requests a credit on each target for which a suspect request waits.
func (c *Controller) requestForSuspects(p *pool, now time.Time) {
	for _, t := range p.targets {
		if t.holder.Suspect != 0 && !t.suspectRunning && t.holder.Free(now) == 0 {
			c.requestFrom(t, 1, true, now)
		}
	}
}

// pendingCredits is the number of credits requested from other owners after a given time, plus those that batch
// work is giving up for this VM on targets that it owns.
func (c *Controller) pendingCredits(p *pool, since time.Time) int {
	total := 0
	for _, t := range p.active {
		if t.ledger != nil {
			total += t.ledger.PendingReclaim(c.config.VM)
		}
		if t.hasPendingRequest() && t.requestedAt.After(since) {
			total += t.requestedCredits
		}
	}
	return total
}

// planRequests picks a target whose owner can grant a credit for each of the first waiting requests. Suspect
// requests are handled by requestForSuspects.
func (c *Controller) planRequests(p *pool, missing int, now time.Time) creditPlan {
	candidates := c.creditCandidates(p, now)
	plan := creditPlan{counts: make([]int, len(candidates))}
	for _, item := range p.queue.Head(missing) {
		w := item.Value.(*waiter)
		if c.quarantine.Status(w.request.Fingerprint) == quarantine.Suspect {
			continue
		}
		i, ok := c.chooser.Pick(w.query(), candidates, rand.IntN)
		if !ok {
			plan.unmet = append(plan.unmet, w)
			continue
		}
		plan.counts[i]++
		candidates[i].Free--
		candidates[i].Idle--
		candidates[i].InUse++
	}
	return plan
}

// creditCandidates describes the active targets by the credits that their owners could grant.
func (c *Controller) creditCandidates(p *pool, now time.Time) []dispatch.Candidate {
	candidates := c.candidates(p, now)
	for i, t := range p.active {
		candidates[i].Free = 0
		if t.mayRequest(now) {
			candidates[i].Idle = t.idleSlots(now)
			candidates[i].Free = min(t.plannableCredits(now), t.remainingShare(candidates[i].Share))
		}
	}
	return candidates
}

// mayRequest reports whether a credit request can be sent to the target's owner now.
func (t *targetState) mayRequest(now time.Time) bool {
	return t.hasOwner && !t.hasPendingRequest() && !now.Before(t.retryAt)
}

// requestFrom requests credits from a target's owner unless a request is pending.
func (c *Controller) requestFrom(t *targetState, count int, hold bool, now time.Time) {
	switch {
	case !t.mayRequest(now):
	case t.ledger != nil:
		c.requestLocal(t, count, now)
	default:
		c.requestRemote(t, count, hold, now)
	}
}

// requestWithHold sends credit requests that owners without a free slot hold, and adds further targets to the pool.
func (c *Controller) requestWithHold(p *pool, unmet []*waiter, now time.Time) {
	c.expandTargets(p, now)
	held := 0
	for _, t := range p.active {
		if t.hasPendingRequest() {
			held++
		}
	}
	for _, i := range rand.Perm(len(p.active)) {
		t := p.active[i]
		count := countEligible(unmet, t)
		if count == 0 || !t.mayRequest(now) || p.health.Share(now, t.settings.Name) == 0 {
			continue
		}
		if t.ledger != nil {
			c.requestLocal(t, max(count, c.unmetCredits(t)), now)
			continue
		}
		if held < maxHeldRequests {
			c.requestRemote(t, count, true, now)
			held++
		}
	}
}

// countEligible counts the waiters whose requests have not been sent to the target before.
func countEligible(waiters []*waiter, t *targetState) int {
	n := 0
	for _, w := range waiters {
		if !slices.Contains(w.request.Tried, t.settings.Name) {
			n++
		}
	}
	return n
}
