package controller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarydyke/rosemarydyke/dispatch"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

const (
	// maxPlanned bounds the waiting requests for which one pass asks for credits.
	maxPlanned = 64
	// maxHeldAsks bounds the asks of one pool that owners without a free slot hold.
	maxHeldAsks = 3
	// askPause separates asks to an owner that does not answer or does not own the target.
	askPause = 250 * time.Millisecond
	// askJoin is how long after an ask further requests join it. The first of them waits for as much longer at most, so
	// it is the time of one exchange within a region: a request that comes later waits for the answer no longer than
	// it would for an ask of its own.
	askJoin = 2 * time.Millisecond
)

// requestCredits asks owners for credits for the waiting requests of a pool: first where slots can
// be had at once, and else where one is freed soonest.
func (c *Controller) requestCredits(p *pool, now time.Time) {
	c.askForSuspects(p, now)
	missing := min(p.queue.Len(), maxPlanned) - c.pendingAsks(p, now.Add(-c.config.AskTimeout))
	if missing <= 0 {
		return
	}
	plan := c.planAsks(p, missing, now)
	for i, count := range plan.counts {
		if count > 0 {
			c.askFor(p.active[i], c.unmet(p.active[i])+count, false, now)
		}
	}
	if unmet := c.joinAsks(p, plan.unmet, now); len(unmet) > 0 {
		c.waitForCredits(p, unmet, now)
	}
}

// joinAsks replaces asks that have just gone out by ones for more credits, and returns the requests that none could
// take. Otherwise a burst that outnumbers the targets would wait for one exchange and one cancelled item after another.
func (c *Controller) joinAsks(p *pool, waiters []*waiter, now time.Time) []*waiter {
	joined := make(map[*targetState]int)
	var unmet []*waiter
	for _, w := range waiters {
		t := c.askToJoin(p, w, joined, now)
		if t == nil {
			unmet = append(unmet, w)
			continue
		}
		joined[t]++
	}
	for _, t := range p.active {
		if joined[t] > 0 {
			c.askRemote(t, t.asked+joined[t], false, now)
		}
	}
	return unmet
}

// askToJoin returns the target with the most room whose ask a request can join, or nil.
func (c *Controller) askToJoin(p *pool, w *waiter, joined map[*targetState]int, now time.Time) *targetState {
	var best *targetState
	most := 0
	for _, i := range rand.Perm(len(p.active)) {
		t := p.active[i]
		if !t.canJoin(now) || slices.Contains(w.request.Tried, t.settings.Name) {
			continue
		}
		share := p.health.Share(now, t.settings.Name)
		room := min(t.plannableCredits(now), t.remainingShare(share)) - t.asked - joined[t]
		if share > 0 && room > most {
			best, most = t, room
		}
	}
	return best
}

// askPlan says how many credits to ask for.
type askPlan struct {
	// counts holds a number for each active target of the pool.
	counts []int
	// unmet are the requests for which no target is known to have a slot.
	unmet []*waiter
}

// askForSuspects asks for a credit on each target where a suspect waits to run.
func (c *Controller) askForSuspects(p *pool, now time.Time) {
	for _, t := range p.targets {
		if t.holder.Suspect != 0 && !t.suspectRunning && t.holder.Free(now) == 0 {
			c.askFor(t, 1, true, now)
		}
	}
}

// pendingAsks is the number of credits asked for of other VMs since a moment, and of this VM.
func (c *Controller) pendingAsks(p *pool, since time.Time) int {
	total := 0
	for _, t := range p.active {
		if t.ledger != nil {
			total += t.ledger.PendingReclaim(c.config.VM)
		}
		if t.isWaiting() && t.askedAt.After(since) {
			total += t.asked
		}
	}
	return total
}

// planAsks chooses a target whose owner can grant a credit for each of the first waiting requests.
// Suspects have asks of their own, see askForSuspects.
func (c *Controller) planAsks(p *pool, missing int, now time.Time) askPlan {
	candidates := c.askable(p, now)
	plan := askPlan{counts: make([]int, len(candidates))}
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

// askable describes the active targets by what their owners could grant.
func (c *Controller) askable(p *pool, now time.Time) []dispatch.Candidate {
	candidates := c.candidates(p, now)
	for i, t := range p.active {
		candidates[i].Free = 0
		if t.mayAsk(now) {
			candidates[i].Idle = t.idle(now)
			candidates[i].Free = min(t.plannableCredits(now), t.remainingShare(candidates[i].Share))
		}
	}
	return candidates
}

// mayAsk reports whether an ask can be sent to the target's owner now.
func (t *targetState) mayAsk(now time.Time) bool {
	return t.owned && !t.isWaiting() && !now.Before(t.retryAt)
}

// askFor asks a target's owner for credits unless an ask is under way.
func (c *Controller) askFor(t *targetState, count int, hold bool, now time.Time) {
	switch {
	case !t.mayAsk(now):
	case t.ledger != nil:
		c.askLocal(t, count, now)
	default:
		c.askRemote(t, count, hold, now)
	}
}

// waitForCredits leaves asks with owners that have no free slot, and looks further afield.
func (c *Controller) waitForCredits(p *pool, unmet []*waiter, now time.Time) {
	c.addTargets(p, now)
	held := 0
	for _, t := range p.active {
		if t.isWaiting() {
			held++
		}
	}
	for _, i := range rand.Perm(len(p.active)) {
		t := p.active[i]
		count := countFitting(unmet, t)
		if count == 0 || !t.mayAsk(now) || p.health.Share(now, t.settings.Name) == 0 {
			continue
		}
		if t.ledger != nil {
			c.askLocal(t, max(count, c.unmet(t)), now)
			continue
		}
		if held < maxHeldAsks {
			c.askRemote(t, count, true, now)
			held++
		}
	}
}

// countFitting counts the requests that have not been sent to the target before.
func countFitting(waiters []*waiter, t *targetState) int {
	n := 0
	for _, w := range waiters {
		if !slices.Contains(w.request.Tried, t.settings.Name) {
			n++
		}
	}
	return n
}
